// This module connects the event loop and the planner.
#ifndef POSTSPREAD_NET_GATEWAY_PLANNER_DRIVER_H_
#define POSTSPREAD_NET_GATEWAY_PLANNER_DRIVER_H_

#include <deque>
#include <functional>
#include <optional>

#include "net/loop.h"
#include "planner/planner.h"
#include "planner/types.h"

namespace postspread::net {

// Executes an action of the planner at once.
class ActionExecutor {
 public:
  virtual void Execute(planner::Action& action) = 0;

 protected:
  ~ActionExecutor() = default;
};

// Delivers reports and timer ticks to the planner, and executes the actions that it returns, one batch at a
// time. The planner is not reentrant, so a report that is made while actions are executed is queued until the
// batch is complete.
class PlannerDriver {
 public:
  PlannerDriver(event_base* base, planner::Planner& planner, ActionExecutor& executor);

  // Delivers the report at once, or after the current batch of actions if one is being executed.
  void Report(planner::ReportValue report);
  // Calls `change`, and delivers `report` before any report that is made from within `change`.
  void ReportBefore(planner::ReportValue report, const std::function<void()>& change);
  // Executes a batch of actions. The caller must then call DeliverReports, once its own state is consistent.
  void Execute(planner::Actions actions);
  void DeliverReports();
  // Arms the timer for the planner's next tick.
  void ArmTick();

 private:
  void Tick();

  planner::Planner& planner_;
  ActionExecutor& executor_;
  bool executing_ = false;
  // Contains the reports that are queued while actions are executed.
  std::deque<planner::ReportValue> reports_;
  std::optional<Clock::time_point> armed_for_;
  Timer tick_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_PLANNER_DRIVER_H_
