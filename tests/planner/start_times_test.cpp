// Starts of upstreams, told as wall time, while the wall clock here or there is stepped.
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

EndpointListReport List(EndpointUpdateKind scope, milliseconds started,
                        UpstreamState state = UpstreamState::kReady) {
  const Upstream upstream{.name = "s-1", .zone = "z", .kind = "k", .state = state, .started = started};
  return {.kind = scope, .index = 1, .upstreams = {upstream}};
}
microseconds Told(StartTimes& starts, EndpointUpdateKind scope, milliseconds started, microseconds now) {
  EndpointListReport report = List(scope, started);
  starts.Apply(report, now);
  return report.upstreams.front().started;
}

TEST_CASE("a start that a list tells is no older than the list before it, and no younger than itself") {
  for (const microseconds step :
       {microseconds(0), microseconds(seconds(1)), microseconds(minutes(1)), microseconds(hours(1))}) {
    for (const microseconds off : {step, -step}) {
      StartTimes starts;
      const auto before = kNow + seconds(10), after = kNow + seconds(12), started = kNow + seconds(11);
      Told(starts, EndpointUpdateKind::kSnapshot, milliseconds(0), before);
      const milliseconds told = std::chrono::duration_cast<milliseconds>(started + off);
      const microseconds estimate = Told(starts, EndpointUpdateKind::kChanges, told, after);
      INFO("off by " << off.count());
      CHECK(estimate >= before);
      CHECK(estimate <= after);
      if (off == microseconds(0)) CHECK(estimate == started);
      // Told again it is the same start, and no restart.
      CHECK(Told(starts, EndpointUpdateKind::kSnapshot, told, after + minutes(1)) == estimate);
    }
  }
}

TEST_CASE("the first list is believed, but for starts in the future") {
  StartTimes starts;
  CHECK(Told(starts, EndpointUpdateKind::kPersisted, milliseconds(0), kNow) == microseconds(0));
  CHECK(Told(starts, EndpointUpdateKind::kSnapshot, kNow - seconds(30), kNow) == kNow - seconds(30));
  StartTimes others;
  CHECK(Told(others, EndpointUpdateKind::kSnapshot, kNow + hours(1), kNow) == kNow);
}

TEST_CASE("a next hop that is gone and listed again with the same start has not started again") {
  StartTimes starts;
  const microseconds first = Told(starts, EndpointUpdateKind::kSnapshot, kNow - seconds(30), kNow);
  EndpointListReport gone = List(EndpointUpdateKind::kChanges, kNow - seconds(30), UpstreamState::kRemoved);
  starts.Apply(gone, kNow + seconds(1));
  CHECK(Told(starts, EndpointUpdateKind::kChanges, kNow - seconds(30), kNow + seconds(60)) == first);
  // And with another start it has, even where that looks older.
  CHECK(Told(starts, EndpointUpdateKind::kChanges, kNow - hours(1), kNow + seconds(90)) ==
        kNow + seconds(90));
}

TEST_CASE("a list that comes late tells a start from before the last one") {
  StartTimes starts;
  Told(starts, EndpointUpdateKind::kSnapshot, milliseconds(0), kNow);
  CHECK(Told(starts, EndpointUpdateKind::kChanges, kNow - seconds(4), kNow + seconds(1)) == kNow);
}

}  // namespace
}  // namespace postspread::planner
