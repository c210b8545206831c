// Each path that ends connections against clients of each behavior, with real processes: drain, shutdown,
// reload, handover to a successor, and a drain call on a socket that epoll rejects.
#include <catch2/catch.hpp>

#include "fleet/habit_site.h"

namespace postspread::fleet_rig {
namespace {

TEST_CASE(
    "given clients of each behavior, when the gateway is drained, then after 4 s it keeps only permitted "
    "connections") {
  ClientBehaviorFixture fixture;
  const auto drained_at = fixture.RunScenario([&] { fixture.rig.Call(0, "PUT", "/v1/gatekeeper/drain"); });
  fixture.RunUntil(drained_at + kDrainTimeout);
  fixture.CheckDrained();
  fixture.CheckRules();
  fixture.rig.Terminate(0);
  fixture.WaitOrKill(Clock::now());
  CHECK(fixture.rig.violations().empty());
  fixture.CheckAnswered();
}

TEST_CASE(
    "given clients of each behavior, when the gateway is drained, then every request it read receives a "
    "response") {
  ClientBehaviorFixture fixture;
  const auto drained_at = fixture.RunScenario([&] { fixture.rig.Call(0, "PUT", "/v1/gatekeeper/drain"); });
  fixture.RunUntil(drained_at + kDrainTimeout);
  fixture.CheckAnswered();
}

TEST_CASE(
    "given an epoll_ctl that fails for a while, when a drain call arrives, then the gateway still drains") {
  ClientBehaviorFixture fixture({.fault_shim = FAULT_SHIM});
  auto& epoll_failure_rate = fixture.FailureRate(FaultyCall::kEpollAdd);
  const auto drained_at = fixture.RunScenario([&] {
    epoll_failure_rate = 1'000;
    fixture.rig.Call(0, "PUT", "/v1/gatekeeper/drain");
    fixture.rig.Run(milliseconds(200));
    epoll_failure_rate = 0;
  });
  fixture.RunUntil(drained_at + kDrainTimeout);
  CHECK(fixture.rig.Logged(0, "by an operator's call"));
  fixture.CheckDrained();
  fixture.CheckAnswered();
}

TEST_CASE(
    "given clients of each behavior, when the gateway receives SIGTERM, then it responds to all it read "
    "before SIGKILL") {
  ClientBehaviorFixture fixture;
  const auto terminated_at = fixture.RunScenario([&] { fixture.rig.Terminate(0); });
  fixture.WaitOrKill(terminated_at);
  CHECK(fixture.rig.violations().empty());
  CHECK_FALSE(fixture.rig.Logged(0, "rule violated"));
  fixture.CheckAnswered();
}

TEST_CASE(
    "given a drain call, when SIGTERM follows at once, then every request that the gateway read receives a "
    "response") {
  ClientBehaviorFixture fixture;
  const auto terminated_at = fixture.RunScenario([&] {
    fixture.rig.Call(0, "PUT", "/v1/gatekeeper/drain");
    fixture.rig.Run(milliseconds(100));
    fixture.rig.Terminate(0);
  });
  fixture.WaitOrKill(terminated_at);
  CHECK(fixture.rig.violations().empty());
  fixture.CheckAnswered();
}

TEST_CASE("given a drain, when it is cancelled, then the open connections stay open and are served again") {
  ClientBehaviorFixture fixture;
  fixture.RunScenario([&] {
    fixture.rig.Call(0, "PUT", "/v1/gatekeeper/drain");
    fixture.rig.Run(milliseconds(100));
    fixture.rig.Call(0, "PUT", "/v1/gatekeeper/activate");
  });
  fixture.rig.Run(milliseconds(1'500));
  for (const auto& client : fixture.clients) {
    if (client->behavior() == ClientBehavior::kSilent ||
        client->behavior() == ClientBehavior::kPartialCommand)
      continue;
    INFO(Name(client->behavior()));
    CHECK(client->open());
  }
  fixture.CheckAnswered();
  fixture.CheckRules();
}

TEST_CASE(
    "given clients of each behavior, when the gateway reloads repeatedly, then none loses its connection or "
    "a response") {
  ClientBehaviorFixture fixture;
  fixture.RunScenario([&] {
    for (int i = 0; i < 8; ++i) {
      fixture.rig.Reload(0);
      fixture.rig.Run(milliseconds(30));
    }
  });
  fixture.rig.Run(milliseconds(800));
  for (const auto& client : fixture.clients) {
    INFO(Name(client->behavior()));
    CHECK(client->open());
  }
  fixture.CheckAnswered();
  fixture.CheckRules();
}

TEST_CASE(
    "given clients of each behavior, when a successor takes over, then every request that was read receives "
    "a response") {
  ClientBehaviorFixture fixture({.inherited = true});
  const auto predecessor_terminated_at = fixture.RunScenario([&] {
    fixture.rig.StartSuccessor(0);
    fixture.rig.Run(kStartupTime);
    fixture.rig.TerminatePredecessor(0);
  });
  fixture.RunUntil(predecessor_terminated_at + kKillTimeout);
  CHECK(fixture.rig.violations().empty());
  CHECK_FALSE(fixture.rig.Logged(0, "rule violated"));
  fixture.CheckAnswered();
}

TEST_CASE(
    "given a suspended gateway, when it is resumed, then it sends nothing for clients that left and sends "
    "correct deadlines") {
  ClientBehaviorFixture fixture;
  int late_attempts = 0;
  fixture.TrackDeadlines();
  fixture.rig.upstreams().on_attempt = [&, count_attempt = fixture.rig.upstreams().on_attempt](
                                           int upstream, std::string_view id, std::string_view extras) {
    count_attempt(upstream, id, extras);
    const RequestRecord* record = fixture.request_log.Find(id);
    late_attempts +=
        record != nullptr && record->client_disconnected && Clock::now() - record->ended > milliseconds(300);
  };
  fixture.ConnectAll(3);
  fixture.rig.Run(kStartUpTime);
  fixture.rig.Stop(0);
  fixture.rig.Run(milliseconds(300));
  for (std::size_t i = 0; i < fixture.clients.size(); i += 3) fixture.clients[i]->Disconnect();
  fixture.rig.Run(milliseconds(400));
  fixture.rig.Continue(0);
  fixture.rig.Run(milliseconds(1'000));
  CHECK(late_attempts == 0);
  CHECK(fixture.deadlines_too_long == 0);
  fixture.CheckRules();
}

TEST_CASE(
    "given a paused listener, when it accepts queued connections, then attempts carry the remaining time") {
  ClientBehaviorFixture fixture({.fault_shim = FAULT_SHIM});
  fixture.TrackDeadlines();
  // One failed accept pauses the listener; epoll_ctl then fails when the gateway resumes it.
  fixture.FailureRate(FaultyCall::kEpollAdd) = 1'000;
  fixture.FailureRate(FaultyCall::kAccept) = 1'000;
  fixture.ConnectAll(2);
  fixture.rig.Run(milliseconds(60));
  fixture.FailureRate(FaultyCall::kAccept) = 0;
  fixture.rig.Run(milliseconds(840));
  fixture.FailureRate(FaultyCall::kEpollAdd) = 0;
  fixture.rig.Run(milliseconds(1'000));
  CHECK(fixture.attempts > 0);
  CHECK(fixture.deadlines_too_long == 0);
}

TEST_CASE(
    "given a full send buffer, when the upstream socket accepts bytes later, then attempts carry the "
    "remaining time") {
  ClientBehaviorFixture fixture({.fault_shim = FAULT_SHIM});
  fixture.TrackDeadlines();
  fixture.ConnectAll(2);
  fixture.rig.Run(kStartUpTime);
  fixture.FailureRate(FaultyCall::kSendBuffer) = 1'000;
  fixture.rig.Run(milliseconds(700));
  fixture.FailureRate(FaultyCall::kSendBuffer) = 0;
  fixture.rig.Run(milliseconds(1'000));
  CHECK(fixture.attempts > 0);
  CHECK(fixture.deadlines_too_long == 0);
  fixture.CheckRules();
}

TEST_CASE(
    "given reads and epoll_ctl calls that fail for a while, when they succeed, then a new endpoint list "
    "takes effect soon") {
  ClientBehaviorFixture fixture({.fault_shim = FAULT_SHIM});
  fixture.ConnectAll(2);
  fixture.rig.Run(kStartUpTime);
  fixture.FailureRate(FaultyCall::kRead) = 1'000;
  fixture.FailureRate(FaultyCall::kEpollAdd) = 1'000;
  for (int i = 0; i < 10; ++i) {
    fixture.rig.PublishEndpoints(i % 2 == 0 ? std::set<int>{1} : std::set<int>{});
    fixture.rig.Run(milliseconds(50));
  }
  fixture.FailureRate(FaultyCall::kRead) = 0;
  fixture.FailureRate(FaultyCall::kEpollAdd) = 0;
  fixture.rig.PublishEndpoints({0});
  fixture.rig.Run(milliseconds(2'000));
  int attempts = 0, attempts_at_draining = 0;
  fixture.rig.upstreams().on_attempt = [&](int upstream, std::string_view, std::string_view) {
    ++attempts;
    attempts_at_draining += upstream == 0;
  };
  fixture.ConnectAll(1);
  fixture.rig.Run(milliseconds(1'000));
  CHECK(attempts > 0);
  CHECK(attempts_at_draining == 0);
}

TEST_CASE(
    "given an inherited listener, when its new process accepts queued requests, then attempts carry the "
    "remaining time") {
  ClientBehaviorFixture fixture({.inherited = true});
  fixture.TrackDeadlines();
  fixture.rig.Kill(0);
  fixture.rig.Run(milliseconds(100));
  fixture.ConnectAll(2);
  fixture.rig.Run(milliseconds(300));
  fixture.rig.Start(0);
  fixture.rig.Run(kStartupTime);
  CHECK(fixture.attempts > 0);
  CHECK(fixture.deadlines_too_long == 0);
}

// Guards against a long value that is cut off because its upstream's socket is not watched any more.
TEST_CASE("given long values to slow readers, when epoll_ctl fails for a while, then no value is cut off") {
  ClientBehaviorFixture fixture({.fault_shim = FAULT_SHIM});
  fixture.rig.upstreams().value_size = [](std::string_view id) {
    return WantsLargeResponse(id) ? 66'000 : 0;
  };
  for (int i = 0; i < 4; ++i) {
    const ScriptedClient::Target target{.port = fixture.rig.port(0), .deadline = fixture.deadline};
    fixture.clients.push_back(std::make_unique<ScriptedClient>(fixture.rig.base(), fixture.request_log,
                                                               target, ClientBehavior::kSlowReader,
                                                               fixture.clients.size() + 1));
  }
  fixture.rig.Run(kStartUpTime);
  fixture.FailureRate(FaultyCall::kEpollAdd) = 1'000;
  fixture.rig.Run(milliseconds(1'500));
  fixture.FailureRate(FaultyCall::kEpollAdd) = 0;
  fixture.rig.Run(milliseconds(5'000));
  CHECK_FALSE(fixture.request_log.records().empty());
  for (const auto& [id, record] : fixture.request_log.records()) {
    INFO("request " << id);
    CHECK(record.end != RequestEnd::kConnectionEnded);
  }
}

}  // namespace
}  // namespace postspread::fleet_rig
