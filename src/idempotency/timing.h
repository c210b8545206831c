// The intervals and the Retry-After values of the idempotency protocol.
#ifndef POSTSPREAD_IDEMPOTENCY_TIMING_H_
#define POSTSPREAD_IDEMPOTENCY_TIMING_H_

#include <algorithm>
#include <cstdint>
#include <limits>

#include "idempotency/limits.h"
#include "idempotency/types.h"

namespace postspread::idempotency {

// The interval between two status queries to a holder whose work is running.
inline constexpr Duration kHolderQueryInterval{100'000};

// The Retry-After values for a full store (stored responses become evictable within seconds), for a group
// without an upstream that accepts new work, and for a peer's vote that is still missing at the deadline.
inline constexpr Duration kStoreFullRetryAfter{1'000'000};
inline constexpr Duration kNoUpstreamRetryAfter{500'000};
inline constexpr Duration kVoteMissingRetryAfter{100'000};

// The maximum time that a request takes from this gateway to its upstream. Work is not resumed during the
// last kUpstreamTransit of the deduplication window.
inline constexpr Duration kUpstreamTransit{50'000};

// Returns the time that `datagrams` datagrams to one peer take at the configured rate.
inline Duration PacedSpan(double datagrams, const Limits& limits) {
  const double seconds = datagrams / static_cast<double>(limits.datagrams_per_second);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

// Returns the interval between two queries about one key: a few round trips, or the time of a few datagrams
// at the configured rate if that is longer.
inline Duration RetryInterval(const Limits& limits) {
  constexpr Duration kMinInterval{50'000};
  constexpr double kDatagrams = 3;
  return std::max(kMinInterval, PacedSpan(kDatagrams, limits));
}

// Converts a duration to a record's milliseconds: a negative one to 0, and one that is too long to the
// maximum.
inline std::uint32_t ToWireMilliseconds(Duration span) {
  using std::chrono::milliseconds;
  const auto count = std::chrono::duration_cast<milliseconds>(std::max(Duration(0), span)).count();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_TIMING_H_
