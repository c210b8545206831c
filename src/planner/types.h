// Input (reports) and output (actions) of the planner. These plain values are independent of the controller's
// types.
#ifndef POSTSPREAD_PLANNER_TYPES_H_
#define POSTSPREAD_PLANNER_TYPES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "model/load_report.h"
#include "model/request.h"
#include "model/upstream.h"

namespace postspread::planner {

using Clock = std::chrono::steady_clock;

// ---- Actions: the caller executes them at once and in order.

struct StartAttempt {
  RequestId request = 0;
  AttemptNumber attempt = 0;
  std::string upstream;
  std::chrono::microseconds timeout{0};
  // The last byte of the request must reach the upstream within this time.
  std::chrono::microseconds arrival_timeout{0};
};

// Final response: the request was not executed, so the client may retry it safely.
struct RejectWithRetryAfter {
  RequestId request = 0;
  std::chrono::microseconds retry_after{0};  // 0: the client gets no retry-after.
};

enum class FailureReason {
  kFailed,
  kUnknown,          // An earlier request with the same key may have been executed.
  kKeyReused,        // The key was used for a different request.
  kResponseDropped,  // An earlier request with the same key was executed; its response is no longer cached.
};

// Final response: the request may have been executed.
struct FailRequest {
  RequestId request = 0;
  FailureReason reason = FailureReason::kFailed;
};

// Final response: the value that an upstream returned for an earlier request with the same key.
struct CompleteRequest {
  RequestId request = 0;
  std::shared_ptr<const std::string> value;
};

// The client has disconnected, and the planner no longer needs the request.
struct ReleaseRequest {
  RequestId request = 0;
};

// Sends a datagram to the gateway of rank `rank`, or with kAll to all other gateways.
struct SendDatagram {
  static constexpr int kAll = -1;
  int rank = 0;
  std::string bytes;
};

// Sends a membership datagram; `peer` is a membership::PeerId.
struct SendMembershipDatagram {
  std::uint64_t peer = 0;
  std::string bytes;
};

struct CancelAttempt {
  RequestId request = 0;
  AttemptNumber attempt = 0;
};

// Adds `amount` to a counter that all gateways share.
struct CallCounter {
  std::string name;
  double amount = 0.0;
  std::chrono::microseconds ttl{0};  // The counter's time to live, if this call creates it.
};

struct StartHealthCheck {
  std::string upstream;
};

struct LogEvent {
  std::string line;
};

using Action = std::variant<StartAttempt, RejectWithRetryAfter, FailRequest, CompleteRequest, ReleaseRequest,
                            CancelAttempt, CallCounter, StartHealthCheck, SendDatagram,
                            SendMembershipDatagram, LogEvent>;

// ---- Reports: results of actions, and external events.

enum class AttemptResult { kSucceeded, kError, kRejected, kTimedOut, kConnectFailed, kReset, kCancelled };

// Returns the metric label of `result`. These labels are a fixed part of the metrics.
constexpr std::string_view Name(AttemptResult result) {
  switch (result) {
    case AttemptResult::kSucceeded:
      return "served";
    case AttemptResult::kError:
      return "error";
    case AttemptResult::kRejected:
      return "turned_away";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kConnectFailed:
      return "could_not_connect";
    case AttemptResult::kReset:
      return "reset";
    case AttemptResult::kCancelled:
      return "abandoned";
  }
  return "";
}

// The result of an attempt. The caller reports exactly one for each StartAttempt.
struct AttemptReport {
  RequestId request = 0;
  AttemptNumber attempt = 0;
  std::string upstream;
  AttemptResult result = AttemptResult::kSucceeded;
  std::chrono::microseconds elapsed{0};
  UpstreamLoad load{};
  ReportedUsage use{};
  std::string value{};  // The response value, with kSucceeded if Planner::NeedsResponseValue returns true.
};

enum class CounterResult {
  kAdded,
  kRejected,
  kUnreachable,
  kTimedOut,  // The counter may have added the amount.
};

// The result of a counter call. The caller reports exactly one for each CallCounter, and those of one counter
// in the order of its calls.
struct CounterReport {
  std::string name;
  CounterResult result = CounterResult::kAdded;
  double total = 0.0;
  std::chrono::microseconds elapsed{0};
};

// An update of discovery's endpoint list.
struct EndpointListReport {
  EndpointUpdateKind kind = EndpointUpdateKind::kSnapshot;
  std::uint64_t index = 0;  // The version of the list.
  std::vector<Upstream> upstreams;
};

// The result of a health check. The caller reports exactly one for each StartHealthCheck.
struct HealthCheckReport {
  std::string upstream;
  AttemptResult result = AttemptResult::kSucceeded;
  std::chrono::microseconds elapsed{0};
  UpstreamLoad load{};
};

struct ClientDisconnected {
  RequestId request = 0;
};

// A datagram was received from the gateway of rank `rank`.
struct PeerReport {
  int rank = 0;
  std::string bytes;
};

// A membership datagram was received on membership's own socket; `peer` is a membership::PeerId.
struct MembershipReport {
  std::uint64_t peer = 0;
  std::string bytes;
};

using ReportValue = std::variant<AttemptReport, CounterReport, EndpointListReport, HealthCheckReport,
                                 ClientDisconnected, PeerReport, MembershipReport>;

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_TYPES_H_
