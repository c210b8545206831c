// Shows the product run: gateways among stand-ins of nodes, counter and discovery on loopback, steady
// traffic, one gateway killed and started again, one cut off and back. A line a second; exit 0 only if
// every request got its one answer and the gateways' views are one at the end.
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

void Line(const Rig& rig, int second, Rig::Tally& before) {
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

int Play(bool keep) {
  Rig rig({.gateways = 4, .nodes = 6});
  // The front knows of a dead gateway and of one that is cut off only after a while.
  std::set<int> out;
  rig.sends_to = [&](int i) { return rig.alive(i) && !out.contains(i); };
  std::cout << "four gatekeepers, six nodes, a counter and a discovery on loopback, 200 requests a second"
            << std::endl;
  rig.StartAll();
  if (rig.Until([&] { return rig.AllAgree(); }, 100) < 0) {
    std::cout << rig.Report() << "they did not find one another" << std::endl;
    return 1;
  }
  rig.Run(milliseconds(500));
  rig.Traffic(200);
  Rig::Tally before;
  for (int second = 1; !interrupted && (keep || second <= 30); ++second) {
    if (second == 8) {
      std::cout << "       gk-1 is killed" << std::endl;
      rig.Kill(1);
    }
    if (second == 13) {
      std::cout << "       gk-1 is started again" << std::endl;
      rig.Start(1);
      out.insert(1);
    }
    if (second == 14) out.erase(1);
    if (second == 18) {
      std::cout << "       gk-2 is cut off from the others, from nodes, counter and discovery" << std::endl;
      out.insert(2);
      rig.Run(milliseconds(300));
      rig.CutOff(2);
    }
    if (second == 23) {
      std::cout << "       gk-2 is reached again" << std::endl;
      rig.Rejoin(2);
    }
    if (second == 25) out.erase(2);
    rig.Run(seconds(1));
    Line(rig, second, before);
  }
  rig.StopTraffic();
  const bool answered = rig.Until([&] { return rig.open() == 0; }, 50) >= 0;
  const bool agree = rig.Until([&] { return rig.AllAgree(); }, 50) >= 0;
  const Rig::Tally& all = rig.tally();
  std::printf(
      "asked %llu: served %llu, refused %llu, failed %llu, cut short by the kill %llu, never answered %llu\n",
      static_cast<unsigned long long>(all.asked), static_cast<unsigned long long>(all.served),
      static_cast<unsigned long long>(all.refused), static_cast<unsigned long long>(all.failed),
      static_cast<unsigned long long>(all.dropped), static_cast<unsigned long long>(all.unanswered));
  std::printf("the gatekeepers' views of one another %s\n", agree ? "are one" : "DIFFER");
  for (const std::string& line : rig.broken()) std::printf("broken: %s\n", line.c_str());
  const std::uint64_t ended = all.served + all.refused + all.failed + all.dropped;
  const bool sound = answered && agree && all.unanswered == 0 && ended == all.asked && rig.broken().empty();
  if (!sound) std::cout << rig.Report();
  return sound ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGINT, [](int) { interrupted = 1; });
  bool keep = false;
  CLI::App app("Plays half a minute of four gatekeepers on loopback, with faults");
  app.add_flag("--keep", keep, "Goes on until interrupted");
  CLI11_PARSE(app, argc, argv);
  try {
    return Play(keep);
  } catch (const std::exception& error) {
    std::cout << error.what() << std::endl;
    return 1;
  }
}
