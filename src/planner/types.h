// The planner's input and output: plain values that name no type of the controller.
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

// ---- Actions: to be executed at once, in order.

// Starts an attempt.
struct StartAttempt {
  RequestId request = 0;
  AttemptNumber attempt = 0;
  std::string upstream;
  std::chrono::microseconds timeout{0};
  std::chrono::microseconds begin_within{0};  // its first byte may not arrive later
};

// Final response: the request was not executed, and a retry is harmless.
struct RejectWithRetryAfter {
  RequestId request = 0;
  std::chrono::microseconds retry_after{0};  // 0: no advice
};

enum class FailureReason {
  kFailed,
  kUnknown,        // an earlier request with the same key may have been executed
  kOtherKey,       // the key belongs to another request
  kAnswerDropped,  // an earlier request with the same key was executed; its response is no longer cached
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

// The client has disconnected, and nothing needs the request any more.
struct ReleaseRequest {
  RequestId request = 0;
};

// A datagram to the gateway of this rank, or to all others.
struct SendDatagram {
  static constexpr int kAll = -1;
  int rank = 0;
  std::string bytes;
};

// A membership datagram; `peer` is a membership::PeerId.
struct SendMembershipDatagram {
  std::uint64_t peer = 0;
  std::string bytes;
};

struct CancelAttempt {
  RequestId request = 0;
  AttemptNumber attempt = 0;
};

// Adds `amount` to a shared counter.
struct CallCounter {
  std::string name;
  double amount = 0.0;
  std::chrono::microseconds ttl{0};  // of the counter, where this call creates it
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

// ---- Reports: results of actions, and what happened besides.

enum class AttemptResult { kSucceeded, kError, kRejected, kTimedOut, kConnectFailed, kReset, kCancelled };

// The metric label values, which are fixed.
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

// An attempt has ended; reported exactly once for each StartAttempt.
struct AttemptReport {
  RequestId request = 0;
  AttemptNumber attempt = 0;
  std::string upstream;
  AttemptResult result = AttemptResult::kSucceeded;
  std::chrono::microseconds elapsed{0};
  UpstreamLoad load{};
  ReportedUsage use{};
  std::string value{};  // with kSucceeded, where Planner::NeedsAnswer
};

enum class CounterResult {
  kAdded,
  kRejected,
  kUnreachable,
  kTimedOut,  // the amount may have been added
};

// Reported exactly once for each CallCounter; for one name in the order of its calls.
struct CounterReport {
  std::string name;
  CounterResult result = CounterResult::kAdded;
  double total = 0.0;
  std::chrono::microseconds elapsed{0};
};

// An update of discovery's endpoint list.
struct EndpointListReport {
  EndpointUpdateKind kind = EndpointUpdateKind::kSnapshot;
  std::uint64_t index = 0;  // version of the list
  std::vector<Upstream> upstreams;
};

// A health check has ended; reported exactly once for each StartHealthCheck.
struct HealthCheckReport {
  std::string upstream;
  AttemptResult result = AttemptResult::kSucceeded;
  std::chrono::microseconds elapsed{0};
  UpstreamLoad load{};
};

struct ClientDisconnected {
  RequestId request = 0;
};

// A datagram from the gateway of this rank.
struct PeerReport {
  int rank = 0;
  std::string bytes;
};

// A membership datagram, where membership has a socket of its own; `peer` is a membership::PeerId.
struct MembershipReport {
  std::uint64_t peer = 0;
  std::string bytes;
};

using ReportValue = std::variant<AttemptReport, CounterReport, EndpointListReport, HealthCheckReport,
                                 ClientDisconnected, PeerReport, MembershipReport>;

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_TYPES_H_
