// Verifies that the rig tells a complete gateway from one with a defense of the membership protocol disabled.
#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>

#include "fleet/rig.h"
#include "membership/wire.h"

namespace postspread::fleet_rig {
namespace {

constexpr double kAgreePeriods = 25;
// Within this many periods one of two members of five probes the other: each period has an even chance of it.
constexpr double kPairCutPeriods = 40;

// Each Fails...() function injects one fault into a rig of five gateways whose views agree, and returns
// whether it detected a failure.

double DeathsDeclared(Rig& rig) {
  rig.ReadMetrics();
  double out = 0;
  for (const int i : rig.Living()) out += rig.Metric(i, "svc_fleet_deaths_declared");
  return out;
}

bool ViewsStayDifferent(Rig& rig) {
  return rig.Until([&rig] { return rig.AllAgree(); }, kAgreePeriods) < 0;
}

// Two gateways reach each other only through the others. Which member probes which one in a period depends on
// the clock, so the cut lasts until one has probed the other and the suspicion timeout has passed.
bool FailsWithAPairCut(Rig& rig) {
  rig.CutPair(0, 1, true);
  const auto is_declared = [&rig] { return rig.Logged(0, "is dead") || rig.Logged(1, "is dead"); };
  if (rig.Until(is_declared, kPairCutPeriods) >= 0 || DeathsDeclared(rig) > 0) return true;
  rig.HealAll();
  return false;
}

// One gateway is repeatedly isolated, each time for less than the suspicion timeout.
bool FailsWithShortIsolations(Rig& rig) {
  for (int i = 0; i < 4; ++i) {
    rig.Partition({0, 0, 1, 0, 0});
    rig.Run(milliseconds(550));
    rig.HealAll();
    rig.Run(milliseconds(600));
  }
  return DeathsDeclared(rig) > 0;
}

// One gateway is isolated from all others and must not declare them dead.
bool FailsWithOneIsolated(Rig& rig) {
  rig.Isolate(3);
  rig.Run(milliseconds(2'500));
  rig.ReadMetrics();
  if (rig.Metric(3, "svc_fleet_deaths_declared") > 0) return true;
  rig.HealAll();
  return ViewsStayDifferent(rig);
}

// One gateway is killed and restarted at once.
bool FailsWithAFastRestart(Rig& rig) {
  rig.Kill(4);
  rig.Run(milliseconds(100));
  rig.Start(4);
  return ViewsStayDifferent(rig);
}

// The gateways are partitioned into two halves, and the partition heals.
bool FailsWithAPartition(Rig& rig) {
  rig.Partition({0, 0, 1, 1, 1});
  rig.Run(milliseconds(2'500));
  rig.HealAll();
  return ViewsStayDifferent(rig);
}

// One gateway is flooded with valid probes. Its replies must stay within the datagram budget.
bool FailsWithAFlood(Rig& rig) {
  rig.ReadMetrics();
  const double before = rig.Metric(0, "svc_fleet_datagrams_sent");
  membership::Message ping;
  ping.sender = {
      "gk-1", 0, {rig.incarnation(1), 0, membership::State::kAlive}, membership::EntryKind::kGossip};
  const std::string bytes = membership::Writer(membership::DigestGroup("rig"), ping, 256).Seal();
  for (int i = 0; i < 100; ++i) {
    for (int burst = 0; burst < 20; ++burst) rig.datagrams().Inject(1, 0, bytes);
    rig.Run(milliseconds(10));
  }
  rig.ReadMetrics();
  return rig.Metric(0, "svc_fleet_datagrams_sent") - before > 400;
}

struct DefenseCheck {
  std::array<std::string_view, 2> defenses;  // the defenses against this fault
  bool (*fails)(Rig& rig);
};
constexpr DefenseCheck kChecks[] = {{{"help"}, FailsWithAPairCut},
                                    {{"knocking"}, FailsWithShortIsolations},
                                    {{"local-health"}, FailsWithOneIsolated},
                                    {{"lives"}, FailsWithAFastRestart},
                                    {{"refutation", "asking-again"}, FailsWithAPartition},
                                    {{"budget"}, FailsWithAFlood}};

}  // namespace

bool DetectsFailure(const std::string& disabled) {
  Rig rig({.gateways = 5, .datagrams_per_second = 60, .disabled = disabled});
  rig.StartAll();
  if (rig.Until([&rig] { return rig.AllAgree(); }, 50) < 0) return true;
  for (const DefenseCheck& check : kChecks) {
    // The complete gateway passes through all checks, one without a defense only through the checks for it.
    const bool runs = disabled.empty() || std::find(check.defenses.begin(), check.defenses.end(), disabled) !=
                                              check.defenses.end();
    if (runs && check.fails(rig)) return true;
  }
  return !rig.violations().empty();
}

}  // namespace postspread::fleet_rig
