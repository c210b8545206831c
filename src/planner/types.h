// What goes into the planner and what comes out of it: plain values that name no type of the module.
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

// ---- Steps: to be carried out at once, in order.

// Begins a delivery attempt. A request's attempts are numbered 0, 1, ... in the order of these steps.
struct StartAttempt {
  RequestId request = 0;
  int attempt = 0;
  std::string upstream;
  std::chrono::microseconds timeout{0};
  std::chrono::microseconds begin_within{0};  // its first byte may not arrive later
};

// Final answer: not done, and asking again is harmless.
struct RejectWithRetryAfter {
  RequestId request = 0;
  std::chrono::microseconds retry_after{0};  // 0: no advice
};

// Final answer: promises nothing.
enum class FailureReason {
  kFailed,
  kUnknown,     // an earlier request under the same key may have been carried out
  kOtherKey,    // the key belongs to another request
  kAnswerGone,  // an earlier request under the same key was carried out; its answer is held no longer
};
struct FailRequest {
  RequestId request = 0;
  FailureReason reason = FailureReason::kFailed;
};

// Final answer: the value that an upstream gave for an earlier request under the same key.
struct CompleteRequest {
  RequestId request = 0;
  std::shared_ptr<const std::string> value;
};

// Its sender has gone, and nothing needs the request any more.
struct ReleaseRequest {
  RequestId request = 0;
};

// A datagram to the gateway of this rank, or to all others.
struct SendDatagram {
  static constexpr int kAll = -1;
  int rank = 0;
  std::string bytes;
};

// A datagram of the membership view, to a place as this installation counts them.
struct SendMembershipDatagram {
  std::uint64_t peer = 0;
  std::string bytes;
};

struct CancelAttempt {
  RequestId request = 0;
  int attempt = 0;
};

struct CallCounter {
  std::string name;
  double amount = 0.0;
  std::chrono::microseconds incarnation{0};  // of a new name
};

struct ProbeUpstream {
  std::string upstream;
};

struct LogEvent {  // a line for the log
  std::string line;
};

using Action =
    std::variant<StartAttempt, RejectWithRetryAfter, FailRequest, CompleteRequest, ReleaseRequest,
                 CancelAttempt, CallCounter, ProbeUpstream, SendDatagram, SendMembershipDatagram, LogEvent>;

// ---- Reports: what came back.

enum class AttemptResult { kServed, kError, kTurnedAway, kTimedOut, kCouldNotConnect, kReset, kAbandoned };

constexpr std::string_view Name(AttemptResult result) {
  switch (result) {
    case AttemptResult::kServed:
      return "served";
    case AttemptResult::kError:
      return "error";
    case AttemptResult::kTurnedAway:
      return "turned_away";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kCouldNotConnect:
      return "could_not_connect";
    case AttemptResult::kReset:
      return "reset";
    case AttemptResult::kAbandoned:
      return "abandoned";
  }
  return "";
}

// An attempt is over; told exactly once for each Deliver.
struct AttemptReport {
  RequestId request = 0;
  int attempt = 0;
  std::string upstream;
  AttemptResult result = AttemptResult::kServed;
  std::chrono::microseconds elapsed{0};
  UpstreamLoad load{};
  ReportedUsage use{};
  std::string value{};  // with kServed, where Planner::Keeps the request's answer
};

enum class CounterResult { kAdded, kTurnedAway, kUnreachable, kNoAnswer };  // kNoAnswer: may have been added

// Told exactly once for each AskCounter, for one name in the order of its asks.
struct CounterReport {
  std::string name;
  CounterResult result = CounterResult::kAdded;
  double total = 0.0;
  std::chrono::microseconds elapsed{0};
};

struct EndpointListReport {
  EndpointUpdateKind scope = EndpointUpdateKind::kSnapshot;
  std::uint64_t index = 0;
  std::vector<Upstream> upstreams;
};

struct ProbeReport {
  std::string upstream;
  AttemptResult result = AttemptResult::kServed;
  std::chrono::microseconds elapsed{0};
  UpstreamLoad load{};
};

struct ClientDisconnected {
  RequestId request = 0;
};

// A datagram of the gateway of this rank.
struct PeerReport {
  int rank = 0;
  std::string bytes;
};

// A datagram from a place, where the membership view has a socket of its own.
struct MembershipReport {
  std::uint64_t peer = 0;
  std::string bytes;
};

using ReportValue = std::variant<AttemptReport, CounterReport, EndpointListReport, ProbeReport,
                                 ClientDisconnected, PeerReport, MembershipReport>;

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_TYPES_H_
