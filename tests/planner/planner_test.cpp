// The facade: actions out, reports in, and no other way between the network and the decision module.
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

TEST_CASE("a request is sent, and retried at another upstream after a failed attempt") {
  PlannerFixture fixture;
  const RequestId number = fixture.Pick();
  const auto first = fixture.Only<StartAttempt>();
  REQUIRE(first);
  CHECK(first->request == number);
  CHECK(first->attempt == 0);
  CHECK(first->timeout == milliseconds(1990));
  fixture.Report(
      AttemptReport{number, 0, first->upstream, AttemptResult::kConnectFailed, microseconds(9), {}});
  const auto second = fixture.Only<StartAttempt>();
  REQUIRE(second);
  CHECK(second->attempt == 1);
  CHECK(second->upstream != first->upstream);
  fixture.Report(AttemptReport{number, 1, second->upstream, AttemptResult::kSucceeded, microseconds(9), {}});
  CHECK(fixture.last.empty());
  CHECK(fixture.Pick() != number);
}

TEST_CASE("the counter is called once, and its reply admits the request") {
  PlannerFixture fixture(Counter::kPresent);
  fixture.Pick(2);
  const auto call = fixture.Only<CallCounter>();
  REQUIRE(call);
  CHECK(call->amount == 2);
  CHECK(call->name.find(PlannerFixture::kCustomer) == 0);
  fixture.Report(CounterReport{call->name, CounterResult::kAdded, 2, microseconds(900)});
  CHECK(fixture.Only<StartAttempt>());
}

TEST_CASE("a request beyond the quota is rejected at once with a retry-after") {
  PlannerFixture fixture(Counter::kPresent);
  fixture.Pick(4);
  fixture.Report(
      CounterReport{fixture.Only<CallCounter>()->name, CounterResult::kAdded, 60, microseconds(900)});
  const auto rejection = fixture.Only<RejectWithRetryAfter>();
  REQUIRE(rejection);
  CHECK(rejection->retry_after > microseconds(0));
}

TEST_CASE("a request without a response ends before its client's timeout") {
  PlannerFixture fixture;
  const auto started = fixture.now;
  const RequestId number = fixture.Pick();
  bool has_ended = false;
  while (!has_ended && fixture.planner.NextTick() && *fixture.planner.NextTick() <= started + seconds(3)) {
    fixture.TickUntil(started + seconds(3));
    for (const Action& action : fixture.last) {
      const auto* rejection = std::get_if<RejectWithRetryAfter>(&action);
      has_ended |= rejection != nullptr && rejection->request == number;
    }
  }
  CHECK(has_ended);
  CHECK(fixture.now - started <= milliseconds(1990));  // the response has still to reach the client
}

TEST_CASE("a disconnected client's attempts are cancelled") {
  PlannerFixture fixture;
  const RequestId number = fixture.Pick();
  fixture.Report(ClientDisconnected{number});
  const auto cancellation = fixture.Only<CancelAttempt>();
  REQUIRE(cancellation);
  CHECK(cancellation->request == number);
  fixture.Report(AttemptReport{number, 0, "a", AttemptResult::kCancelled, microseconds(9), {}});
  CHECK(fixture.last.empty());
}

TEST_CASE("each Tick ends, and the next one is due later") {
  PlannerFixture fixture;
  REQUIRE(fixture.planner.NextTick());
  for (int i = 0; i < 20; ++i) {
    const auto due = *fixture.planner.NextTick();
    fixture.planner.Tick(due);
    CHECK(*fixture.planner.NextTick() > due);
  }
  const auto due = *fixture.planner.NextTick();
  fixture.planner.Tick(due - seconds(9));  // a clock that went back changes nothing
  CHECK(*fixture.planner.NextTick() == due);
}

TEST_CASE("classes that come and go take no more slots than there were at once, other plans are ignored") {
  PlannerFixture fixture;
  Settings next = TestSettings();
  next.classes.push_back(next.classes[0]);
  for (int round = 0; round < 50; ++round) {
    next.classes[1].name = "class" + std::to_string(round);
    CHECK_FALSE(fixture.planner.Reconfigure(next));
  }
  CHECK(fixture.planner.class_slots() == 2);
  const Planner::PickResult picked = fixture.planner.Pick({.class_name = "class49",
                                                           .plan = "team",
                                                           .customer = "0000000000000002",
                                                           .timeout = milliseconds(2000)},
                                                          fixture.now);
  CHECK(std::holds_alternative<StartAttempt>(picked.actions[0]));
  next.plans[0].name = "crew";
  CHECK(fixture.planner.Reconfigure(next));
  fixture.Pick();
  CHECK(std::holds_alternative<StartAttempt>(fixture.last.at(0)));
}

// How many of 100 concurrent requests go to upstream `b`, whose restart was just listed, by a wall clock that
// is `skew` ahead.
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
    const Planner::PickResult picked = planner.Pick(Lookup(customer), now);
    for (const Action& action : picked.actions) {
      const auto* attempt = std::get_if<StartAttempt>(&action);
      sent += attempt != nullptr && attempt->upstream == "b";
    }
  }
  return sent;
}

TEST_CASE("a restarted upstream gets a slow start, however far the wall clocks are apart") {
  const int usual = CountSentToRestarted(seconds(0));
  CHECK(usual < 25);
  for (const seconds skew : {seconds(1), seconds(60), seconds(3'600)}) {
    CHECK(CountSentToRestarted(skew) <= usual);
    CHECK(CountSentToRestarted(-skew) <= usual + 1);
  }
}

}  // namespace
}  // namespace postspread::planner
