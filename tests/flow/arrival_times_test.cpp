// Tests of the arrival times of buffered bytes, in simulated time.
#include "flow/arrival_times.h"

#include <catch2/catch.hpp>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

ArrivalTimes::TimePoint At(int ms) { return ArrivalTimes::TimePoint(milliseconds(ms)); }

TEST_CASE("when more bytes are read after a request, its arrival time is still that of its own last byte") {
  ArrivalTimes times;
  times.Append(30, At(100));
  times.Append(50, At(400));
  CHECK(times.ArrivalOfFirst(30) == At(100));
  CHECK(times.ArrivalOfFirst(31) == At(400));
  times.Consume(40);
  CHECK(times.ArrivalOfFirst(40) == At(400));
  CHECK(times.size() == 40);
  times.Consume(40);
  CHECK(times.size() == 0);
}

TEST_CASE("when more chunks arrive than are stored, bytes count as older than they are, never as younger") {
  ArrivalTimes times;
  for (int i = 0; i < 1'000; ++i) times.Append(1, At(i));
  const int last = static_cast<int>(ArrivalTimes::kMaxChunks) - 1;
  CHECK(times.ArrivalOfFirst(1'000) == At(last));
  times.Consume(1'000);
  times.Append(1, At(2'000));
  CHECK(times.ArrivalOfFirst(1) == At(2'000));
}

TEST_CASE("when a request arrives in very many chunks, its arrival time is that of the last chunk") {
  ArrivalTimes times;
  for (int i = 0; i < 1'000; ++i) times.AppendToRequest(1, At(i));
  CHECK(times.ArrivalOfFirst(1'000) == At(999));
  CHECK(times.size() == 1'000);
}

}  // namespace
}  // namespace postspread::flow
