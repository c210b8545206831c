// What goes into the replica of keys and what comes out of it: plain values.
#ifndef POSTSPREAD_IDEMPOTENCY_TYPES_H_
#define POSTSPREAD_IDEMPOTENCY_TYPES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace postspread::idempotency {

// Time since an origin that is the caller's; it never goes back.
using TimePoint = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

// A request that waits for the answer to a key: the caller's number, never used twice.
using WaiterId = std::uint64_t;

// (customer, class, k) as 128 bits; the table and the messages hold no text of a client's.
struct KeyId {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const KeyId&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};
struct KeyHash {
  std::size_t operator()(const KeyId& key) const { return static_cast<std::size_t>(key.low); }
};

// What the caller needs to begin the work on a waiter's behalf; the replica only holds it.
struct Work {
  std::array<char, 16> customer{};
  std::int16_t class_index = 0, plan_index = 0;
  std::int16_t spread = 1, first = 0;  // the customer's gateways: so many in a row from this number
  float units = 1;
  bool is_retry = false;
};

// A keyed request has come in.
struct Ask {
  WaiterId waiter = 0;
  KeyId key;
  std::uint64_t fingerprint = 0;  // of all that must be the same in a repeat
  std::uint32_t customer = 0;     // a hash of the customer's name
  TimePoint deadline{0};          // its final answer must have left by then
  Duration window{0};             // for so long from a send the upstreams that share keys drop repeats
  bool pinned = false;            // these are a part of them only, a pod; else all
  Work work;
};

// The upstreams that share keys, as far as the endpoint list tells.
struct Pod {
  std::int64_t id = 0;
  std::size_t ready = 0;  // upstreams that take something new
};

// Where the work on a key may go.
struct Pin {
  bool has_pod = false;  // else anywhere
  std::int64_t pod = 0;
  bool may_have_run = false;  // an earlier attempt, `age` ago, may have run
  Duration age{0};
};

// ---- Actions, to be carried out at once, in order.

// Begin the work of this waiter's request; tell how it ended by Keeper::OnWorkFinished.
struct StartRequest {
  WaiterId waiter = 0;
  Work work;
  TimePoint deadline{0};
  Pin pin;
};
// Begin it without protection: the store is full and the operator has chosen so. Nothing is told of its end.
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
struct RejectWithRetryAfter {  // this request was not begun and asking again is harmless
  WaiterId waiter = 0;
  Duration retry_after{0};
};
enum class FailureReason {
  kUnknown,     // it may have been carried out
  kOther,       // the key belongs to another request
  kAnswerGone,  // it was carried out; its answer is held no longer
};
struct FailRequest {
  WaiterId waiter = 0;
  FailureReason reason = FailureReason::kUnknown;
};
// Nobody needs this waiter's request any more; follows its final answer where the work outlived it.
struct ReleaseRequest {
  WaiterId waiter = 0;
};
struct SendDatagram {  // a datagram of at most kMaxDatagram bytes
  int rank = 0;
  std::string bytes;
};
struct LogEvent {  // a line for the log
  std::string line;
};
using Action = std::variant<StartRequest, StartUnprotected, CompleteRequest, RejectWithRetryAfter,
                            FailRequest, ReleaseRequest, SendDatagram, LogEvent>;

// How the work on a key ended.
enum class End {
  kServed,   // with a value
  kRefused,  // it never ran
  kFailed,   // it may have run
};

// What has happened since the start.
struct Counts {
  std::uint64_t started = 0, joined = 0, replayed = 0, fetched = 0, resumed = 0;
  std::uint64_t mismatched = 0, unknown_told = 0, answer_gone_told = 0;
  std::uint64_t full_deferred = 0, full_passed = 0, unvouched = 0, values_dropped = 0;
  std::uint64_t datagrams_out = 0, datagrams_in = 0, datagrams_bad = 0, records_dropped = 0;
  bool operator==(const Counts&) const = default;
};

// All of them since the start as NAME=NUMBER, for the log.
std::string Summary(const Counts& counts, std::size_t keys, std::size_t used, std::size_t peak,
                    std::size_t bound);

inline constexpr std::size_t kMaxDatagram = 256;

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_TYPES_H_
