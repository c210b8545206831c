// What the concerns of the decision module share: the settings in force, the event's time, the source of
// random numbers, the requests, and the list of actions that the event leads to.
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

  // Puts other settings in force; returns those before.
  Settings Reconfigure(Settings next);

  // Starts an event; kStalled if none came for so long, timers included, that the gateway stood still.
  EventGap BeginEvent(TimePoint now, std::vector<Action>& actions);
  void EndEvent() { actions_ = nullptr; }

  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] Duration longest_objective() const { return longest_objective_; }
  // The settings of a class, for a request to keep; `class_index` must be in the settings.
  [[nodiscard]] std::shared_ptr<const ClassSettings> ClassAt(std::size_t class_index) const {
    return classes_[class_index];
  }
  // A plan's settings; for a negative index, an unknown plan, none of its limits apply.
  [[nodiscard]] const PlanSettings& Plan(int plan_index) const;

  // The time of the event; never decreases.
  [[nodiscard]] TimePoint now() const { return now_; }
  // Whether this event ended a stall: spans that it tells were lengthened by the gateway itself.
  [[nodiscard]] bool JustStalled() const { return now_ == stall_ended_at_; }

  double Random() { return random_.Uniform(); }
  // Appends an action of the current event.
  void Emit(Action action) { actions_->push_back(std::move(action)); }

  RequestState& AddRequest(RequestId id);
  [[nodiscard]] RequestState* FindRequest(RequestId id);
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
