// Starts of upstreams, reported as wall time, while the wall clock here or there is stepped.
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

TEST_CASE("a start is no older than the list before the one that reports it, and no younger than that one") {
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
      // Reported again it is the same start, not a restart.
      CHECK(Estimate(starts, EndpointUpdateKind::kSnapshot, reported, after + minutes(1)) == estimate);
    }
  }
}

TEST_CASE("the first list is trusted, except for starts in the future") {
  StartTimes starts;
  CHECK(Estimate(starts, EndpointUpdateKind::kPersisted, milliseconds(0), kNow) == microseconds(0));
  CHECK(Estimate(starts, EndpointUpdateKind::kSnapshot, kNow - seconds(30), kNow) == kNow - seconds(30));
  StartTimes others;
  CHECK(Estimate(others, EndpointUpdateKind::kSnapshot, kNow + hours(1), kNow) == kNow);
}

TEST_CASE("an upstream that is removed and listed again with the same start has not restarted") {
  StartTimes starts;
  const microseconds first = Estimate(starts, EndpointUpdateKind::kSnapshot, kNow - seconds(30), kNow);
  EndpointListReport removal =
      List(EndpointUpdateKind::kChanges, kNow - seconds(30), UpstreamState::kRemoved);
  starts.Apply(removal, kNow + seconds(1));
  CHECK(Estimate(starts, EndpointUpdateKind::kChanges, kNow - seconds(30), kNow + seconds(60)) == first);
  // And with another start it has, even where that looks older.
  CHECK(Estimate(starts, EndpointUpdateKind::kChanges, kNow - hours(1), kNow + seconds(90)) ==
        kNow + seconds(90));
}

TEST_CASE("a late list may report a start from before the list before it") {
  StartTimes starts;
  Estimate(starts, EndpointUpdateKind::kSnapshot, milliseconds(0), kNow);
  CHECK(Estimate(starts, EndpointUpdateKind::kChanges, kNow - seconds(4), kNow + seconds(1)) == kNow);
}

}  // namespace
}  // namespace postspread::planner
