// Tests of the planner through its interface: the actions that it returns, and the reports that it takes.
#include "planner/planner.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "planner_fixture.h"

namespace postspread::planner {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("when an attempt has failed to connect, the planner retries the request at another upstream") {
  PlannerFixture fixture;
  const RequestId request_id = fixture.Pick();
  const auto first = fixture.OnlyAction<StartAttempt>();
  REQUIRE(first);
  CHECK(first->request == request_id);
  CHECK(first->attempt == 0);
  CHECK(first->timeout == milliseconds(1990));
  fixture.Report(
      AttemptReport{request_id, 0, first->upstream, AttemptResult::kConnectFailed, microseconds(9), {}});
  const auto second = fixture.OnlyAction<StartAttempt>();
  REQUIRE(second);
  CHECK(second->attempt == 1);
  CHECK(second->upstream != first->upstream);
  fixture.Report(
      AttemptReport{request_id, 1, second->upstream, AttemptResult::kSucceeded, microseconds(9), {}});
  CHECK(fixture.last_actions.empty());
  CHECK(fixture.Pick() != request_id);
}

TEST_CASE(
    "given a counter, when a request arrives, the planner calls it once and admits the request on its "
    "reply") {
  PlannerFixture fixture(Counter::kPresent);
  fixture.Pick(2);
  const auto call = fixture.OnlyAction<CallCounter>();
  REQUIRE(call);
  CHECK(call->amount == 2);
  CHECK(call->name.find(PlannerFixture::kCustomer) == 0);
  fixture.Report(CounterReport{call->name, CounterResult::kAdded, 2, microseconds(900)});
  CHECK(fixture.OnlyAction<StartAttempt>());
}

TEST_CASE("when the counter reports usage beyond the quota, the request is rejected with a retry-after") {
  PlannerFixture fixture(Counter::kPresent);
  fixture.Pick(4);
  fixture.Report(
      CounterReport{fixture.OnlyAction<CallCounter>()->name, CounterResult::kAdded, 60, microseconds(900)});
  const auto rejection = fixture.OnlyAction<RejectWithRetryAfter>();
  REQUIRE(rejection);
  CHECK(rejection->retry_after > microseconds(0));
}

TEST_CASE("when no upstream responds, the planner rejects the request before its client's timeout") {
  PlannerFixture fixture;
  const auto started = fixture.now;
  const RequestId request_id = fixture.Pick();
  bool is_rejected = false;
  while (!is_rejected && fixture.planner.NextTick() && *fixture.planner.NextTick() <= started + seconds(3)) {
    fixture.TickUntil(started + seconds(3));
    for (const Action& action : fixture.last_actions) {
      const auto* rejection = std::get_if<RejectWithRetryAfter>(&action);
      is_rejected |= rejection != nullptr && rejection->request == request_id;
    }
  }
  CHECK(is_rejected);
  // The network margin of 10 ms is left for the response to reach the client.
  CHECK(fixture.now - started <= milliseconds(1990));
}

TEST_CASE("when a client disconnects, the planner cancels the attempt of its request") {
  PlannerFixture fixture;
  const RequestId request_id = fixture.Pick();
  fixture.Report(ClientDisconnected{request_id});
  const auto cancellation = fixture.OnlyAction<CancelAttempt>();
  REQUIRE(cancellation);
  CHECK(cancellation->request == request_id);
  fixture.Report(AttemptReport{request_id, 0, "a", AttemptResult::kCancelled, microseconds(9), {}});
  CHECK(fixture.last_actions.empty());
}

TEST_CASE("when a due Tick has run, the next Tick is due later") {
  PlannerFixture fixture;
  REQUIRE(fixture.planner.NextTick());
  for (int i = 0; i < 20; ++i) {
    const auto due = *fixture.planner.NextTick();
    fixture.planner.Tick(due);
    CHECK(*fixture.planner.NextTick() > due);
  }
  const auto due = *fixture.planner.NextTick();
  fixture.planner.Tick(due - seconds(9));  // A clock that goes back has no effect.
  CHECK(*fixture.planner.NextTick() == due);
}

TEST_CASE(
    "when reconfigurations replace a class, its slot is reused, and when they rename a plan, the plans "
    "stay") {
  PlannerFixture fixture;
  Settings next = TestSettings();
  next.classes.push_back(next.classes[0]);
  for (int round = 0; round < 50; ++round) {
    next.classes[1].name = "class" + std::to_string(round);
    CHECK_FALSE(fixture.planner.Reconfigure(next));
  }
  CHECK(fixture.planner.class_slots() == 2);
  const Planner::PickResult selected = fixture.planner.Pick({.class_name = "class49",
                                                             .plan = "team",
                                                             .customer = "0000000000000002",
                                                             .timeout = milliseconds(2000)},
                                                            fixture.now);
  CHECK(std::holds_alternative<StartAttempt>(selected.actions[0]));
  next.plans[0].name = "crew";
  CHECK(fixture.planner.Reconfigure(next));
  fixture.Pick();
  CHECK(std::holds_alternative<StartAttempt>(fixture.last_actions.at(0)));
}

// Returns how many of 100 concurrent requests go to upstream `b`, whose restart discovery has just listed.
// The reported start time comes from a wall clock that is `skew` ahead.
int CountSentToRestarted(microseconds skew) {
  Settings settings = TestSettings();
  settings.initial_capacity = 0.1;
  settings.slow_start_duration = seconds(60);
  settings.overload_multiple = 2;
  settings.overload_window = seconds(2);
  Clock::time_point now{seconds(50)};
  const seconds wall(1'000'000);
  Planner planner(settings, 1, wall, now);
  EndpointListReport endpoint_list{.kind = EndpointUpdateKind::kSnapshot, .index = 1, .upstreams = {}};
  endpoint_list.upstreams = {TestUpstream("a"), TestUpstream("b")};
  planner.Report(endpoint_list, now);
  now += seconds(10);
  endpoint_list.index = 2;
  endpoint_list.upstreams[1].started = std::chrono::duration_cast<milliseconds>(wall + seconds(9) + skew);
  planner.Report(endpoint_list, now);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string customer = std::to_string(i);
    const Planner::PickResult selected = planner.Pick(Lookup(customer), now);
    for (const Action& action : selected.actions) {
      const auto* attempt = std::get_if<StartAttempt>(&action);
      sent += attempt != nullptr && attempt->upstream == "b";
    }
  }
  return sent;
}

TEST_CASE(
    "given skewed wall clocks, when an upstream restarts, it gets no more requests than its slow start "
    "allows") {
  const int without_skew = CountSentToRestarted(seconds(0));
  CHECK(without_skew < 25);
  for (const seconds skew : {seconds(1), seconds(60), seconds(3'600)}) {
    CHECK(CountSentToRestarted(skew) <= without_skew);
    CHECK(CountSentToRestarted(-skew) <= without_skew + 1);
  }
}

}  // namespace
}  // namespace postspread::planner
