// Event counts of an idempotency replica since its start.
#ifndef POSTSPREAD_IDEMPOTENCY_COUNTS_H_
#define POSTSPREAD_IDEMPOTENCY_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace postspread::idempotency {

struct Counts {
  std::uint64_t started = 0;   // first attempts on a key
  std::uint64_t resumed = 0;   // attempts after one that may have been executed
  std::uint64_t joined = 0;    // repeats that waited for a claim or an attempt of this gateway
  std::uint64_t replayed = 0;  // repeats that received a stored response
  std::uint64_t fetched = 0;   // responses transferred from a peer
  // Waiters that failed, by reason.
  std::uint64_t fingerprint_mismatches = 0, unknown_outcomes = 0, dropped_responses = 0;
  // Requests for which a store had no capacity, rejected or started without deduplication (the rejected ones
  // include repeats beyond `max_waiters`), and keys that no gateway could confirm as new.
  std::uint64_t full_rejected = 0, full_unprotected = 0, unconfirmed = 0;
  std::uint64_t values_evicted = 0;  // responses that were evicted or never stored for lack of capacity
  std::uint64_t datagrams_sent = 0, datagrams_received = 0, datagrams_invalid = 0;
  std::uint64_t records_dropped = 0;  // records dropped because the queue to a peer was full
  bool operator==(const Counts&) const = default;
};

// Returns all counts as NAME=NUMBER, for the log.
std::string Summary(const Counts& counts, std::size_t keys, std::size_t used, std::size_t peak,
                    std::size_t bound);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_COUNTS_H_
