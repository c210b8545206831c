// The bound on the delay that faults of discovery cause, in virtual time.
#include "discovery/discovery_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

enum class Fault { kSilent, kRefused, kNeverUp };

// Plays faults in turn, each step as long as it may be, then a call that is answered. Returns the time since
// the change, which came when the first fault hid it: as the silent call began, or as the other one failed.
milliseconds Play(DiscoverySchedule& schedule, const std::vector<Fault>& faults) {
  const auto dial = std::chrono::ceil<milliseconds>(schedule.Dial());
  milliseconds at{0};
  for (std::size_t i = 0; i < faults.size(); ++i) {
    const milliseconds call = schedule.Wait() + schedule.kOverdue;  // a refusal may come as late as that
    if (i > 0) at += dial;
    if (faults[i] == Fault::kSilent || (i > 0 && faults[i] == Fault::kRefused)) at += call;
    at += faults[i] == Fault::kRefused ? schedule.Refused() : schedule.Lost();
  }
  at += dial + schedule.kOverdue;
  schedule.Answered();
  return at;
}

TEST_CASE("after any two faults in a row a change is in force within its deadline, in any group") {
  for (const int group : {1, 2, 3, 30, 300, 3'000}) {
    for (const milliseconds timeout : {milliseconds(50), milliseconds(250), milliseconds(5'000)}) {
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        DiscoverySchedule schedule(timeout, group, seed);
        for (const Fault first : {Fault::kSilent, Fault::kRefused, Fault::kNeverUp}) {
          for (const Fault second : {Fault::kSilent, Fault::kRefused, Fault::kNeverUp}) {
            const milliseconds took = Play(schedule, {first, second});
            INFO(group << " gateways, dial " << timeout.count() << " ms, faults " << static_cast<int>(first)
                       << " " << static_cast<int>(second) << ", " << took.count() << " ms");
            REQUIRE(took <= DiscoverySchedule::kChangeDeadline - DiscoverySchedule::kSpare);
          }
        }
      }
    }
  }
}

TEST_CASE("of calls that are refused in a row any two come within the deadline, with the spare left") {
  DiscoverySchedule schedule(milliseconds(250), 300, 7);
  for (int i = 0; i < 1'000; ++i) {
    const milliseconds backoffs = schedule.Refused() + schedule.Refused();
    REQUIRE(backoffs + 2 * (milliseconds(250) + schedule.kOverdue) + schedule.kShortWait <=
            DiscoverySchedule::kChangeDeadline - DiscoverySchedule::kSpare);
  }
}

TEST_CASE("a group that is refused makes five calls a second, or as few as the bound allows, out of step") {
  for (const int group : {1, 3, 5, 30, 300}) {
    DiscoverySchedule schedule(milliseconds(250), group, 11);
    schedule.Refused();
    milliseconds sum{0};
    milliseconds least{milliseconds::max()};
    milliseconds most{0};
    constexpr int kRounds = 2'000;
    for (int i = 0; i < kRounds; ++i) {
      const milliseconds backoff = schedule.Refused();
      sum += backoff;
      least = std::min(least, backoff);
      most = std::max(most, backoff);
    }
    const double mean = static_cast<double>(sum.count()) / kRounds;
    INFO(group << " gateways, " << mean << " ms");
    CHECK(mean == Approx(std::min(200.0 * group, 1'166.0)).epsilon(0.05));
    CHECK(most > 2 * least);
  }
}

TEST_CASE("the first call after a fault has a short wait, the next ones the usual") {
  DiscoverySchedule schedule(milliseconds(250), 3, 1);
  CHECK(schedule.Wait() == DiscoverySchedule::kWait);
  schedule.Lost();
  CHECK(schedule.Wait() == DiscoverySchedule::kShortWait);
  schedule.Refused();
  CHECK(schedule.Wait() == DiscoverySchedule::kShortWait);
  schedule.Answered();
  CHECK(schedule.Wait() == DiscoverySchedule::kWait);
}

}  // namespace
}  // namespace postspread::discovery
