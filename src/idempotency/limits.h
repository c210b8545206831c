// The operator's settings for the idempotency store and its protocol.
#ifndef POSTSPREAD_IDEMPOTENCY_LIMITS_H_
#define POSTSPREAD_IDEMPOTENCY_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace postspread::idempotency {

// What the gateway does with a new key for which the store has no capacity.
enum class WhenFull {
  kReject,            // rejects the request with a retry-after
  kStartUnprotected,  // starts the request without deduplication and counts it
};

// What the gateway does with a new key that no gateway can confirm as new: this gateway started less than
// `keep` ago, and no peer with a longer uptime could be queried.
enum class WhenUnconfirmed {
  kStartSticky,  // starts the request in the key's upstream group, which drops repeats
  kReject,       // rejects the request with a retry-after
};

struct Limits {
  bool enabled = false;
  std::size_t memory = 8 << 20;            // bytes for entries, responses and waiters together
  std::chrono::milliseconds keep{60'000};  // how long a key is stored after its request was sent
  double customer_quota = 0.25;            // maximum fraction of `memory` for one customer's keys
  std::size_t max_waiters = 64;            // maximum number of requests that wait for one key
  WhenFull when_full = WhenFull::kReject;
  WhenUnconfirmed when_unconfirmed = WhenUnconfirmed::kStartSticky;
  std::size_t replicas = 2;                      // gateways that record a key's claim before its work begins
  std::size_t datagrams_per_second = 20;         // maximum rate to each peer
  std::chrono::milliseconds peer_silent{1'500};  // queries unanswered for this long make a peer unavailable
  bool operator==(const Limits&) const = default;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_LIMITS_H_
