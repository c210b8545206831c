// Demonstrates the gateways on loopback with simulated upstreams, counter and discovery: under steady traffic
// one gateway is killed and started again, and another is disconnected and reconnected. It prints a line a
// second and exits with 0 only if every request got exactly one response and the membership views agree at
// the end.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "fleet/rig.h"

namespace {

using postspread::fleet_rig::Rig;
using std::chrono::milliseconds;
using std::chrono::seconds;

volatile sig_atomic_t interrupted = 0;

void PrintSecond(const Rig& rig, int second, Rig::Tally& before) {
  const Rig::Tally& now = rig.tally();
  std::printf("%3d s  served %4llu  refused %3llu  failed %3llu  cut short %3llu  |", second,
              static_cast<unsigned long long>(now.served - before.served),
              static_cast<unsigned long long>(now.refused - before.refused),
              static_cast<unsigned long long>(now.failed - before.failed),
              static_cast<unsigned long long>(now.dropped - before.dropped));
  before = now;
  for (int i = 0; i < rig.size(); ++i) {
    if (!rig.alive(i)) {
      std::printf("  gk-%d down", i);
      continue;
    }
    std::printf("  gk-%d sees %d", i, rig.Count(i, "alive"));
    if (const int suspects = rig.Count(i, "suspect")) std::printf(" (%d suspect)", suspects);
    if (const int dead = rig.Count(i, "dead")) std::printf(" (%d dead)", dead);
  }
  std::printf("\n");
  std::fflush(stdout);
}

int RunDemo(bool until_interrupted) {
  Rig rig({.gateways = 4, .upstreams = 6});
  // Like a load balancer that notices changes late, clients avoid a gateway for 1 s after its start, and from
  // shortly before it is disconnected until 2 s after it is reconnected.
  std::set<int> avoided;
  rig.sends_to = [&](int i) { return rig.alive(i) && !avoided.contains(i); };
  std::cout
      << "four gateways, six upstreams, a counter and a discovery service on loopback, 200 requests a second"
      << std::endl;
  rig.StartAll();
  if (rig.Until([&] { return rig.AllAgree(); }, 100) < 0) {
    std::cout << rig.Report() << "the gateways did not reach a common membership view" << std::endl;
    return 1;
  }
  rig.Run(milliseconds(500));
  rig.Traffic(200);
  Rig::Tally before;
  for (int second = 1; !interrupted && (until_interrupted || second <= 30); ++second) {
    if (second == 8) {
      std::cout << "       gk-1 is killed" << std::endl;
      rig.Kill(1);
    }
    if (second == 13) {
      std::cout << "       gk-1 is started again" << std::endl;
      rig.Start(1);
      avoided.insert(1);
    }
    if (second == 14) avoided.erase(1);
    if (second == 18) {
      std::cout
          << "       gk-2 is cut off from its peers, the upstreams, the counter and the discovery service"
          << std::endl;
      avoided.insert(2);
      rig.Run(milliseconds(300));
      rig.Isolate(2);
    }
    if (second == 23) {
      std::cout << "       gk-2 is connected again" << std::endl;
      rig.Rejoin(2);
    }
    if (second == 25) avoided.erase(2);
    rig.Run(seconds(1));
    PrintSecond(rig, second, before);
  }
  rig.StopTraffic();
  const bool all_ended = rig.Until([&] { return rig.open() == 0; }, 50) >= 0;
  const bool views_agree = rig.Until([&] { return rig.AllAgree(); }, 50) >= 0;
  const Rig::Tally& all = rig.tally();
  std::printf(
      "sent %llu: served %llu, refused %llu, failed %llu, cut short by the kill %llu, unanswered %llu\n",
      static_cast<unsigned long long>(all.sent), static_cast<unsigned long long>(all.served),
      static_cast<unsigned long long>(all.refused), static_cast<unsigned long long>(all.failed),
      static_cast<unsigned long long>(all.dropped), static_cast<unsigned long long>(all.unanswered));
  std::printf("the gateways' membership views %s\n", views_agree ? "agree" : "DIFFER");
  for (const std::string& line : rig.violations()) std::printf("violation: %s\n", line.c_str());
  const std::uint64_t ended = all.served + all.refused + all.failed + all.dropped;
  const bool passed =
      all_ended && views_agree && all.unanswered == 0 && ended == all.sent && rig.violations().empty();
  if (!passed) std::cout << rig.Report();
  return passed ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGINT, [](int) { interrupted = 1; });
  bool until_interrupted = false;
  CLI::App app("Runs four gateways on loopback for half a minute, with faults");
  app.add_flag("--keep", until_interrupted, "Continues until interrupted");
  CLI11_PARSE(app, argc, argv);
  try {
    return RunDemo(until_interrupted);
  } catch (const std::exception& error) {
    std::cout << error.what() << std::endl;
    return 1;
  }
}
