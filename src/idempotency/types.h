// The values that enter and leave the idempotency replica.
#ifndef POSTSPREAD_IDEMPOTENCY_TYPES_H_
#define POSTSPREAD_IDEMPOTENCY_TYPES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace postspread::idempotency {

// Time since an origin that the caller chooses; it never decreases.
using TimePoint = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

// A request that waits for the answer to a key. The caller never uses a number twice.
using WaiterId = std::uint64_t;

// (customer, class, idempotency key) as 128 bits; neither the store nor the datagrams hold a client's text.
struct KeyId {
  std::uint64_t high = 0, low = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with 0
  auto operator<=>(const KeyId&) const = default;
};
struct KeyHash {
  std::size_t operator()(const KeyId& key) const { return static_cast<std::size_t>(key.low); }
};

// What the caller needs in order to start a waiter's request; the replica stores it and does not read it, but
// for the customer's gateways.
struct Work {
  std::array<char, 16> customer{};
  std::int16_t class_index = 0, plan_index = 0;
  std::int16_t spread = 1, first = 0;  // the customer's gateways: `spread` ranks in a row from `first`
  float units = 1;
  bool is_retry = false;
};

// A request with an idempotency key has arrived.
struct KeyedRequest {
  WaiterId waiter = 0;
  KeyId key;
  std::uint64_t fingerprint = 0;  // of everything that must be equal in a repeat
  std::uint32_t customer = 0;     // a hash of the customer's name
  TimePoint deadline{0};          // its final answer must have left by then
  Duration dedup_window{0};       // how long after a send the upstreams drop repeats of it
  bool sticky = false;            // only upstreams of one group drop each other's repeats; else all do
  Work work;
};

// Upstreams that drop each other's repeats, as the endpoint list shows them.
struct UpstreamGroup {
  std::int64_t id = 0;
  std::size_t ready = 0;  // upstreams that accept new work
};

// Where the work on a key may be sent.
struct StickyPlacement {
  std::optional<std::int64_t> group;  // nothing: anywhere
  bool may_have_run = false;          // an earlier attempt, `age` ago, may have run
  Duration age{0};
};

// ---- Actions, which the caller executes at once and in order.

// Start the request of this waiter; report its end by IdempotencyReplica::OnWorkFinished.
struct StartRequest {
  WaiterId waiter = 0;
  Work work;
  TimePoint deadline{0};
  StickyPlacement placement;
};
// Start it without deduplication, as the operator chose for a full store. Its end is not reported.
struct StartUnprotected {
  WaiterId waiter = 0;
  Work work;
  TimePoint deadline{0};
};
// Final answers.
struct CompleteRequest {
  WaiterId waiter = 0;
  std::shared_ptr<const std::string> value;
};
struct RejectWithRetryAfter {  // this request was not started; a retry is harmless
  WaiterId waiter = 0;
  Duration retry_after{0};
};
enum class FailureReason {
  kUnknownOutcome,       // it may have been executed
  kFingerprintMismatch,  // the key belongs to another request
  kAnswerDropped,        // it was executed; its answer is no longer stored
};
struct FailRequest {
  WaiterId waiter = 0;
  FailureReason reason = FailureReason::kUnknownOutcome;
};
// Nobody needs this waiter's request any more; in place of its final answer where the work outlived it.
struct ReleaseRequest {
  WaiterId waiter = 0;
};
struct SendDatagram {  // to a peer; at most kMaxDatagram bytes
  int rank = 0;
  std::string bytes;
};
using Action = std::variant<StartRequest, StartUnprotected, CompleteRequest, RejectWithRetryAfter,
                            FailRequest, ReleaseRequest, SendDatagram>;

// How the work on a key ended.
enum class WorkResult {
  kServed,    // with a value
  kRejected,  // it never ran
  kFailed,    // it may have run
};

// A gateway and the group that it belongs to.
struct GatewayIdentity {
  int rank = 0;
  int group_size = 1;
  bool has_peers = false;         // datagrams can be sent to them
  std::uint64_t incarnation = 0;  // higher than at any earlier start
};

inline constexpr std::size_t kMaxDatagram = 256;

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_TYPES_H_
