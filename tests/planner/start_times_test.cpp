// Tests of the estimated start times of upstreams while a wall clock is skewed or stepped. Discovery reports
// start times as wall time, so a clock that differs would otherwise make a restart look too old or hide it.
#include "planner/start_times.h"

#include <catch2/catch.hpp>

namespace postspread::planner {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds kNow{1'000'000};

EndpointListReport List(EndpointUpdateKind kind, milliseconds started,
                        UpstreamState state = UpstreamState::kReady) {
  const Upstream upstream{.name = "s-1", .zone = "z", .kind = "k", .state = state, .started = started};
  return {.kind = kind, .index = 1, .upstreams = {upstream}};
}
microseconds Estimate(StartTimes& starts, EndpointUpdateKind kind, milliseconds started, microseconds now) {
  EndpointListReport report = List(kind, started);
  starts.Apply(report, now);
  return report.upstreams.front().started;
}

TEST_CASE(
    "given a skewed clock, when a list reports a new start, the estimate lies between the last list and this "
    "one") {
  for (const microseconds step :
       {microseconds(0), microseconds(seconds(1)), microseconds(minutes(1)), microseconds(hours(1))}) {
    for (const microseconds skew : {step, -step}) {
      StartTimes starts;
      const auto before = kNow + seconds(10);
      const auto started = kNow + seconds(11);
      const auto after = kNow + seconds(12);
      Estimate(starts, EndpointUpdateKind::kSnapshot, milliseconds(0), before);
      const milliseconds reported = std::chrono::duration_cast<milliseconds>(started + skew);
      const microseconds estimate = Estimate(starts, EndpointUpdateKind::kChanges, reported, after);
      INFO("skew " << skew.count());
      CHECK(estimate >= before);
      CHECK(estimate <= after);
      if (skew == microseconds(0)) CHECK(estimate == started);
      // A start that is reported again is not a restart.
      CHECK(Estimate(starts, EndpointUpdateKind::kSnapshot, reported, after + minutes(1)) == estimate);
    }
  }
}

TEST_CASE("when the first list arrives, its start times are accepted, except those in the future") {
  StartTimes starts;
  CHECK(Estimate(starts, EndpointUpdateKind::kPersisted, milliseconds(0), kNow) == microseconds(0));
  CHECK(Estimate(starts, EndpointUpdateKind::kSnapshot, kNow - seconds(30), kNow) == kNow - seconds(30));
  StartTimes other_starts;
  CHECK(Estimate(other_starts, EndpointUpdateKind::kSnapshot, kNow + hours(1), kNow) == kNow);
}

TEST_CASE(
    "when a removed upstream is listed again, its estimate stays for the same start and changes for a new "
    "one") {
  const milliseconds stated_at_removal = GENERATE(milliseconds(kNow - seconds(30)), milliseconds(0));
  StartTimes starts;
  const microseconds first = Estimate(starts, EndpointUpdateKind::kSnapshot, kNow - seconds(30), kNow);
  EndpointListReport removal = List(EndpointUpdateKind::kChanges, stated_at_removal, UpstreamState::kRemoved);
  starts.Apply(removal, kNow + seconds(1));
  CHECK(Estimate(starts, EndpointUpdateKind::kChanges, kNow - seconds(30), kNow + seconds(60)) == first);
  // A different start is a restart, even if it looks older.
  CHECK(Estimate(starts, EndpointUpdateKind::kChanges, kNow - hours(1), kNow + seconds(90)) ==
        kNow + seconds(90));
}

TEST_CASE(
    "when a late list reports a start shortly before the previous list, the estimate is that list's time") {
  StartTimes starts;
  Estimate(starts, EndpointUpdateKind::kSnapshot, milliseconds(0), kNow);
  CHECK(Estimate(starts, EndpointUpdateKind::kChanges, kNow - seconds(4), kNow + seconds(1)) == kNow);
}

}  // namespace
}  // namespace postspread::planner
