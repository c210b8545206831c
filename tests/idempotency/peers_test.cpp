// Tests how peers' incarnations, which are numbered by the wall clock at process start, replace each other.
#include "idempotency/peers.h"

#include <catch2/catch.hpp>

namespace postspread::idempotency {
namespace {

constexpr Duration kSecond{1'000'000};
constexpr std::uint64_t kIncarnation = 1'700'000'000'000'000, kHour = 3'600'000'000;

TEST_CASE(
    "a peer that restarts after its clock was stepped back is accepted once its former incarnation has been "
    "silent") {
  Peers peers(0, 3, kIncarnation, Limits{});
  const TimePoint begin = 1'000 * kSecond;
  CHECK(peers.OnDatagram(1, kIncarnation + kHour, begin));
  // The former incarnation was active 1 s ago, and its datagrams may still arrive.
  CHECK_FALSE(peers.OnDatagram(1, kIncarnation, begin + kSecond));
  CHECK_FALSE(peers.HasRestarted(1, kIncarnation + kHour));
  CHECK(peers.OnDatagram(1, kIncarnation + 1, begin + 11 * kSecond));
  CHECK(peers.HasRestarted(1, kIncarnation + kHour));
  CHECK(peers.Incarnation(1) == kIncarnation + 1);
  // The lower incarnation is now the current one, and the next restart increases it.
  CHECK(peers.OnDatagram(1, kIncarnation + 1, begin + 12 * kSecond));
  CHECK(peers.OnDatagram(1, kIncarnation + 2, begin + 12 * kSecond));
}

TEST_CASE(
    "when a former incarnation keeps sending beside its successor, its datagrams are not taken for a "
    "restart") {
  Peers peers(0, 3, kIncarnation, Limits{});
  TimePoint now = 1'000 * kSecond;
  CHECK(peers.OnDatagram(1, kIncarnation, now));
  for (int i = 0; i < 20; ++i) {
    now += kSecond;
    CHECK(peers.OnDatagram(1, kIncarnation + 5, now));
    CHECK_FALSE(peers.OnDatagram(1, kIncarnation, now));
  }
}

}  // namespace
}  // namespace postspread::idempotency
