// A planner with two upstreams and a clock, for tests of its reports and actions.
#ifndef POSTSPREAD_TESTS_PLANNER_PLANNER_FIXTURE_H_
#define POSTSPREAD_TESTS_PLANNER_PLANNER_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "planner/planner.h"

namespace postspread::planner {

enum class Counter { kAbsent, kPresent };

// Returns settings with one class, `lookup`, and one plan, `team`.
inline Settings TestSettings(Counter counter = Counter::kAbsent) {
  Settings out;
  ClassSettings lookup;
  lookup.name = "lookup";
  lookup.latency_objective = std::chrono::seconds(1);
  lookup.deadline = std::chrono::seconds(3);
  out.classes = {lookup};
  PlanSettings plan;
  plan.name = "team";
  plan.rate = 10;
  plan.burst = 10;
  out.plans = {plan};
  out.has_counter = counter == Counter::kPresent;
  out.max_units = 4;
  out.max_attempts = 4;
  out.can_cancel = true;
  out.hedging_allowed = true;
  out.retry_after = true;
  out.max_retry_after = std::chrono::seconds(1);
  return out;
}

inline Request Lookup(const std::string& customer) {
  return {.class_name = "lookup",
          .plan = "team",
          .customer = customer,
          .timeout = std::chrono::milliseconds(2000),
          .units = 1};
}

inline Upstream TestUpstream(const std::string& name, UpstreamState state = UpstreamState::kReady) {
  return {.name = name, .zone = "z", .kind = "k", .state = state};
}

class PlannerFixture {
 public:
  explicit PlannerFixture(Counter counter = Counter::kAbsent)
      : planner(TestSettings(counter), 1, std::chrono::seconds(1'000'000), now) {
    EndpointListReport endpoint_list;
    endpoint_list.upstreams = {TestUpstream("a"), TestUpstream("b")};
    SaveActions(planner.Report(std::move(endpoint_list), now));
  }

  RequestId Pick(double units = 1) {
    Request request = Lookup(kCustomer);
    request.units = units;
    const Planner::PickResult selected = planner.Pick(request, now);
    SaveActions(selected.actions);
    return selected.request_id;
  }

  void Report(ReportValue report) { SaveActions(planner.Report(std::move(report), now)); }

  // Runs the timers that are due by `until`, but stops after the first Tick that returns actions.
  void TickUntil(Clock::time_point until) {
    last_actions.clear();
    while (last_actions.empty() && planner.NextTick() && *planner.NextTick() <= until) {
      now = std::max(now, *planner.NextTick());
      SaveActions(planner.Tick(now));
    }
  }

  // Returns the action of the last call if the call returned exactly one, and of this type.
  template <typename T>
  std::optional<T> OnlyAction() const {
    if (last_actions.size() != 1 || !std::holds_alternative<T>(last_actions[0])) return std::nullopt;
    return std::get<T>(last_actions[0]);
  }

  inline static const std::string kCustomer = "0000000000000001";

  Clock::time_point now{std::chrono::seconds(50)};
  Planner planner;
  std::vector<Action> last_actions;  // The actions of the last call.

 private:
  void SaveActions(Actions actions) { last_actions.assign(actions.begin(), actions.end()); }
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_TESTS_PLANNER_PLANNER_FIXTURE_H_
