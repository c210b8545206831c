// The bound on what discovery's faults may hold up, in modelled time.
#include "discovery/discovery_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

enum class Fault { kSilent, kRefused, kNeverUp };

// Plays a fault at time 0 of a call that is out, then the rest with every step as long as it may be, then a
// call that is answered; returns how long after the change that is. The change came when the first fault hid
// it: as the silent call began, or as the other came to nothing.
milliseconds Play(DiscoverySchedule& times, const std::vector<Fault>& faults) {
  const auto dial = std::chrono::ceil<milliseconds>(times.Dial());
  milliseconds at{0};
  for (std::size_t i = 0; i < faults.size(); ++i) {
    const milliseconds call = times.Wait() + times.kOverdue;  // a refusal may come as late as that
    if (i > 0) at += dial;
    if (faults[i] == Fault::kSilent || (i > 0 && faults[i] == Fault::kRefused)) at += call;
    at += faults[i] == Fault::kRefused ? times.Refused() : times.Lost();
  }
  at += dial + times.kOverdue;
  times.Answered();
  return at;
}

TEST_CASE("whatever two faults follow one another, a change is told within its bound, in any group") {
  for (const int group : {1, 2, 3, 30, 300, 3'000}) {
    for (const milliseconds timeout : {milliseconds(50), milliseconds(250), milliseconds(5'000)}) {
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        DiscoverySchedule times(timeout, group, seed);
        for (const Fault first : {Fault::kSilent, Fault::kRefused, Fault::kNeverUp}) {
          for (const Fault second : {Fault::kSilent, Fault::kRefused, Fault::kNeverUp}) {
            const milliseconds took = Play(times, {first, second});
            INFO(group << " gatekeepers, dial " << timeout.count() << " ms, faults "
                       << static_cast<int>(first) << " " << static_cast<int>(second) << ", " << took.count()
                       << " ms");
            REQUIRE(took <= DiscoverySchedule::kTold - DiscoverySchedule::kSpare);
          }
        }
      }
    }
  }
}

TEST_CASE("refused again and again, a call comes within the bound of the one before, and the spare is kept") {
  DiscoverySchedule times(milliseconds(250), 300, 7);
  for (int i = 0; i < 1'000; ++i) {
    const milliseconds two = times.Refused() + times.Refused();
    REQUIRE(two + 2 * (milliseconds(250) + times.kOverdue) + times.kShortWait <=
            DiscoverySchedule::kTold - DiscoverySchedule::kSpare);
  }
}

TEST_CASE("a refused group makes some five calls a second, or as few as the bound allows, and not in step") {
  for (const int group : {1, 3, 5, 30, 300}) {
    DiscoverySchedule times(milliseconds(250), group, 11);
    times.Refused();
    milliseconds sum{0}, least{1'000'000}, most{0};
    constexpr int kRounds = 2'000;
    for (int i = 0; i < kRounds; ++i) {
      const milliseconds pause = times.Refused();
      sum += pause;
      least = std::min(least, pause);
      most = std::max(most, pause);
    }
    const double mean = static_cast<double>(sum.count()) / kRounds;
    INFO(group << " gatekeepers, " << mean << " ms");
    CHECK(mean == Approx(std::min(200.0 * group, 1'166.0)).epsilon(0.05));
    CHECK(most > 2 * least);
  }
}

TEST_CASE("after a fault the first call waits for a short time only, and then the usual") {
  DiscoverySchedule times(milliseconds(250), 3, 1);
  CHECK(times.Wait() == DiscoverySchedule::kWait);
  times.Lost();
  CHECK(times.Wait() == DiscoverySchedule::kShortWait);
  times.Refused();
  CHECK(times.Wait() == DiscoverySchedule::kShortWait);
  times.Answered();
  CHECK(times.Wait() == DiscoverySchedule::kWait);
}

}  // namespace
}  // namespace postspread::discovery
