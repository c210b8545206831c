// What an operator may set of the key store. Values only.
#ifndef POSTSPREAD_IDEMPOTENCY_LIMITS_H_
#define POSTSPREAD_IDEMPOTENCY_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace postspread::idempotency {

// What becomes of a new key that the store has no room for.
enum class WhenFull { kDefer, kPass };  // refused with a retry-after; passed on unprotected, and counted

// What becomes of a new key that nobody can vouch for: this gateway started less than `keep` ago and no
// peer that has been up for longer could be asked.
enum class Unvouched { kPin, kDefer };  // sent to its pod alone, which drops repeats; refused

struct Limits {
  bool enabled = false;
  std::size_t memory = 8 << 20;            // bytes of table, answers and waiters together
  std::chrono::milliseconds keep{60'000};  // for how long a key is remembered from when its request was sent
  double customer_share = 0.25;            // of `memory`: the most that one customer's keys may take
  std::size_t max_waiters = 64;            // repeats that wait for one key
  WhenFull when_full = WhenFull::kDefer;
  Unvouched unvouched = Unvouched::kPin;
  std::size_t witnesses = 2;  // gateways of a customer's set that note a key down before its work begins
  std::size_t datagrams_per_second = 20;         // to each peer, at most
  std::chrono::milliseconds peer_silent{1'500};  // of a peer that is asked and does not answer: it is away
  bool operator==(const Limits&) const = default;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_LIMITS_H_
