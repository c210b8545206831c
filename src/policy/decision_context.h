// The state that all parts of the decision module share: the current settings, the time of the event, the
// random number generator, the open requests, and the list of actions that the event leads to.
#ifndef POSTSPREAD_POLICY_DECISION_CONTEXT_H_
#define POSTSPREAD_POLICY_DECISION_CONTEXT_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "policy/request_state.h"
#include "postspread/control.h"
#include "statistics/random.h"

namespace postspread::policy {

class DecisionContext {
 public:
  enum class EventGap { kNormal, kStalled };

  DecisionContext(std::uint64_t seed, TimePoint start) : random_(seed), now_(start) {}

  // Replaces the settings and returns the previous ones.
  Settings Reconfigure(Settings next);

  // Starts an event. Returns kStalled if the gateway has stalled, that is, if neither events nor timers
  // arrived for a long time.
  EventGap BeginEvent(TimePoint now, std::vector<Action>& actions);
  void EndEvent() { actions_ = nullptr; }

  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] Duration longest_objective() const { return longest_objective_; }
  // Returns the settings of a class, which a request can retain. `class_index` must be in the settings.
  [[nodiscard]] std::shared_ptr<const ClassSettings> ClassAt(std::size_t class_index) const {
    return classes_[class_index];
  }
  // Returns the settings of a plan. A negative index stands for an unknown plan, which has no limits.
  [[nodiscard]] const PlanSettings& Plan(int plan_index) const;

  // Returns the time of the event. It never decreases.
  [[nodiscard]] TimePoint now() const { return now_; }
  // Whether this event ended a stall. Then the durations in the event include the gateway's own delay.
  [[nodiscard]] bool JustStalled() const { return now_ == stall_ended_at_; }

  double Random() { return random_.Uniform(); }
  // Appends an action to those of the current event.
  void Emit(Action action) { actions_->push_back(std::move(action)); }

  RequestState& AddRequest(RequestId id);
  [[nodiscard]] RequestState* FindRequest(RequestId id);
  [[nodiscard]] bool HasRequest(RequestId id) const { return requests_.contains(id); }
  void RemoveRequest(RequestId id) { requests_.erase(id); }

 private:
  Settings settings_;
  std::vector<std::shared_ptr<const ClassSettings>> classes_;
  Duration longest_objective_{0};
  statistics::RandomSource random_;
  TimePoint now_;
  TimePoint stall_ended_at_{0};
  std::vector<Action>* actions_ = nullptr;
  std::unordered_map<RequestId, RequestState> requests_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_DECISION_CONTEXT_H_
