// Lives of peers, which are numbered by their wall clock at their start.
#include "idempotency/peers.h"

#include <catch2/catch.hpp>

namespace postspread::idempotency {
namespace {

constexpr Duration kSecond{1'000'000};
constexpr std::uint64_t kLife = 1'700'000'000'000'000, kHour = 3'600'000'000;

TEST_CASE(
    "a peer that starts again on a clock that was stepped back is heard once its former life is silent") {
  Peers peers(0, 3, kLife, Limits{});
  const TimePoint begin = 1'000 * kSecond;
  CHECK(peers.Heard(1, kLife + kHour, begin));
  // What the former life sent may still be under way.
  CHECK_FALSE(peers.Heard(1, kLife, begin + kSecond));
  CHECK_FALSE(peers.Restarted(1, kLife + kHour));
  CHECK(peers.Heard(1, kLife + 1, begin + 11 * kSecond));
  CHECK(peers.Restarted(1, kLife + kHour));
  CHECK(peers.Incarnation(1) == kLife + 1);
  // From then on that is its life, and a further start is a higher one.
  CHECK(peers.Heard(1, kLife + 1, begin + 12 * kSecond));
  CHECK(peers.Heard(1, kLife + 2, begin + 12 * kSecond));
}

TEST_CASE("a former life that goes on sending beside its successor is not taken for a new start") {
  Peers peers(0, 3, kLife, Limits{});
  TimePoint now = 1'000 * kSecond;
  CHECK(peers.Heard(1, kLife, now));
  for (int i = 0; i < 20; ++i) {
    now += kSecond;
    CHECK(peers.Heard(1, kLife + 5, now));
    CHECK_FALSE(peers.Heard(1, kLife, now));
  }
}

}  // namespace
}  // namespace postspread::idempotency
