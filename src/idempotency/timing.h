// Intervals and retry advice of the idempotency protocol.
#ifndef POSTSPREAD_IDEMPOTENCY_TIMING_H_
#define POSTSPREAD_IDEMPOTENCY_TIMING_H_

#include <algorithm>
#include <cstdint>
#include <limits>

#include "idempotency/limits.h"
#include "idempotency/types.h"

namespace postspread::idempotency {

// Between two status queries to a holder whose work runs.
inline constexpr Duration kHolderPollInterval{100'000};

// Retry-After where the store is full (answers become evictable within seconds), where no upstream accepts
// new work, and where a peer's vote was still missing at the deadline.
inline constexpr Duration kStoreFullRetryAfter{1'000'000};
inline constexpr Duration kNoUpstreamRetryAfter{500'000};
inline constexpr Duration kVoteMissingRetryAfter{100'000};

// What a request may take from here to its upstream. Work is not resumed in the last such span of the
// deduplication window.
inline constexpr Duration kUpstreamTransit{50'000};

// The time that so many datagrams to one peer take at the configured pace.
inline Duration PacedSpan(double datagrams, const Limits& limits) {
  const double seconds = datagrams / static_cast<double>(limits.datagrams_per_second);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

// Between two questions about one key: a few round trips, or a few datagrams at the pace if that is longer.
inline Duration RetryInterval(const Limits& limits) {
  constexpr Duration kMinInterval{50'000};
  constexpr double kDatagrams = 3;
  return std::max(kMinInterval, PacedSpan(kDatagrams, limits));
}

// A span as a record holds it: negative ones as 0, longer ones as the largest.
inline std::uint32_t ToWireMilliseconds(Duration span) {
  using std::chrono::milliseconds;
  const auto count = std::chrono::duration_cast<milliseconds>(std::max(Duration(0), span)).count();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_TIMING_H_
