// Calls the planner and has its actions executed, one batch at a time.
#ifndef POSTSPREAD_NET_GATEWAY_PLANNER_DRIVER_H_
#define POSTSPREAD_NET_GATEWAY_PLANNER_DRIVER_H_

#include <deque>
#include <functional>
#include <optional>

#include "net/loop.h"
#include "planner/planner.h"
#include "planner/types.h"

namespace postspread::net {

// Executes a planner's action at once.
class ActionExecutor {
 public:
  virtual void Execute(planner::Action& action) = 0;

 protected:
  ~ActionExecutor() = default;
};

// The planner is not reentrant: a report made while actions are being executed is queued, and delivered once
// the batch is complete. Runs the planner's timer as well.
class PlannerDriver {
 public:
  PlannerDriver(event_base* base, planner::Planner& planner, ActionExecutor& executor);

  // Delivers the report now, or after the batch of actions that is being executed.
  void Report(planner::ReportValue report);
  // Applies `change`, and delivers `report` before all that is reported from within it.
  void ReportBefore(planner::ReportValue report, const std::function<void()>& change);
  // Executes a batch; the caller follows it with DeliverReports once its own state is consistent.
  void Execute(planner::Actions actions);
  void DeliverReports();
  // Arms the timer for the planner's next tick.
  void ArmTick();

 private:
  void Tick();

  planner::Planner& planner_;
  ActionExecutor& executor_;
  bool executing_ = false;
  std::deque<planner::ReportValue> reports_;  // queued while executing
  std::optional<Clock::time_point> armed_for_;
  Timer tick_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_PLANNER_DRIVER_H_
