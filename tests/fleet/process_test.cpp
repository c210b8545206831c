// The membership view of several real gateways with faults between them. The last test verifies the rig
// itself: it has to detect each disabled defense.
#include <catch2/catch.hpp>

#include "fleet/rig.h"

namespace postspread::fleet_rig {
namespace {

// The tests' limit; bench/fleet verifies the stated 10 periods at the 99th percentile.
constexpr double kSettlePeriods = 25;

std::vector<int> Range(int from, int to) {
  std::vector<int> out;
  for (int i = from; i < to; ++i) out.push_back(i);
  return out;
}
std::vector<int> Halves(int members) {
  std::vector<int> out;
  out.reserve(members);
  for (int i = 0; i < members; ++i) out.push_back(i < members / 2 ? 0 : 1);
  return out;
}

void CheckNoViolations(Rig& rig) {
  if (rig.violations().empty()) return;
  std::string text;
  for (const std::string& line : rig.violations()) text += line + "\n";
  FAIL_CHECK(text + rig.Report());
}

#define MUST_HOLD_WITHIN(rig, condition, periods)                                                     \
  do {                                                                                                \
    const double took = (rig).Until([&] { return condition; }, (periods));                            \
    if (took < 0) FAIL("not within " << (periods) << " periods: " #condition "\n" << (rig).Report()); \
  } while (false)

TEST_CASE("given a partition longer than `forget`, when it heals, then the views of both halves converge") {
  Rig rig({.gateways = 6, .forget = milliseconds(2'000)});
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  rig.Partition(Halves(6));
  MUST_HOLD_WITHIN(rig, rig.Agree(Range(0, 3)) && rig.Agree(Range(3, 6)), kSettlePeriods);
  rig.Run(milliseconds(2'500));
  CHECK_FALSE(rig.ViewOf(0, 5));  // both halves have removed the other's members
  rig.HealAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), kSettlePeriods);
  CheckNoViolations(rig);
}

TEST_CASE(
    "given ten gateways, when seven are killed at once and restarted, then the views converge each time") {
  Rig rig({.gateways = 10, .datagrams_per_second = 200});
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 80);
  for (const int i : Range(3, 10)) rig.Kill(i);
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 40);
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 80);
  CheckNoViolations(rig);
}

TEST_CASE(
    "given stepped wall clocks, when gateways restart, then all views list them and theirs list all others") {
  constexpr std::int64_t kSteps[] = {1'000'000, 60'000'000, 3'600'000'000};
  Rig rig({.gateways = 5, .fault_shim = FAULT_SHIM});
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  for (const std::int64_t step : kSteps) {
    rig.faults(1).wall_offset_us = -step;
    rig.faults(2).wall_offset_us = step;
    for (const int i : {1, 2}) rig.Kill(i);
    MUST_HOLD_WITHIN(rig, rig.AllAgree(), 40);
    rig.StartAll();
    MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
    // The clock that was ahead returns, so that it is behind that of the gateway's previous incarnation.
    rig.faults(2).wall_offset_us = 0;
    rig.Kill(2);
    MUST_HOLD_WITHIN(rig, rig.AllAgree(), 40);
    rig.StartAll();
    MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  }
  CheckNoViolations(rig);
}

TEST_CASE(
    "given four gateways, when one direction is cut or a member is suspended, then only a long suspension "
    "changes the view") {
  Rig rig({.gateways = 4});
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  const std::string before = rig.hash(0);
  rig.CutPair(0, 1, false);
  rig.Run(milliseconds(3'000));
  CHECK(rig.hash(0) == before);
  CHECK(rig.AllAgree());
  rig.HealAll();
  rig.Stop(2);
  rig.Run(milliseconds(480));  // 0.8 times the suspicion timeout
  rig.Continue(2);
  rig.Run(milliseconds(1'500));
  for (const int i : Range(0, 4)) CHECK(rig.hash(i) == before);
  rig.Stop(2);
  rig.Run(milliseconds(1'800));  // 3 times the suspicion timeout
  CHECK(rig.ViewOf(0, 2)->state == "dead");
  rig.Continue(2);
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), kSettlePeriods);
  // The suspended gateway declared no other dead after its own suspension.
  rig.ReadMetrics();
  CHECK(rig.Metric(2, "svc_fleet_deaths_declared") == 0);
  CHECK(rig.hash(2) == before);
  CheckNoViolations(rig);
}

TEST_CASE(
    "given lost datagrams and no seed at the start, when all gateways restart in turn, then the views "
    "converge") {
  Rig rig({.gateways = 4, .loss = 0.1});
  rig.Start(3);
  rig.Run(milliseconds(1'500));
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  for (const int i : Range(0, 4)) {
    rig.Terminate(i);
    MUST_HOLD_WITHIN(rig, !rig.SeenByAny(i), 5);
    for (const int other : rig.Living()) CHECK(rig.ViewOf(other, i)->state == "left");
    MUST_HOLD_WITHIN(rig, !rig.alive(i), 50);
    rig.Start(i);
    MUST_HOLD_WITHIN(rig, rig.AllAgree(), kSettlePeriods);
  }
  rig.ReadMetrics();
  for (const int i : Range(0, 4)) CHECK(rig.Metric(i, "svc_fleet_members{state=\"dead\"}") == 0);
  CheckNoViolations(rig);
}

TEST_CASE(
    "given two processes with the same name, when both run, then the conflict is logged and other views "
    "agree") {
  Options options{.gateways = 5};
  options.name = [](int i) { return i == 4 ? "gk-1" : "gk-" + std::to_string(i); };
  Rig rig(options);
  for (const int i : Range(0, 4)) rig.Start(i);
  MUST_HOLD_WITHIN(rig, rig.Agree(Range(0, 4)), 50);
  rig.Start(4);
  MUST_HOLD_WITHIN(rig, rig.Logged(0, "two processes are named") || rig.Logged(2, "two processes are named"),
                   50);
  rig.Run(milliseconds(1'000));
  CHECK(rig.hash(0) == rig.hash(2));
  CHECK(rig.hash(2) == rig.hash(3));
  CHECK(rig.ViewOf(0, 2)->state == "alive");
}

TEST_CASE("given a running gateway, when a successor takes over, then no gateway declares a death") {
  Rig rig({.gateways = 3, .inherited = true});
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  const std::uint64_t predecessor = rig.incarnation(1);
  rig.StartSuccessor(1);
  MUST_HOLD_WITHIN(rig, rig.incarnation(1) > predecessor && rig.AllAgree(), kSettlePeriods);
  rig.TerminatePredecessor(1);
  rig.Run(milliseconds(2'000));
  CHECK(rig.AllAgree());
  rig.ReadMetrics();
  for (const int i : Range(0, 3)) CHECK(rig.Metric(i, "svc_fleet_deaths_declared") == 0);
  CHECK_FALSE(rig.Logged(0, "gk-1 is dead"));
  CheckNoViolations(rig);
}

TEST_CASE(
    "given changed membership settings, when the gateways reload, then periods apply at once and the rest "
    "needs a restart") {
  Options options{.gateways = 3, .period = milliseconds(1'000), .suspicion = milliseconds(30'000)};
  Rig rig(options);
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 20);
  rig.Kill(2);
  options.period = milliseconds(100);
  options.suspicion = milliseconds(300);
  rig.WriteOperatorFile(options);
  for (const int i : {0, 1}) rig.Reload(i);
  MUST_HOLD_WITHIN(rig, rig.AllAgree(),
                   5);  // of the previous period; the previous suspicion timeout would take 30
  CHECK_FALSE(rig.Logged(0, "configuration needs a restart"));
  options.view = false;
  rig.WriteOperatorFile(options);
  rig.Reload(0);
  MUST_HOLD_WITHIN(rig, rig.Logged(0, "configuration needs a restart"), 5);
  CHECK(rig.Agree({0, 1}));
  CheckNoViolations(rig);
}

TEST_CASE(
    "given a partition or a flood of invalid datagrams, when a member shuts down or dies, then the views "
    "converge") {
  Rig rig({.gateways = 4});
  rig.StartAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), 50);
  rig.Partition({0, 0, 1, 1});
  rig.Terminate(3);  // the other half doesn't receive its shutdown message
  MUST_HOLD_WITHIN(rig, !rig.SeenByAny(3), kSettlePeriods);
  MUST_HOLD_WITHIN(rig, !rig.alive(3), 50);
  rig.HealAll();
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), kSettlePeriods);
  rig.Start(3);
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), kSettlePeriods);

  bool flooding = true;
  std::function<void()> flood = [&] {
    if (!flooding) return;
    for (int i = 0; i < 200; ++i) {
      std::string bytes = i % 2 == 0 ? "PSV\1" : "";
      for (std::uint64_t n = rig.random()() % 250; n > 0; --n) bytes += static_cast<char>(rig.random()());
      rig.datagrams().Inject(1, 0, bytes);
    }
    partners::After(rig.base(), milliseconds(5), [&] { flood(); });
  };
  flood();
  rig.Run(milliseconds(500));
  rig.Kill(2);
  MUST_HOLD_WITHIN(rig, rig.AllAgree(), kSettlePeriods);
  rig.ReadMetrics();
  CHECK(rig.Metric(0, "svc_fleet_dropped{cause=\"unreadable\"}") +
            rig.Metric(0, "svc_fleet_dropped{cause=\"foreign\"}") >
        1'000);
  flooding = false;
  rig.Run(milliseconds(50));
  CheckNoViolations(rig);
}

TEST_CASE(
    "given a gateway with or without one defense, when the rig injects faults, then it detects only a "
    "missing one") {
  CHECK_FALSE(DetectsFailure(""));
  for (const char* disabled : kDefenses) {
    INFO(disabled);
    CHECK(DetectsFailure(disabled));
  }
}

}  // namespace
}  // namespace postspread::fleet_rig
