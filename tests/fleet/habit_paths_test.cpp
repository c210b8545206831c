// Retry, cancel and idle close against each habit of clients, with real processes: the paths on which a
// request is sent again, given up, or crosses the end of its connection.
#include <catch2/catch.hpp>

#include "fleet/habit_site.h"

namespace postspread::fleet_rig {
namespace {

constexpr milliseconds kResetPeriod{70};  // under the time that a node takes, so that most attempts are cut
constexpr int kResets = 15;

Options AllClasses() {
  Options out;
  out.more_classes = ClassesOfOtherEffects();
  return out;
}

struct RetrySite : HabitSite {
  explicit RetrySite(Options options = AllClasses()) : HabitSite(std::move(options)) {
    all_classes = true;
    WatchTold();
  }
  // Clients of each habit connect in the midst of it, too, where `late_ones`.
  void ResetNodesAgainAndAgain(bool late_ones = false) {
    for (int i = 0; i < kResets; ++i) {
      rig.ResetWay(0, Rig::Way::kNodes);
      if (late_ones && i % 5 == 0) ConnectAll(1);
      rig.Run(kResetPeriod);
    }
  }
  // Attempts that come to a node over 0.1 s after their client left; the way there is allowed 0.15 s.
  void WatchLate() {
    rig.nodes().on_attempt = [this, judge = rig.nodes().on_attempt](int node, std::string_view id,
                                                                    std::string_view extras) {
      judge(node, id, extras);
      const RequestRecord* record = ledger.Find(id);
      late += record != nullptr && record->client_left && Clock::now() - record->ended > milliseconds(250);
    };
  }
  void LeaveAll() {
    for (const auto& client : clients) client->Leave();
  }
  // Of clients that have all left: what was asked while they were there.
  void CheckAll() {
    CHECK(attempts > 0);
    CHECK(told_too_long == 0);
    CheckRunOnce();
    CheckAnswered();
    CheckInTime();
    CheckRules();
  }
  int late = 0;
};

TEST_CASE("retries against each habit of clients: nothing unsafe runs twice, and all is answered in time") {
  RetrySite site;
  site.ConnectAll(2);
  site.rig.Run(kHabitual);
  site.ResetNodesAgainAndAgain(/*late_ones=*/true);
  site.rig.Run(milliseconds(3'200));
  site.LeaveAll();
  site.CheckAll();
}

TEST_CASE("retries at dials that fail, against each habit of clients") {
  Options options = AllClasses();
  options.fault_shim = FAULT_SHIM;
  RetrySite site(options);
  site.ConnectAll(2);
  site.rig.Run(kHabitual);
  site.FailuresOf(FaultyCall::kConnect) = 500;
  site.FailuresOf(FaultyCall::kSocket) = 300;
  site.ResetNodesAgainAndAgain();
  site.FailuresOf(FaultyCall::kConnect) = 0;
  site.FailuresOf(FaultyCall::kSocket) = 0;
  site.rig.Run(milliseconds(3'200));
  site.LeaveAll();
  site.CheckAll();
}

TEST_CASE("a client of any habit that leaves has nothing tried for it any more, whatever its attempts meet") {
  RetrySite site;
  site.WatchLate();
  site.ConnectAll(3);
  site.rig.Run(kHabitual);
  site.ConnectAll(1);  // and some that have just come
  site.rig.Run(milliseconds(20));
  site.rig.ResetWay(0, Rig::Way::kNodes);
  site.LeaveAll();
  site.ResetNodesAgainAndAgain();
  CHECK(site.late == 0);
  CHECK(site.told_too_long == 0);
  site.CheckRunOnce();
  site.CheckRules();
}

TEST_CASE("a client of any habit that leaves while no node answers has nothing tried for it later") {
  RetrySite site;
  site.WatchLate();
  bool hangs = true;
  site.rig.nodes().hangs = [&hangs](int) { return hangs; };
  site.ConnectAll(3);
  site.rig.Run(kHabitual);
  site.LeaveAll();
  site.rig.Run(milliseconds(500));
  hangs = false;
  site.ResetNodesAgainAndAgain();
  site.rig.Run(milliseconds(1'000));
  CHECK(site.late == 0);
  site.CheckRunOnce();
  site.CheckRules();
}

// The system tells of the attempts that failed before it tells of the clients that left.
TEST_CASE("a client of any habit that left while the process stood still has nothing retried for it") {
  RetrySite site;
  site.WatchLate();
  site.ConnectAll(10);
  site.rig.Run(kHabitual);
  site.rig.Stop(0);
  site.rig.ResetWay(0, Rig::Way::kNodes);
  site.rig.Run(milliseconds(50));
  site.LeaveAll();
  site.rig.Run(milliseconds(400));
  site.rig.Continue(0);
  site.rig.Run(milliseconds(800));
  CHECK(site.late == 0);
  CHECK(site.told_too_long == 0);
  site.CheckRunOnce();
  site.CheckRules();
}

TEST_CASE("requests with 1 to 60 ms left are answered, also by nodes that drop them without a word") {
  constexpr int kDeadlines[] = {1, 5, 20, 60};
  RetrySite site;
  site.rig.nodes().hangs = [](int node) { return node == 0; };
  for (const int deadline : kDeadlines) {
    site.deadline = milliseconds(deadline);
    site.ConnectAll(1);
  }
  site.rig.Run(milliseconds(2'000));
  site.LeaveAll();
  site.CheckAll();
}

TEST_CASE("idle closes and evictions in a crowd cost no client of any habit a request that was taken") {
  constexpr int kCrowd = 400;
  HabitSite site;
  site.ConnectAll(3);
  site.rig.Run(kHabitual);
  std::vector<std::unique_ptr<HabitClient>> crowd;
  for (int i = 0; i < kCrowd; ++i) {
    const Habit habit = i % 3 == 0 ? Habit::kHalfCommand : i % 3 == 1 ? Habit::kSilent : Habit::kResting;
    crowd.push_back(std::make_unique<HabitClient>(
        site.rig.base(), site.ledger, HabitClient::Target{.port = site.rig.port(0)}, habit, 1'000 + i));
  }
  // A client that stops in mid-command is owed its error or close within 3 s.
  site.rig.Run(milliseconds(3'000));
  for (const auto& client : crowd) {
    if (client->habit() != Habit::kResting) CHECK_FALSE(client->open());
  }
  site.rig.Run(milliseconds(1'000));
  site.CheckAnswered();
  site.CheckInTime();
  site.CheckRules();
}

TEST_CASE("where descriptors are scarce no client loses answers that it has not taken yet") {
  constexpr int kCrowd = 250;
  HabitSite site({.sockets = 200});
  site.ConnectAll(3);
  site.rig.Run(kHabitual);
  std::vector<std::unique_ptr<HabitClient>> crowd;
  crowd.reserve(kCrowd);
  for (int i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<HabitClient>(site.rig.base(), site.ledger,
                                                  HabitClient::Target{.port = site.rig.port(0)},
                                                  Habit::kResting, 1'000 + i));
  }
  site.rig.Run(milliseconds(1'000));
  site.rig.ReadMetrics();
  CHECK(site.rig.Metric(0, "svc_client_connections_closed{reason=\"evicted\"}") > 0);
  site.CheckAnswered();
  site.CheckRules();
}

}  // namespace
}  // namespace postspread::fleet_rig
