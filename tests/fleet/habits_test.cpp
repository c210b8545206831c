// Each path that ends connections against each habit of clients, with real processes: drain, stop, reload,
// hand-over, and a drain call at a socket that the system refuses to watch.
#include <catch2/catch.hpp>

#include "fleet/habit_site.h"

namespace postspread::fleet_rig {
namespace {

TEST_CASE("4 s after a drain call no connection is held against the rule, whatever its client's habit") {
  HabitSite site;
  const auto drained = site.Play([&] { site.rig.Call(0, "PUT", "/v1/gatekeeper/drain"); });
  site.RunUntil(drained + kDrainAllowed);
  site.CheckDrained();
  site.CheckRules();
  site.rig.Terminate(0);
  site.EndOrKill(Clock::now());
  CHECK(site.rig.broken().empty());
  site.CheckAnswered();
}

TEST_CASE(
    "what was read before a drain closes its connection is answered, also to a client that reads slowly") {
  HabitSite site;
  const auto drained = site.Play([&] { site.rig.Call(0, "PUT", "/v1/gatekeeper/drain"); });
  site.RunUntil(drained + kDrainAllowed);
  site.CheckAnswered();
}

TEST_CASE("a drain call at a socket that the system refuses to watch for a while is heard all the same") {
  HabitSite site({.fault_shim = FAULT_SHIM});
  auto& refused = site.FailuresOf(FaultyCall::kEpollAdd);
  const auto drained = site.Play([&] {
    refused = 1'000;
    site.rig.Call(0, "PUT", "/v1/gatekeeper/drain");
    site.rig.Run(milliseconds(200));
    refused = 0;
  });
  site.RunUntil(drained + kDrainAllowed);
  CHECK(site.rig.Logged(0, "by an operator's call"));
  site.CheckDrained();
  site.CheckAnswered();
}

TEST_CASE("a stop against each habit of clients: what was read is answered before the platform may kill") {
  HabitSite site;
  const auto stopped = site.Play([&] { site.rig.Terminate(0); });
  site.EndOrKill(stopped);
  CHECK(site.rig.broken().empty());
  CHECK_FALSE(site.rig.Logged(0, "rule violated"));
  site.CheckAnswered();
}

TEST_CASE("a stop right after a drain call, against each habit of clients") {
  HabitSite site;
  const auto stopped = site.Play([&] {
    site.rig.Call(0, "PUT", "/v1/gatekeeper/drain");
    site.rig.Run(milliseconds(100));
    site.rig.Terminate(0);
  });
  site.EndOrKill(stopped);
  CHECK(site.rig.broken().empty());
  site.CheckAnswered();
}

TEST_CASE("a drain that is taken back keeps what it has not closed, and serves again") {
  HabitSite site;
  site.Play([&] {
    site.rig.Call(0, "PUT", "/v1/gatekeeper/drain");
    site.rig.Run(milliseconds(100));
    site.rig.Call(0, "PUT", "/v1/gatekeeper/activate");
  });
  site.rig.Run(milliseconds(1'500));
  for (const auto& client : site.clients) {
    if (client->habit() == Habit::kSilent || client->habit() == Habit::kHalfCommand) continue;
    INFO(Name(client->habit()));
    CHECK(client->open());
  }
  site.CheckAnswered();
  site.CheckRules();
}

TEST_CASE("new configurations in a row cost no client of any habit its connection or an answer") {
  HabitSite site;
  site.Play([&] {
    for (int i = 0; i < 8; ++i) {
      site.rig.Reload(0);
      site.rig.Run(milliseconds(30));
    }
  });
  site.rig.Run(milliseconds(800));
  for (const auto& client : site.clients) {
    INFO(Name(client->habit()));
    CHECK(client->open());
  }
  site.CheckAnswered();
  site.CheckRules();
}

TEST_CASE("a hand-over to a second process, against each habit of clients") {
  HabitSite site({.inherited = true});
  const auto ended = site.Play([&] {
    site.rig.StartSuccessor(0);
    site.rig.Run(kServes);
    site.rig.EndFormer(0);
  });
  site.RunUntil(ended + kMayKill);
  CHECK(site.rig.broken().empty());
  CHECK_FALSE(site.rig.Logged(0, "rule violated"));
  site.CheckAnswered();
}

TEST_CASE(
    "a process that stood still sends nothing for clients that left meanwhile, and tells the time that is "
    "left") {
  HabitSite site;
  int late = 0;
  site.WatchTold();
  site.rig.nodes().on_attempt = [&, judge = site.rig.nodes().on_attempt](int node, std::string_view id,
                                                                         std::string_view extras) {
    judge(node, id, extras);
    const RequestRecord* record = site.ledger.Find(id);
    late += record != nullptr && record->client_left && Clock::now() - record->ended > milliseconds(300);
  };
  site.ConnectAll(3);
  site.rig.Run(kHabitual);
  site.rig.Stop(0);
  site.rig.Run(milliseconds(300));
  for (std::size_t i = 0; i < site.clients.size(); i += 3) site.clients[i]->Leave();
  site.rig.Run(milliseconds(400));
  site.rig.Continue(0);
  site.rig.Run(milliseconds(1'000));
  CHECK(late == 0);
  CHECK(site.told_too_long == 0);
  site.CheckRules();
}

TEST_CASE("what lay in the listener's queue while the system refused to watch it is told the time left") {
  HabitSite site({.fault_shim = FAULT_SHIM});
  site.WatchTold();
  // One failed accept stops the listener; the system then refuses to watch it again.
  site.FailuresOf(FaultyCall::kEpollAdd) = 1'000;
  site.FailuresOf(FaultyCall::kAccept) = 1'000;
  site.ConnectAll(2);
  site.rig.Run(milliseconds(60));
  site.FailuresOf(FaultyCall::kAccept) = 0;
  site.rig.Run(milliseconds(840));
  site.FailuresOf(FaultyCall::kEpollAdd) = 0;
  site.rig.Run(milliseconds(1'000));
  CHECK(site.attempts > 0);
  CHECK(site.told_too_long == 0);
}

TEST_CASE("what the socket to an upstream takes late is told the time that is left then") {
  HabitSite site({.fault_shim = FAULT_SHIM});
  site.WatchTold();
  site.ConnectAll(2);
  site.rig.Run(kHabitual);
  site.FailuresOf(FaultyCall::kSendBuffer) = 1'000;
  site.rig.Run(milliseconds(700));
  site.FailuresOf(FaultyCall::kSendBuffer) = 0;
  site.rig.Run(milliseconds(1'000));
  CHECK(site.attempts > 0);
  CHECK(site.told_too_long == 0);
  site.CheckRules();
}

TEST_CASE(
    "a list is heard soon where reading failed for a while and the system refused to watch the socket") {
  HabitSite site({.fault_shim = FAULT_SHIM});
  site.ConnectAll(2);
  site.rig.Run(kHabitual);
  site.FailuresOf(FaultyCall::kRead) = 1'000;
  site.FailuresOf(FaultyCall::kEpollAdd) = 1'000;
  for (int i = 0; i < 10; ++i) {
    site.rig.TellNodes(i % 2 == 0 ? std::set<int>{1} : std::set<int>{});
    site.rig.Run(milliseconds(50));
  }
  site.FailuresOf(FaultyCall::kRead) = 0;
  site.FailuresOf(FaultyCall::kEpollAdd) = 0;
  site.rig.TellNodes({0});
  site.rig.Run(milliseconds(2'000));
  int attempts = 0, at_draining = 0;
  site.rig.nodes().on_attempt = [&](int node, std::string_view, std::string_view) {
    ++attempts;
    at_draining += node == 0;
  };
  site.ConnectAll(1);
  site.rig.Run(milliseconds(1'000));
  CHECK(attempts > 0);
  CHECK(at_draining == 0);
}

TEST_CASE("what lay in an inherited listener's queue before its process served is told the time left") {
  HabitSite site({.inherited = true});
  site.WatchTold();
  site.rig.Kill(0);
  site.rig.Run(milliseconds(100));
  site.ConnectAll(2);
  site.rig.Run(milliseconds(300));
  site.rig.Start(0);
  site.rig.Run(kServes);
  CHECK(site.attempts > 0);
  CHECK(site.told_too_long == 0);
}

}  // namespace
}  // namespace postspread::fleet_rig
