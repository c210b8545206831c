// Tests how peers' incarnations, which are numbered by the wall clock at process start, replace each other,
// and when a peer is unavailable.
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

// Sends `count` datagrams that expect a reply to the peer of rank 1, all at `now`.
void SendQueries(Peers& peers, int count, TimePoint now) {
  for (int i = 0; i < count; ++i) {
    peers.Queue(1, ClaimRecord{}, Reply::kExpected, now);
    peers.Flush(now, [](int, const std::string&) {});
  }
}

Limits FastPeerLimits() {
  Limits limits;
  limits.datagrams_per_second = 2'000;
  return limits;
}

// A gateway that took a live peer for unavailable started changes that the peer had already executed.
TEST_CASE(
    "when a reply is lost and many queries follow after a pause, the peer has its time to reply to them") {
  const Limits limits = FastPeerLimits();
  Peers peers(0, 2, kIncarnation, limits);
  const TimePoint begin = 1'000 * kSecond, burst = begin + 7 * kSecond;
  CHECK(peers.OnDatagram(1, kIncarnation, begin));
  SendQueries(peers, 1, begin);
  SendQueries(peers, 50, burst);
  CHECK_FALSE(peers.IsUnavailable(1, burst));
  CHECK_FALSE(peers.IsUnavailable(1, burst + limits.peer_silent - Duration(1)));
  CHECK(peers.IsUnavailable(1, burst + limits.peer_silent));
  // A further pause does not make it available again, a datagram does.
  SendQueries(peers, 1, burst + 60 * kSecond);
  CHECK(peers.IsUnavailable(1, burst + 60 * kSecond));
  CHECK(peers.OnDatagram(1, kIncarnation, burst + 60 * kSecond));
  CHECK_FALSE(peers.IsUnavailable(1, burst + 60 * kSecond));
}

TEST_CASE("a peer that is queried continuously and does not reply is unavailable after peer_silent") {
  constexpr Duration kQueryInterval{100'000};
  const Limits limits = FastPeerLimits();
  Peers peers(0, 2, kIncarnation, limits);
  const TimePoint begin = 1'000 * kSecond;
  for (TimePoint now = begin; now < begin + limits.peer_silent; now += kQueryInterval) {
    SendQueries(peers, 1, now);
    CHECK_FALSE(peers.IsUnavailable(1, now));
  }
  CHECK(peers.IsUnavailable(1, begin + limits.peer_silent));
}

TEST_CASE("the last of the queries that make a peer unavailable has its time to be answered as well") {
  constexpr Duration kQueryInterval{180'000}, kRetryInterval{50'000};
  const Limits limits = FastPeerLimits();
  Peers peers(0, 2, kIncarnation, limits);
  TimePoint now = 1'000 * kSecond;
  for (int i = 0; i < 9; ++i) SendQueries(peers, 1, now += kQueryInterval);
  SendQueries(peers, 3, now += kQueryInterval);
  CHECK_FALSE(peers.IsUnavailable(1, now));
  CHECK(peers.IsUnavailable(1, now + kRetryInterval));
}

}  // namespace
}  // namespace postspread::idempotency
