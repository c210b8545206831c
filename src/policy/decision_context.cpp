#include "policy/decision_context.h"

#include <algorithm>
#include <utility>

namespace postspread::policy {
namespace {

constexpr Duration kStallGap = std::chrono::milliseconds(250);

}  // namespace

Settings DecisionContext::Reconfigure(Settings next) {
  classes_.clear();
  longest_objective_ = Duration(0);
  for (const ClassSettings& rules : next.classes) {
    classes_.push_back(std::make_shared<const ClassSettings>(rules));
    longest_objective_ = std::max(longest_objective_, rules.latency_objective);
  }
  return std::exchange(settings_, std::move(next));
}

DecisionContext::EventGap DecisionContext::BeginEvent(TimePoint now, std::vector<Action>& actions) {
  const bool stalled = now - now_ > kStallGap;
  if (stalled) stall_ended_at_ = now;
  now_ = std::max(now_, now);
  actions_ = &actions;
  return stalled ? EventGap::kStalled : EventGap::kNormal;
}

const PlanSettings& DecisionContext::Plan(int plan_index) const {
  static const PlanSettings kUnknown;
  return plan_index < 0 ? kUnknown : settings_.plans[static_cast<std::size_t>(plan_index)];
}

RequestState& DecisionContext::AddRequest(RequestId id) {
  RequestState& request = requests_.insert_or_assign(id, RequestState{}).first->second;
  request.id = id;
  return request;
}

RequestState* DecisionContext::FindRequest(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace postspread::policy
