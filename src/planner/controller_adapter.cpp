#include "planner/controller_adapter.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "planner/event_translation.h"

namespace postspread::planner {
namespace {

constexpr std::size_t kMinTimersToCheck = 256;

}  // namespace

ControllerAdapter::ControllerAdapter(const Settings& settings, std::uint64_t seed, TimePoint now,
                                     UsageAdapter* usage, FinalResponseInterceptor& interceptor,
                                     std::vector<Action>& actions)
    : settings_(settings),
      controller_(settings, seed, now),
      usage_(usage),
      interceptor_(interceptor),
      actions_(actions) {}

void ControllerAdapter::Handle(const Event& event, TimePoint now) {
  decisions_.clear();
  controller_.Handle(event, now, decisions_);
  for (postspread::Action& decision : decisions_) {
    std::visit([this, now](auto& action) { Translate(std::move(action), now); }, decision);
  }
}

void ControllerAdapter::Begin(RequestEvent event, TimePoint now) {
  next_attempts_.emplace(event.id, 0);
  if (usage_ != nullptr) event.demand = usage_->Demand(event.customer, now);
  Handle(std::move(event), now);
}

void ControllerAdapter::On(AttemptReport&& report, TimePoint now) {
  if (report.result == AttemptResult::kSucceeded) next_attempts_.erase(report.request);
  OutcomeEvent event = ToEvent(std::move(report), settings_);
  event.final = !next_attempts_.contains(event.id);
  Handle(std::move(event), now);
}

void ControllerAdapter::On(CounterReport&& report, TimePoint now) { Handle(ToEvent(std::move(report)), now); }

void ControllerAdapter::On(EndpointListReport&& report, TimePoint now) {
  Handle(ToEvent(std::move(report)), now);
}

void ControllerAdapter::On(HealthCheckReport&& report, TimePoint now) {
  Handle(ToEvent(std::move(report)), now);
}

void ControllerAdapter::On(const ClientDisconnected& report, TimePoint now) {
  next_attempts_.erase(report.request);
  Handle(ClientDisconnectedEvent{report.request}, now);
}

void ControllerAdapter::RunTimers(TimePoint now) {
  // Timers that are set during this call wait for the next one, even if they are due already. Otherwise
  // timers that set new ones could keep the loop running forever.
  const TimerQueue::Sequence end = timers_.next_sequence();
  while (const std::optional<std::uint64_t> token = timers_.PopDue(now, end)) Handle(TimerEvent{*token}, now);
}

void ControllerAdapter::Translate(postspread::Send&& action, TimePoint) {
  const auto next = next_attempts_.find(action.id);
  const AttemptNumber attempt = next == next_attempts_.end() ? 0 : next->second++;
  actions_.emplace_back(
      StartAttempt{action.id, attempt, std::move(action.upstream), action.timeout, action.arrival_timeout});
}

void ControllerAdapter::Translate(postspread::Reject&& action, TimePoint) {
  next_attempts_.erase(action.id);
  if (interceptor_.InterceptRejection(action.id, action.retry_after)) return;
  actions_.emplace_back(RejectWithRetryAfter{action.id, action.retry_after});
}

void ControllerAdapter::Translate(postspread::Fail&& action, TimePoint) {
  next_attempts_.erase(action.id);
  if (interceptor_.InterceptFailure(action.id)) return;
  actions_.emplace_back(FailRequest{action.id});
}

void ControllerAdapter::Translate(postspread::Cancel&& action, TimePoint) {
  actions_.emplace_back(CancelAttempt{action.id, action.attempt});
}

void ControllerAdapter::Translate(postspread::SetTimer&& action, TimePoint now) {
  timers_.Set(now + std::max(Duration(0), action.after), action.token);
  if (timers_.size() < max_timers_) return;
  timers_.RemoveUnneeded([this](std::uint64_t token) { return controller_.NeedsTimer(token); });
  max_timers_ = std::max(kMinTimersToCheck, 2 * timers_.size());
}

void ControllerAdapter::Translate(postspread::CounterAdd&& action, TimePoint) {
  actions_.emplace_back(CallCounter{std::move(action.name), action.amount, action.ttl});
}

void ControllerAdapter::Translate(postspread::Probe&& action, TimePoint) {
  actions_.emplace_back(StartHealthCheck{std::move(action.upstream)});
}

// The gateway watches discovery from its start, so a subscription needs no action.
void ControllerAdapter::Translate(postspread::Subscribe&&, TimePoint) {}

void ControllerAdapter::Translate(postspread::ObservedUsage&& action, TimePoint now) {
  if (usage_ != nullptr) usage_->Observe(action.customer, action.demand, now);
}

void ControllerAdapter::Translate(postspread::Log&& action, TimePoint) {
  actions_.emplace_back(LogEvent{std::move(action.line)});
}

}  // namespace postspread::planner
