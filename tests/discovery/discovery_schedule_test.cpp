// Tests of the bound on the delay that discovery faults cause, in virtual time.
#include "discovery/discovery_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

enum class Fault { kUnresponsive, kRefused, kDialFailed };

// Simulates faults one after another, each step as long as possible, then a call that receives a response.
// Returns the time since the change, which happens when the first fault hides it: when the unresponsive call
// begins, or when another one fails.
milliseconds SimulateFaults(DiscoverySchedule& schedule, const std::vector<Fault>& faults) {
  const auto dial = std::chrono::ceil<milliseconds>(schedule.DialTimeout());
  milliseconds at{0};
  for (std::size_t i = 0; i < faults.size(); ++i) {
    const milliseconds call =
        schedule.Wait() + schedule.kTimeoutMargin;  // a refusal may arrive as late as this
    if (i > 0) at += dial;
    if (faults[i] == Fault::kUnresponsive || (i > 0 && faults[i] == Fault::kRefused)) at += call;
    at += faults[i] == Fault::kRefused ? schedule.OnRefusal() : schedule.OnConnectionLost();
  }
  at += dial + schedule.kTimeoutMargin;
  schedule.OnResponse();
  return at;
}

TEST_CASE(
    "after any two consecutive faults, a change takes effect within its deadline in a group of any size") {
  for (const int group : {1, 2, 3, 30, 300, 3'000}) {
    for (const milliseconds timeout : {milliseconds(50), milliseconds(250), milliseconds(5'000)}) {
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        DiscoverySchedule schedule(timeout, group, seed);
        for (const Fault first : {Fault::kUnresponsive, Fault::kRefused, Fault::kDialFailed}) {
          for (const Fault second : {Fault::kUnresponsive, Fault::kRefused, Fault::kDialFailed}) {
            const milliseconds took = SimulateFaults(schedule, {first, second});
            INFO(group << " gateways, dial " << timeout.count() << " ms, faults " << static_cast<int>(first)
                       << " " << static_cast<int>(second) << ", " << took.count() << " ms");
            REQUIRE(took <= DiscoverySchedule::kChangeDeadline - DiscoverySchedule::kProcessingReserve);
          }
        }
      }
    }
  }
}

TEST_CASE("any two consecutive refused calls fit in the deadline, with the processing reserve left") {
  DiscoverySchedule schedule(milliseconds(250), 300, 7);
  for (int i = 0; i < 1'000; ++i) {
    const milliseconds backoffs = schedule.OnRefusal() + schedule.OnRefusal();
    REQUIRE(backoffs + 2 * (milliseconds(250) + schedule.kTimeoutMargin) + schedule.kShortWatchWait <=
            DiscoverySchedule::kChangeDeadline - DiscoverySchedule::kProcessingReserve);
  }
}

TEST_CASE("a refused group makes five calls a second, or as few as the backoff bound allows, out of step") {
  for (const int group : {1, 3, 5, 30, 300}) {
    DiscoverySchedule schedule(milliseconds(250), group, 11);
    schedule.OnRefusal();
    milliseconds sum{0};
    milliseconds min_backoff{milliseconds::max()};
    milliseconds max_backoff{0};
    constexpr int kRounds = 2'000;
    for (int i = 0; i < kRounds; ++i) {
      const milliseconds backoff = schedule.OnRefusal();
      sum += backoff;
      min_backoff = std::min(min_backoff, backoff);
      max_backoff = std::max(max_backoff, backoff);
    }
    const double mean = static_cast<double>(sum.count()) / kRounds;
    INFO(group << " gateways, " << mean << " ms");
    CHECK(mean == Approx(std::min(200.0 * group, 1'166.0)).epsilon(0.05));
    CHECK(max_backoff > 2 * min_backoff);
  }
}

TEST_CASE("the first call after a fault has a short wait, and later ones have the usual wait") {
  DiscoverySchedule schedule(milliseconds(250), 3, 1);
  CHECK(schedule.Wait() == DiscoverySchedule::kWatchWait);
  schedule.OnConnectionLost();
  CHECK(schedule.Wait() == DiscoverySchedule::kShortWatchWait);
  schedule.OnRefusal();
  CHECK(schedule.Wait() == DiscoverySchedule::kShortWatchWait);
  schedule.OnResponse();
  CHECK(schedule.Wait() == DiscoverySchedule::kWatchWait);
}

}  // namespace
}  // namespace postspread::discovery
