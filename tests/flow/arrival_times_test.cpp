// When buffered bytes arrived, in modelled time.
#include "flow/arrival_times.h"

#include <catch2/catch.hpp>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

ArrivalTimes::TimePoint At(int ms) { return ArrivalTimes::TimePoint(milliseconds(ms)); }

TEST_CASE("a request arrived with its last byte, whatever is read after it") {
  ArrivalTimes times;
  times.Appended(30, At(100));
  times.Appended(50, At(400));
  CHECK(times.Of(30) == At(100));
  CHECK(times.Of(31) == At(400));
  times.Consumed(40);
  CHECK(times.Of(40) == At(400));
  CHECK(times.size() == 40);
  times.Consumed(40);
  CHECK(times.size() == 0);
}

TEST_CASE("beyond the maximum of chunks bytes count as older than they are, never as younger") {
  ArrivalTimes times;
  for (int i = 0; i < 1'000; ++i) times.Appended(1, At(i));
  const int last = static_cast<int>(ArrivalTimes::kMaxChunks) - 1;
  CHECK(times.Of(1'000) == At(last));
  times.Consumed(1'000);
  times.Appended(1, At(2'000));
  CHECK(times.Of(1) == At(2'000));
}

TEST_CASE("a request that arrives in very many chunks arrived with the last one") {
  ArrivalTimes times;
  for (int i = 0; i < 1'000; ++i) times.Continued(1, At(i));
  CHECK(times.Of(1'000) == At(999));
  CHECK(times.size() == 1'000);
}

}  // namespace
}  // namespace postspread::flow
