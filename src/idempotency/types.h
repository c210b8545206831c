// The inputs and the actions of the idempotency replica.
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

// The time since an origin that the caller chooses; it never decreases.
using TimePoint = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

// Identifies a request that waits for the response to a key. The caller never uses an id twice.
using WaiterId = std::uint64_t;

// The 128-bit digest of (customer, class, idempotency key). Neither the store nor the datagrams contain the
// client's own text.
struct KeyId {
  std::uint64_t high = 0, low = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with 0
  auto operator<=>(const KeyId&) const = default;
};
struct KeyHash {
  std::size_t operator()(const KeyId& key) const { return static_cast<std::size_t>(key.low); }
};

// The data that the caller needs to start a waiter's request. The replica stores it and reads only the
// customer's gateways from it.
struct Work {
  std::array<char, 16> customer{};
  std::int16_t class_index = 0, plan_index = 0;
  std::int16_t spread = 1, first = 0;  // the customer's gateways are `spread` consecutive ranks from `first`
  float units = 1;
  bool is_retry = false;
};

// A request with an idempotency key, as it arrives from a client.
struct KeyedRequest {
  WaiterId waiter = 0;
  KeyId key;
  std::uint64_t fingerprint = 0;  // hash of everything that must be equal in a repeat
  std::uint32_t customer = 0;     // hash of the customer's name
  TimePoint deadline{0};          // the gateway must send the final response by this time
  Duration dedup_window{0};       // how long after the first send the upstreams drop repeats of the request
  bool sticky = false;            // true: only upstreams of the same group drop each other's repeats
  Work work;
};

// A group of upstreams that drop each other's repeats, as given by the endpoint list.
struct UpstreamGroup {
  std::int64_t id = 0;
  std::size_t ready = 0;  // upstreams that accept new work
};

// The upstreams to which the work on a key may be sent.
struct StickyPlacement {
  std::optional<std::int64_t> group;  // nullopt: any upstream
  bool may_have_run = false;          // an earlier attempt, started `age` ago, may have been executed
  Duration age{0};
};

// ---- Actions ----
// The caller executes them at once and in order.

// The caller starts this waiter's request and reports its end by IdempotencyReplica::OnWorkFinished.
struct StartRequest {
  WaiterId waiter = 0;
  Work work;
  TimePoint deadline{0};
  StickyPlacement placement;
};
// The caller starts this waiter's request without deduplication, which the operator has chosen for a full
// store. The caller does not report its end.
struct StartUnprotected {
  WaiterId waiter = 0;
  Work work;
  TimePoint deadline{0};
};
// The final responses.
struct CompleteRequest {
  WaiterId waiter = 0;
  std::shared_ptr<const std::string> value;
};
struct RejectWithRetryAfter {  // the request was not executed, so a retry cannot execute it twice
  WaiterId waiter = 0;
  Duration retry_after{0};
};
enum class FailureReason {
  kUnknownOutcome,       // the request may have been executed
  kFingerprintMismatch,  // the key belongs to another request
  kResponseDropped,      // the request was executed; its response is no longer stored
};
struct FailRequest {
  WaiterId waiter = 0;
  FailureReason reason = FailureReason::kUnknownOutcome;
};
// The client of this waiter has disconnected and needs no response. If it disconnected while its request ran,
// this action takes the place of the final response.
struct ReleaseRequest {
  WaiterId waiter = 0;
};
struct SendDatagram {  // the caller sends the bytes, at most kMaxDatagram, to this peer
  int rank = 0;
  std::string bytes;
};
using Action = std::variant<StartRequest, StartUnprotected, CompleteRequest, RejectWithRetryAfter,
                            FailRequest, ReleaseRequest, SendDatagram>;

// How the work on a key ended.
enum class WorkResult {
  kServed,    // an upstream returned a value
  kRejected,  // the request was not executed
  kFailed,    // the request may have been executed
};

// This gateway's place in its group.
struct GatewayIdentity {
  int rank = 0;
  int group_size = 1;
  bool has_peers = false;         // true if datagrams can be sent to the other gateways
  std::uint64_t incarnation = 0;  // higher than at any earlier start
};

inline constexpr std::size_t kMaxDatagram = 256;  // bytes

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_TYPES_H_
