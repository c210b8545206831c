// Whether the rig tells a sound program from one with a defense switched off.
#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>

#include "fleet/rig.h"
#include "membership/wire.h"

namespace postspread::fleet_rig {
namespace {

constexpr double kAgreeWithin = 25;  // periods

// Each of these plays one fault on a rig of five whose views agree, and returns whether it saw something
// wrong.

double DeathsDeclared(Rig& rig) {
  rig.ReadMetrics();
  double out = 0;
  for (const int i : rig.Living()) out += rig.Metric(i, "svc_fleet_deaths_declared");
  return out;
}

bool StaysApart(Rig& rig) {
  return rig.Until([&rig] { return rig.AllAgree(); }, kAgreeWithin) < 0;
}

// Two that hear one another only through others.
bool FailsWithAPairCut(Rig& rig) {
  rig.CutPair(0, 1, true);
  rig.Run(milliseconds(2'500));
  if (DeathsDeclared(rig) > 0) return true;
  rig.HealAll();
  return false;
}

// One that nobody hears, each time for less than the suspicion lasts.
bool FailsWithShortIsolations(Rig& rig) {
  for (int i = 0; i < 4; ++i) {
    rig.Split({0, 0, 1, 0, 0});
    rig.Run(milliseconds(550));
    rig.HealAll();
    rig.Run(milliseconds(600));
  }
  return DeathsDeclared(rig) > 0;
}

// One that is cut off from all others and must not declare them dead.
bool FailsWithOneIsolated(Rig& rig) {
  rig.CutOff(3);
  rig.Run(milliseconds(2'500));
  rig.ReadMetrics();
  if (rig.Metric(3, "svc_fleet_deaths_declared") > 0) return true;
  rig.HealAll();
  return StaysApart(rig);
}

// One that is killed and started again at once.
bool FailsWithAFastRestart(Rig& rig) {
  rig.Kill(4);
  rig.Run(milliseconds(100));
  rig.Start(4);
  return StaysApart(rig);
}

// Two halves that part and meet again.
bool FailsWithAPartition(Rig& rig) {
  rig.Split({0, 0, 1, 1, 1});
  rig.Run(milliseconds(2'500));
  rig.HealAll();
  return StaysApart(rig);
}

// A flood of sound probes, which must not be answered past the budget.
bool FailsWithAFlood(Rig& rig) {
  rig.ReadMetrics();
  const double before = rig.Metric(0, "svc_fleet_datagrams_sent");
  membership::Message ping;
  ping.sender = {
      "gk-1", 0, {rig.incarnation(1), 0, membership::State::kAlive}, membership::EntryKind::kGossip};
  const std::string bytes = membership::Writer(membership::DigestGroup("rig"), ping, 256).Seal();
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 20; ++n) rig.datagrams().Inject(1, 0, bytes);
    rig.Run(milliseconds(10));
  }
  rig.ReadMetrics();
  return rig.Metric(0, "svc_fleet_datagrams_sent") - before > 400;
}

struct DefenseCheck {
  std::array<std::string_view, 2> defenses;  // that this fault is for
  bool (*fails)(Rig& rig);
};
constexpr DefenseCheck kChecks[] = {{{"help"}, FailsWithAPairCut},
                                    {{"knocking"}, FailsWithShortIsolations},
                                    {{"local-health"}, FailsWithOneIsolated},
                                    {{"lives"}, FailsWithAFastRestart},
                                    {{"refutation", "asking-again"}, FailsWithAPartition},
                                    {{"budget"}, FailsWithAFlood}};

}  // namespace

bool SeesRed(const std::string& disabled) {
  Rig rig({.gateways = 5, .datagrams_per_second = 60, .disabled = disabled});
  rig.StartAll();
  if (rig.Until([&rig] { return rig.AllAgree(); }, 50) < 0) return true;
  for (const DefenseCheck& check : kChecks) {
    // The sound program goes through all of it, one without a defense through what that is for.
    const bool plays = disabled.empty() || std::find(check.defenses.begin(), check.defenses.end(),
                                                     disabled) != check.defenses.end();
    if (plays && check.fails(rig)) return true;
  }
  return !rig.broken().empty();
}

}  // namespace postspread::fleet_rig
