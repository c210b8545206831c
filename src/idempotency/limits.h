// The limits of the idempotency store and its protocol that an operator may set.
#ifndef POSTSPREAD_IDEMPOTENCY_LIMITS_H_
#define POSTSPREAD_IDEMPOTENCY_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace postspread::idempotency {

// What becomes of a new key that the store has no capacity for.
enum class WhenFull {
  kReject,            // with a retry-after
  kStartUnprotected,  // without deduplication, and counted
};

// What becomes of a new key that no gateway can confirm as new: this one started less than `keep` ago, and no
// peer that has been up for longer could be asked.
enum class WhenUnconfirmed {
  kStartSticky,  // in the key's upstream group, which drops repeats
  kReject,       // with a retry-after
};

struct Limits {
  bool enabled = false;
  std::size_t memory = 8 << 20;            // bytes of entries, answers and waiters together
  std::chrono::milliseconds keep{60'000};  // how long a key is remembered after its request was sent
  double customer_quota = 0.25;            // the fraction of `memory` that one customer's keys may take
  std::size_t max_waiters = 64;            // requests that wait for one key
  WhenFull when_full = WhenFull::kReject;
  WhenUnconfirmed when_unconfirmed = WhenUnconfirmed::kStartSticky;
  std::size_t replicas = 2;                      // gateways that record a key's claim before its work begins
  std::size_t datagrams_per_second = 20;         // to each peer, at most
  std::chrono::milliseconds peer_silent{1'500};  // a peer that leaves questions unanswered this long is away
  bool operator==(const Limits&) const = default;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_LIMITS_H_
