// The interface between the network code and the decisions of a gateway. Each of Pick, Report and Tick
// returns at once with the actions that the caller must execute now, in order. The planner uses no callbacks
// and does no I/O: the caller owns the clock and the sockets. The planner owns the controller and the other
// subsystems, and assigns the request ids.
#ifndef POSTSPREAD_PLANNER_PLANNER_H_
#define POSTSPREAD_PLANNER_PLANNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "idempotency/replica.h"
#include "membership/membership.h"
#include "model/request.h"
#include "planner/controller_adapter.h"
#include "planner/idempotency_adapter.h"
#include "planner/membership_adapter.h"
#include "planner/options.h"
#include "planner/start_times.h"
#include "planner/subsetting_adapter.h"
#include "planner/types.h"
#include "planner/upstream_set.h"
#include "planner/usage_adapter.h"
#include "postspread/control.h"

namespace postspread::planner {

// The actions are valid until the next call of the planner.
using Actions = std::span<Action>;

class Planner final : private FinalResponseInterceptor {
 public:
  // `wall` is the wall clock at `now`. Gateways number a customer's periods by wall time, so their wall
  // clocks must agree. After construction the planner uses only the steady clock, so that time never goes
  // back.
  Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now,
          const PlannerOptions& options);
  Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now)
      : Planner(std::move(settings), seed, wall, now, PlannerOptions{}) {}
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;

  // Applies new settings to future requests. Requests in flight keep their settings, and learned state stays.
  // Returns true if the new plans were ignored because their names or their order differ.
  bool Reconfigure(Settings settings);
  // Returns the number of class slots including unused ones, which is at most the maximum number of classes
  // that were configured at the same time.
  [[nodiscard]] std::size_t class_slots() const { return settings_.classes.size(); }
  // Applies the limits that may change while the process runs.
  void SetLimits(const idempotency::Limits& idempotency, const membership::Limits& membership);

  struct PickResult {
    RequestId request_id = 0;
    Actions actions;
  };
  // Handles a new request, which gets exactly one final response: a value, a rejection or a failure.
  PickResult Pick(const Request& request, Clock::time_point now);

  // Announces the shutdown of this process to the other members.
  Actions Leave(Clock::time_point now);

  // Handles the result of an action, or an event. A successful attempt completes its request; its value is
  // the final response.
  Actions Report(ReportValue report, Clock::time_point now);

  // Runs the timers that are due.
  Actions Tick(Clock::time_point now);
  // Returns when the next Tick is due, or nothing if none is. Any call of the planner may change this time.
  std::optional<Clock::time_point> NextTick();

  // Returns how many upstreams are listed, and how many of these the controller avoids at present.
  Controller::UpstreamCounts Count(Clock::time_point now) { return controller_.Count(ToPlannerTime(now)); }
  // Returns how many customers have an account.
  [[nodiscard]] std::size_t CountCustomers() const { return controller_.CountCustomers(); }

  // Returns whether the report of the request's attempt must contain the response value. An action then sends
  // the response.
  bool NeedsResponseValue(RequestId request) { return idempotency_ && idempotency_->IsRunning(request); }
  // Returns whether the caller must keep the request after its client has disconnected, until ReleaseRequest.
  bool OutlivesClient(RequestId request) { return idempotency_ && idempotency_->IsTracking(request); }

  // Returns null if idempotency is disabled.
  idempotency::IdempotencyReplica* replica() { return idempotency_ ? &idempotency_->replica() : nullptr; }
  // Returns null if membership is disabled.
  [[nodiscard]] const membership::Membership* membership() const {
    return membership_ ? &membership_->membership() : nullptr;
  }

 private:
  // FinalResponseInterceptor
  bool InterceptRejection(RequestId request, Duration retry_after) override;
  bool InterceptFailure(RequestId request) override;

  // Converts `now` to the wall clock at construction plus the steady time since. The result never decreases.
  TimePoint ToPlannerTime(Clock::time_point now);
  std::optional<UsageAdapter> MakeUsageAdapter(const PlannerOptions& options, std::uint64_t seed);
  [[nodiscard]] subsetting::RingPosition RingPosition() const;
  void OnViewChanged();
  // Each overload handles one alternative of ReportValue.
  void On(AttemptReport&& report, TimePoint now);
  void On(CounterReport&& report, TimePoint now);
  void On(EndpointListReport&& report, TimePoint now);
  void On(HealthCheckReport&& report, TimePoint now);
  void On(ClientDisconnected&& report, TimePoint now);
  void On(PeerReport&& report, TimePoint now);
  void On(MembershipReport&& report, TimePoint now);
  void FinishWork(TimePoint now);

  const TimePoint wall_start_;
  const Clock::time_point steady_start_;
  TimePoint latest_time_;  // The latest result of ToPlannerTime.
  Settings settings_;
  RequestId next_request_ = 1;
  std::vector<Action> actions_;  // The actions of the current call.
  StartTimes start_times_;
  UpstreamSet upstreams_;  // This set is maintained only if idempotency or subsetting is enabled.
  std::optional<UsageAdapter> usage_;
  ControllerAdapter controller_;
  std::optional<SubsettingAdapter> subsetting_;
  std::optional<MembershipAdapter> membership_;
  std::optional<IdempotencyAdapter> idempotency_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_PLANNER_H_
