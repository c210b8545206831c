// What an idempotency replica has done since its start.
#ifndef POSTSPREAD_IDEMPOTENCY_COUNTS_H_
#define POSTSPREAD_IDEMPOTENCY_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace postspread::idempotency {

struct Counts {
  // Work and repeats.
  std::uint64_t started = 0;   // first attempts on a key
  std::uint64_t resumed = 0;   // attempts after one that may have run
  std::uint64_t joined = 0;    // repeats that waited for work under way here
  std::uint64_t replayed = 0;  // repeats answered from the store
  std::uint64_t fetched = 0;   // answers transferred from a peer
  // Waiters that failed, by reason.
  std::uint64_t fingerprint_mismatches = 0, unknown_outcomes = 0, dropped_answers = 0;
  // New keys that the store had no capacity for, and keys that no peer could confirm as new.
  std::uint64_t full_rejected = 0, full_unprotected = 0, unconfirmed = 0;
  std::uint64_t values_evicted = 0;  // answers that lost their room or never found any
  std::uint64_t datagrams_sent = 0, datagrams_received = 0, datagrams_invalid = 0;
  std::uint64_t records_dropped = 0;  // at a full queue to a peer
  bool operator==(const Counts&) const = default;
};

// All counts as NAME=NUMBER, for the log.
std::string Summary(const Counts& counts, std::size_t keys, std::size_t used, std::size_t peak,
                    std::size_t bound);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_COUNTS_H_
