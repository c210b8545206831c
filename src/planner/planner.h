// The decision module behind three calls: Pick, Report and Tick. Each returns at once with the actions to be
// executed at that moment, in order. There are no callbacks and there is no I/O: the caller owns the clock
// and the sockets, the planner owns the controller, the subsystems beside it and the numbers of requests.
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

// Valid until the next call of the planner.
using Actions = std::span<Action>;

class Planner final : private FinalResponseInterceptor {
 public:
  // `wall` is the wall clock at `now`. Gateways number a customer's periods by it, so it must agree
  // between them; from then on only the steady clock counts, so that time never goes back.
  Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now,
          const PlannerOptions& options);
  Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now)
      : Planner(std::move(settings), seed, wall, now, PlannerOptions{}) {}
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;

  // Adopts other settings for what comes from now on; requests in flight keep their rules, and what was
  // learnt stays. Returns whether the plans were left as they were, since theirs are not the same names in
  // the same order.
  bool Reconfigure(Settings settings);
  // Slots of classes, the unused ones too: no more than were configured at once.
  [[nodiscard]] std::size_t class_slots() const { return settings_.classes.size(); }
  // Adopts what may change while the process runs.
  void SetLimits(const idempotency::Limits& idempotency, const membership::Limits& membership);

  struct PickResult {
    RequestId number = 0;
    Actions actions;
  };
  // A request has arrived; it gets exactly one final response: a value, a rejection or a failure.
  PickResult Pick(const Request& request, Clock::time_point now);

  // The process shuts down: membership announces it.
  Actions Leave(Clock::time_point now);

  // The result of an action, or an event. An attempt that succeeded ends its request: its value is the final
  // response.
  Actions Report(ReportValue report, Clock::time_point now);

  // Runs the timers that are due.
  Actions Tick(Clock::time_point now);
  // When Tick is due next; nothing: not at all. May have changed after each call.
  std::optional<Clock::time_point> NextTick();

  // Upstreams in the list, and how many of them the decisions avoid now.
  Controller::UpstreamCounts Count(Clock::time_point now) { return controller_.Count(At(now)); }

  // Whether the value is wanted in the report of the request's attempt: an action sends the response then.
  bool NeedsAnswer(RequestId number) { return idempotency_ && idempotency_->IsRunning(number); }
  // Whether the request is needed after its client has disconnected, until its ReleaseRequest.
  bool OutlivesClient(RequestId number) { return idempotency_ && idempotency_->IsTracking(number); }

  // Null where idempotency is disabled.
  idempotency::IdempotencyReplica* replica() { return idempotency_ ? &idempotency_->replica() : nullptr; }
  // Null where membership is disabled.
  [[nodiscard]] const membership::Membership* membership() const {
    return membership_ ? &membership_->membership() : nullptr;
  }

 private:
  // FinalResponseInterceptor
  bool InterceptRejection(RequestId request, Duration retry_after) override;
  bool InterceptFailure(RequestId request) override;

  TimePoint At(Clock::time_point now);
  std::optional<UsageAdapter> MakeUsage(const PlannerOptions& options, std::uint64_t seed);
  [[nodiscard]] subsetting::RingPosition RingPosition() const;
  void OnViewChanged();
  // One for each alternative of ReportValue.
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
  TimePoint latest_;  // of the times handed in
  Settings settings_;
  RequestId next_request_ = 1;
  std::vector<Action> actions_;  // of the current call
  StartTimes start_times_;
  UpstreamSet upstreams_;  // maintained where idempotency or subsetting is enabled
  std::optional<UsageAdapter> usage_;
  ControllerAdapter controller_;
  std::optional<SubsettingAdapter> subsetting_;
  std::optional<MembershipAdapter> membership_;
  std::optional<IdempotencyAdapter> idempotency_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_PLANNER_H_
