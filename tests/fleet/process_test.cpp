// The membership view over several real gateways, with faults between them; and the rig itself: with
// each defence switched off it has to see red.
#include <catch2/catch.hpp>

#include "fleet/rig.h"

namespace postspread::fleet_rig {
namespace {

constexpr double kSettle = 25;  // periods; the promise's 10 at the 99th percentile is held by bench/fleet

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

void Sound(Rig& rig) {
  if (rig.broken().empty()) return;
  std::string text;
  for (const std::string& line : rig.broken()) text += line + "\n";
  FAIL_CHECK(text + rig.Report());
}

#define HOLDS(rig, condition, periods)                                                                \
  do {                                                                                                \
    const double took = (rig).Until([&] { return condition; }, (periods));                            \
    if (took < 0) FAIL("not within " << (periods) << " periods: " #condition "\n" << (rig).Report()); \
  } while (false)

TEST_CASE("halves that were apart for longer than they remember are one again") {
  Rig rig({.gateways = 6, .forget = milliseconds(2'000)});
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 50);
  rig.Split(Halves(6));
  HOLDS(rig, rig.Agree(Range(0, 3)) && rig.Agree(Range(3, 6)), kSettle);
  rig.Run(milliseconds(2'500));
  CHECK_FALSE(rig.See(0, 5));  // forgotten
  rig.HealAll();
  HOLDS(rig, rig.AllAgree(), kSettle);
  Sound(rig);
}

TEST_CASE("seven of ten killed at once, then all started again") {
  Rig rig({.gateways = 10, .datagrams_per_second = 200});
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 80);
  for (const int i : Range(3, 10)) rig.Kill(i);
  HOLDS(rig, rig.AllAgree(), 40);
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 80);
  Sound(rig);
}

TEST_CASE("members that start again on clocks that were stepped are in every view, and know the others") {
  constexpr std::int64_t kSteps[] = {1'000'000, 60'000'000, 3'600'000'000};
  Rig rig({.gateways = 5, .fault_shim = FAULT_SHIM});
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 50);
  for (const std::int64_t step : kSteps) {
    rig.faults(1).wall_offset_us = -step;
    rig.faults(2).wall_offset_us = step;
    for (const int i : {1, 2}) rig.Kill(i);
    HOLDS(rig, rig.AllAgree(), 40);
    rig.StartAll();
    HOLDS(rig, rig.AllAgree(), 50);
    // And back again: what was ahead is behind its former life.
    rig.faults(2).wall_offset_us = 0;
    rig.Kill(2);
    HOLDS(rig, rig.AllAgree(), 40);
    rig.StartAll();
    HOLDS(rig, rig.AllAgree(), 50);
  }
  Sound(rig);
}

TEST_CASE("a cut one way, and a member that stands still for less and for longer than the suspicion") {
  Rig rig({.gateways = 4});
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 50);
  const std::string before = rig.hash(0);
  rig.CutPair(0, 1, false);
  rig.Run(milliseconds(3'000));
  CHECK(rig.hash(0) == before);
  CHECK(rig.AllAgree());
  rig.HealAll();
  rig.Stop(2);
  rig.Run(milliseconds(480));  // 0.8 times
  rig.Continue(2);
  rig.Run(milliseconds(1'500));
  for (const int i : Range(0, 4)) CHECK(rig.hash(i) == before);
  rig.Stop(2);
  rig.Run(milliseconds(1'800));  // 3 times
  CHECK(rig.See(0, 2)->state == "dead");
  rig.Continue(2);
  HOLDS(rig, rig.AllAgree(), kSettle);
  // It declared nobody dead for its own absence.
  rig.ReadMetrics();
  CHECK(rig.Metric(2, "svc_fleet_deaths_declared") == 0);
  CHECK(rig.hash(2) == before);
  Sound(rig);
}

TEST_CASE("all seeds down at the start, and a rolling restart while datagrams are lost") {
  Rig rig({.gateways = 4, .loss = 0.1});
  rig.Start(3);
  rig.Run(milliseconds(1'500));
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 50);
  for (const int i : Range(0, 4)) {
    rig.Terminate(i);
    HOLDS(rig, !rig.SeenByAny(i), 5);
    for (const int other : rig.Living()) CHECK(rig.See(other, i)->state == "left");
    HOLDS(rig, !rig.alive(i), 50);
    rig.Start(i);
    HOLDS(rig, rig.AllAgree(), kSettle);
  }
  rig.ReadMetrics();
  for (const int i : Range(0, 4)) CHECK(rig.Metric(i, "svc_fleet_members{state=\"dead\"}") == 0);
  Sound(rig);
}

TEST_CASE("two processes under one name are told, and the others' view does not suffer") {
  Options options{.gateways = 5};
  options.name = [](int i) { return i == 4 ? "gk-1" : "gk-" + std::to_string(i); };
  Rig rig(options);
  for (const int i : Range(0, 4)) rig.Start(i);
  HOLDS(rig, rig.Agree(Range(0, 4)), 50);
  rig.Start(4);
  HOLDS(rig, rig.Logged(0, "two processes are named") || rig.Logged(2, "two processes are named"), 50);
  rig.Run(milliseconds(1'000));
  CHECK(rig.hash(0) == rig.hash(2));
  CHECK(rig.hash(2) == rig.hash(3));
  CHECK(rig.See(0, 2)->state == "alive");
}

TEST_CASE("an upgrade: the successor takes over, and nobody sees a death") {
  Rig rig({.gateways = 3, .inherited = true});
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 50);
  const std::uint64_t former = rig.incarnation(1);
  rig.StartSuccessor(1);
  HOLDS(rig, rig.incarnation(1) > former && rig.AllAgree(), kSettle);
  rig.EndFormer(1);
  rig.Run(milliseconds(2'000));
  CHECK(rig.AllAgree());
  rig.ReadMetrics();
  for (const int i : Range(0, 3)) CHECK(rig.Metric(i, "svc_fleet_deaths_declared") == 0);
  CHECK_FALSE(rig.Logged(0, "gk-1 is dead"));
  Sound(rig);
}

TEST_CASE("a reload takes on the view's times, and says what only a start can take on") {
  Options options{.gateways = 3, .period = milliseconds(1'000), .suspicion = milliseconds(30'000)};
  Rig rig(options);
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 20);
  rig.Kill(2);
  options.period = milliseconds(100);
  options.suspicion = milliseconds(300);
  rig.WriteOperators(options);
  for (const int i : {0, 1}) rig.Reload(i);
  HOLDS(rig, rig.AllAgree(), 5);  // of the former periods: with the former suspicion it would take thirty
  CHECK_FALSE(rig.Logged(0, "configuration needs a restart"));
  options.view = false;
  rig.WriteOperators(options);
  rig.Reload(0);
  HOLDS(rig, rig.Logged(0, "configuration needs a restart"), 5);
  CHECK(rig.Agree({0, 1}));
  Sound(rig);
}

TEST_CASE("a cut in the middle of a leave, and garbage at full speed while a member dies") {
  Rig rig({.gateways = 4});
  rig.StartAll();
  HOLDS(rig, rig.AllAgree(), 50);
  rig.Split({0, 0, 1, 1});
  rig.Terminate(3);  // half of the others can't hear it
  HOLDS(rig, !rig.SeenByAny(3), kSettle);
  HOLDS(rig, !rig.alive(3), 50);
  rig.HealAll();
  HOLDS(rig, rig.AllAgree(), kSettle);
  rig.Start(3);
  HOLDS(rig, rig.AllAgree(), kSettle);

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
  HOLDS(rig, rig.AllAgree(), kSettle);
  rig.ReadMetrics();
  CHECK(rig.Metric(0, "svc_fleet_dropped{cause=\"unreadable\"}") +
            rig.Metric(0, "svc_fleet_dropped{cause=\"foreign\"}") >
        1'000);
  flooding = false;
  rig.Run(milliseconds(50));
  Sound(rig);
}

TEST_CASE("the rig tells a sound program from one whose defence is off") {
  CHECK_FALSE(SeesRed(""));
  for (const char* disabled : kDefences) {
    INFO(disabled);
    CHECK(SeesRed(disabled));
  }
}

}  // namespace
}  // namespace postspread::fleet_rig
