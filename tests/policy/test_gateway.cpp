#include "test_gateway.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

namespace postspread::policy {

Settings DefaultSettings() {
  ClassSettings idempotent;
  idempotent.name = kIdempotent;
  ClassSettings non_idempotent;
  non_idempotent.name = kNonIdempotent;
  non_idempotent.retry_safety = RetrySafety::kNotIdempotent;
  ClassSettings keyed;
  keyed.name = kKeyed;
  keyed.retry_safety = RetrySafety::kIdempotencyKey;
  keyed.scope = KeyScope::kZone;
  keyed.key_ttl = seconds(1);
  Settings settings;
  settings.classes = {idempotent, non_idempotent, keyed};
  for (ClassSettings& rules : settings.classes) {
    rules.latency_objective = milliseconds(800);
    rules.deadline = seconds(2);
  }
  PlanSettings plan;
  plan.name = "plan";
  plan.rate = 10;
  plan.burst = 10;
  settings.plans.push_back(plan);
  settings.zones = {"a", "b"};
  settings.zone = "a";
  settings.group_size = 2;
  settings.tick = milliseconds(2);
  settings.has_counter = true;
  settings.counter_timeout = milliseconds(30);
  settings.max_units = 4;
  settings.max_attempts = 4;
  settings.can_cancel = true;
  settings.retry_after = true;
  settings.max_retry_after = seconds(5);
  settings.slow_start_duration = seconds(10);
  settings.initial_capacity = 0.2;
  return settings;
}

Settings SettingsWithoutQuota() {
  Settings settings = DefaultSettings();
  settings.plans[0].rate = 0;
  return settings;
}

Settings SettingsWithAmpleQuota() {
  Settings settings = DefaultSettings();
  settings.plans[0].rate = 1e6;
  settings.plans[0].burst = 1e6;
  return settings;
}

TestGateway::TestGateway(Settings settings, TimePoint start, std::uint64_t seed)
    : now(start), controller_(std::move(settings), seed, start) {
  SetUpstreams({{"s1", "a"}, {"s2", "b"}});
}

void TestGateway::SetUpstreams(const std::vector<TestUpstream>& upstreams, EndpointState state) {
  std::vector<EndpointInfo> list;
  for (const TestUpstream& upstream : upstreams) {
    EndpointInfo info;
    info.id = upstream.id;
    info.zone = upstream.zone;
    info.state = state;
    list.push_back(info);
  }
  SetEndpointList(list);
}

void TestGateway::SetEndpointList(const std::vector<EndpointInfo>& endpoints) {
  Handle(EndpointListEvent{EndpointListKind::kComplete, 1,
                           std::make_shared<const std::vector<EndpointInfo>>(endpoints)});
}

void TestGateway::Handle(const Event& event) {
  std::vector<Action> actions;
  controller_.Handle(event, now, actions);
  for (const Action& action : actions) Record(action);
}

void TestGateway::Record(const Action& action) {
  if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.push_back({now + timer->after, timer->token});
  } else if (const auto* call = std::get_if<CounterAdd>(&action)) {
    counter_calls.push_back(*call);
  } else if (const auto* send = std::get_if<Send>(&action)) {
    sends.push_back(*send);
  } else if (const auto* reject = std::get_if<Reject>(&action)) {
    rejects.push_back(*reject);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    fails.push_back(*fail);
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    cancels.push_back(*cancel);
  }
}

void TestGateway::AddRequest(RequestId id, double units, const RequestOptions& options) {
  RequestEvent event;
  event.id = id;
  event.class_name = options.class_name;
  event.plan = "plan";
  event.customer = "c";
  event.time_left = options.time_left;
  event.units = units;
  event.spread = options.gateways;
  event.retry = options.retry;
  Handle(event);
}

void TestGateway::ReplyToCall(double total, CounterResult result) {
  ReplyToCallAfter(milliseconds(result == CounterResult::kTimeout ? 30 : 3), total, result);
}

void TestGateway::ReplyToCallAfter(Duration elapsed, double total, CounterResult result) {
  ASSERT_TRUE(HasOpenCall());
  const std::string name = counter_calls[replied_calls].name;
  ++replied_calls;
  Handle(CounterEvent{name, result, total, elapsed});
}

void TestGateway::FinishAttempt(std::size_t send, Outcome outcome, const AttemptResult& result) {
  OutcomeEvent event;
  event.id = sends[send].id;
  event.attempt = result.attempt;
  event.upstream = sends[send].upstream;
  event.outcome = outcome;
  event.elapsed = result.elapsed;
  event.final = outcome == Outcome::kOk;
  event.true_units = result.true_units;
  Handle(event);
}

void TestGateway::FinishAllSends() {
  while (!sends.empty()) {
    FinishAttempt(0, Outcome::kOk);
    sends.erase(sends.begin());
  }
}

void TestGateway::Advance(Duration time) {
  const TimePoint until = now + time;
  for (;;) {
    const auto next = std::min_element(timers_.begin(), timers_.end());
    if (next == timers_.end() || next->due > until) break;
    const Timer timer = *next;
    timers_.erase(next);
    now = std::max(now, timer.due);
    Handle(TimerEvent{timer.token});
  }
  now = until;
}

double TestGateway::CalledUnits() const {
  return std::accumulate(counter_calls.begin(), counter_calls.end(), 0.0,
                         [](double sum, const CounterAdd& call) { return sum + call.amount; });
}

}  // namespace postspread::policy
