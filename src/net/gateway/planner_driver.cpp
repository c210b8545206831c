#include "net/gateway/planner_driver.h"

#include <chrono>
#include <utility>

namespace postspread::net {

PlannerDriver::PlannerDriver(event_base* base, planner::Planner& planner, ActionExecutor& executor)
    : planner_(planner), executor_(executor), tick_(base, [this] { Tick(); }) {}

void PlannerDriver::Report(planner::ReportValue report) {
  reports_.push_back(std::move(report));
  DeliverReports();
}

void PlannerDriver::ReportBefore(planner::ReportValue report, const std::function<void()>& change) {
  executing_ = true;
  change();
  executing_ = false;
  reports_.push_front(std::move(report));
  DeliverReports();
}

void PlannerDriver::Execute(planner::Actions actions) {
  executing_ = true;
  for (planner::Action& action : actions) executor_.Execute(action);
  executing_ = false;
}

void PlannerDriver::DeliverReports() {
  if (executing_) return;
  while (!reports_.empty()) {
    planner::ReportValue report = std::move(reports_.front());
    reports_.pop_front();
    Execute(planner_.Report(std::move(report), Clock::now()));
  }
  ArmTick();
}

void PlannerDriver::ArmTick() {
  const std::optional<Clock::time_point> next = planner_.NextTick();
  if (!next || (armed_for_ && *armed_for_ <= *next)) return;
  armed_for_ = next;
  tick_.Arm(std::chrono::ceil<std::chrono::microseconds>(*next - Clock::now()));
}

void PlannerDriver::Tick() {
  armed_for_.reset();
  Execute(planner_.Tick(Clock::now()));
  DeliverReports();
}

}  // namespace postspread::net
