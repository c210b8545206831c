// Tests the replicas of several gateways together in virtual time, one failure scenario per test.
#include "cluster.h"

#include <catch2/catch.hpp>
#include <set>

namespace postspread::idempotency::testing {
namespace {

Limits FastPeerLimits() {
  Limits out;
  out.datagrams_per_second = 2'000;
  return out;
}

TEST_CASE(
    "twenty concurrent repeats of a key on three gateways are executed once and all receive the same "
    "response") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(3, FastPeerLimits(), seed, {.loss = 0.2, .duplication = 0.1});
    std::vector<WaiterId> all;
    all.reserve(20);
    for (int i = 0; i < 20; ++i) all.push_back(cluster.Send(i % 3, "k"));
    cluster.RunFor(seconds(8));
    CHECK(cluster.Executions("k") == 1);
    for (const WaiterId waiter : all) {
      REQUIRE(cluster.ResponseTo(waiter));
      CHECK(cluster.ResponseTo(waiter)->kind == ResponseKind::kCompleted);
    }
    CHECK(cluster.history().conflicting_responses() == 0);
    CHECK(cluster.history().not_answered_once() == 0);
    // Repeats join the attempt or fetch its response; no second attempt is sent.
    CHECK(cluster.accepted_attempts() == 1);
  }
}

TEST_CASE(
    "repeats through the last of a hundred gateways are executed once, and a holder that the membership view "
    "calls unavailable is not queried") {
  Cluster cluster(100, FastPeerLimits(), 3);
  std::vector<WaiterId> all;
  all.reserve(12);
  for (int i = 0; i < 12; ++i) all.push_back(cluster.Send(88 + i, "k"));
  cluster.RunFor(seconds(8));
  CHECK(cluster.accepted_attempts() == 1);
  for (const WaiterId waiter : all) CHECK(cluster.ResponseTo(waiter)->kind == ResponseKind::kCompleted);

  // A replica has recorded that gateway 95 holds the key. Gateway 95 crashes, and the membership view reports
  // that before the peers can infer it from silence.
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = seconds(1)};
  };
  cluster.Send(95, "held");
  cluster.RunFor(milliseconds(200));
  cluster.Kill(95);
  std::vector<Peers::ViewedPeer> view(100);
  view[95].unavailable = true;
  for (int i = 0; i < 100; ++i) {
    if (cluster.alive(i)) cluster.replica(i).SetView(view);
  }
  const WaiterId again = cluster.Send(96, "held");
  cluster.RunFor(milliseconds(1'400));  // peer_silent is 1.5 s, so that silence cannot be the cause
  CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kCompleted);
  CHECK(cluster.Executions("held") == 1);
}

TEST_CASE(
    "after an attempt that may have run, repeats go to its upstream group within the window and nowhere "
    "later") {
  Cluster cluster(3, FastPeerLimits(), 7);
  std::set<std::int64_t> groups;
  bool responds = false;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t group) {
    groups.insert(group);
    return UpstreamBehavior{.responds = responds};
  };
  const WaiterId first = cluster.Send(0, "k", seconds(1));
  cluster.RunFor(seconds(2));
  CHECK(cluster.ResponseTo(first)->kind == ResponseKind::kUnknownOutcome);
  SECTION("at 14.9 s, a repeat through another gateway receives the group's response") {
    responds = true;
    cluster.RunFor(milliseconds(12'900));
    const WaiterId again = cluster.Send(1, "k");
    cluster.RunFor(seconds(3));
    CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kCompleted);
  }
  SECTION("at 15.1 s, a repeat is not forwarded and fails") {
    responds = true;
    cluster.RunFor(milliseconds(13'100));
    for (int rank = 0; rank < 3; ++rank) {
      const WaiterId again = cluster.Send(rank, "k");
      cluster.RunFor(seconds(1));
      CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kUnknownOutcome);
    }
  }
  SECTION("after the key has expired, a repeat is a new request") {
    responds = true;
    cluster.RunFor(seconds(60));
    const WaiterId again = cluster.Send(1, "k");
    cluster.RunFor(seconds(3));
    CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kCompleted);
    CHECK(cluster.Executions("k") == 2);
    return;
  }
  CHECK(cluster.Executions("k") == 1);
  CHECK(groups.size() == 1);
}

TEST_CASE(
    "when a key's holder crashes, repeats that wait on other gateways still complete with one execution") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(3, FastPeerLimits(), seed, {.loss = 0.2});
    cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
      return UpstreamBehavior{.service_time = seconds(1)};
    };
    cluster.Send(0, "k");
    cluster.RunFor(milliseconds(500));
    const WaiterId second = cluster.Send(1, "k"), third = cluster.Send(2, "k");
    cluster.RunFor(milliseconds(100));
    cluster.Kill(0);
    cluster.RunFor(milliseconds(500));
    cluster.Start(0);
    cluster.RunFor(seconds(1));
    // Gateway 0 has lost its earlier incarnation's record of the key.
    const WaiterId after_restart = cluster.Send(0, "k");
    cluster.RunFor(seconds(8));
    CHECK(cluster.Executions("k") == 1);
    for (const WaiterId waiter : {second, third, after_restart}) {
      CHECK(cluster.ResponseTo(waiter)->kind == ResponseKind::kCompleted);
    }
    CHECK(cluster.history().conflicting_responses() == 0);
  }
}

TEST_CASE("when a key's holder restarts and has lost its record, waiters on its peers resume at once") {
  Cluster cluster(2, FastPeerLimits(), 3);
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = milliseconds(500)};
  };
  cluster.Send(0, "k");
  cluster.RunFor(milliseconds(300));
  const WaiterId second = cluster.Send(1, "k", seconds(4));
  cluster.RunFor(milliseconds(50));
  cluster.Kill(0);
  cluster.RunFor(milliseconds(50));
  cluster.Start(0);
  cluster.RunFor(seconds(2));
  REQUIRE(cluster.ResponseTo(second));
  CHECK(cluster.ResponseTo(second)->kind == ResponseKind::kCompleted);
  CHECK(cluster.Executions("k") == 1);
}

TEST_CASE(
    "after a gateway crash, no gateway executes its key again once the deduplication window has passed") {
  Cluster cluster(3, FastPeerLimits(), 3);
  cluster.Send(0, "k");
  cluster.RunFor(seconds(2));
  cluster.Kill(0);
  cluster.RunFor(seconds(1));
  cluster.Start(0);
  cluster.RunFor(seconds(20));
  for (int rank = 0; rank < 3; ++rank) {
    const WaiterId again = cluster.Send(rank, "k");
    cluster.RunFor(seconds(2));
    CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kUnknownOutcome);
  }
  CHECK(cluster.Executions("k") == 1);
}

TEST_CASE(
    "a key reused for another request gets a mismatch on every gateway, never the first request's response") {
  Cluster cluster(3, FastPeerLimits(), 5);
  const WaiterId first = cluster.Send(0, "k");
  const WaiterId other_running = cluster.Send(0, "k", seconds(8), "other");
  cluster.RunFor(seconds(2));
  std::vector<WaiterId> others{other_running};
  for (int rank = 0; rank < 3; ++rank) others.push_back(cluster.Send(rank, "k", seconds(8), "other"));
  cluster.RunFor(seconds(2));
  CHECK(cluster.ResponseTo(first)->kind == ResponseKind::kCompleted);
  for (const WaiterId other : others)
    CHECK(cluster.ResponseTo(other)->kind == ResponseKind::kFingerprintMismatch);
}

TEST_CASE("answers of up to 64 KiB reach repeats through other gateways unchanged") {
  for (const std::size_t size : {std::size_t{1}, std::size_t{208}, std::size_t{209}, std::size_t{65'600}}) {
    Cluster cluster(3, FastPeerLimits(), size, {.loss = 0.2, .duplication = 0.2});
    cluster.min_value_bytes = size;
    const WaiterId first = cluster.Send(0, "k");
    cluster.RunFor(seconds(1));
    const WaiterId second = cluster.Send(1, "k"), third = cluster.Send(2, "k");
    cluster.RunFor(seconds(8));
    CHECK(cluster.ResponseTo(first)->value == cluster.ResponseTo(second)->value);
    CHECK(cluster.ResponseTo(first)->value == cluster.ResponseTo(third)->value);
    CHECK(cluster.ResponseTo(first)->value.size() >= size);
    CHECK(cluster.replica(1).used() <= cluster.replica(1).bound());
    CHECK(cluster.Executions("k") == 1);
  }
}

TEST_CASE("a repeat with a shorter deadline fails at its own deadline while the attempt continues") {
  Cluster cluster(1, FastPeerLimits(), 1);
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = seconds(2)};
  };
  const WaiterId first = cluster.Send(0, "k", seconds(8));
  const WaiterId early_deadline = cluster.Send(0, "k", milliseconds(200));
  cluster.RunFor(seconds(1));
  CHECK(cluster.ResponseTo(early_deadline)->kind == ResponseKind::kUnknownOutcome);
  CHECK(cluster.ResponseTo(early_deadline)->at <= cluster.ResponseTo(early_deadline)->deadline);
  CHECK_FALSE(cluster.ResponseTo(first));
  cluster.RunFor(seconds(2));
  CHECK(cluster.ResponseTo(first)->kind == ResponseKind::kCompleted);
}

TEST_CASE("when the first client disconnects, the attempt that others wait for continues") {
  Cluster cluster(1, FastPeerLimits(), 1);
  const WaiterId first = cluster.Send(0, "k"), second = cluster.Send(0, "k");
  cluster.Disconnect(0, first);
  CHECK_FALSE(cluster.ResponseTo(first));  // its attempt still runs for the second client
  cluster.RunFor(seconds(1));
  CHECK(cluster.ResponseTo(first)->kind == ResponseKind::kNone);
  CHECK(cluster.ResponseTo(second)->kind == ResponseKind::kCompleted);
  CHECK(cluster.accepted_attempts() == 1);
}

TEST_CASE(
    "when the first waiter's deadline passes, the request is resumed for a waiter with a later deadline") {
  Cluster cluster(1, FastPeerLimits(), 1);
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = seconds(3)};
  };
  const WaiterId first = cluster.Send(0, "k", seconds(1));
  cluster.RunFor(milliseconds(500));
  const WaiterId second = cluster.Send(0, "k", seconds(6));
  cluster.RunFor(seconds(5));
  CHECK(cluster.ResponseTo(first)->kind == ResponseKind::kUnknownOutcome);
  CHECK(cluster.ResponseTo(second)->kind == ResponseKind::kCompleted);
  CHECK(cluster.Executions("k") == 1);
}

TEST_CASE(
    "when an upstream rejects before execution, every waiter is rejected and the key counts as new again") {
  Cluster cluster(3, FastPeerLimits(), 1);
  bool executes = false;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.executes = executes};
  };
  const WaiterId first = cluster.Send(0, "k"), second = cluster.Send(0, "k");
  cluster.RunFor(seconds(1));
  CHECK(cluster.ResponseTo(first)->kind == ResponseKind::kRejected);
  CHECK(cluster.ResponseTo(second)->kind == ResponseKind::kRejected);
  CHECK(cluster.replica(0).size() == 0);
  executes = true;
  const WaiterId again = cluster.Send(1, "k");
  cluster.RunFor(seconds(1));
  CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kCompleted);
}

TEST_CASE(
    "with a full store one customer leaves capacity to others, running and unknown keys stay, the bound "
    "holds") {
  Limits limits = FastPeerLimits();
  limits.memory = 128 << 10;
  limits.customer_quota = 0.5;
  Cluster cluster(1, limits, 1);
  cluster.min_value_bytes = 3'000;
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) { return UpstreamBehavior{.responds = false}; };
  std::vector<WaiterId> unknown;
  unknown.reserve(10);
  for (int i = 0; i < 10; ++i) unknown.push_back(cluster.Send(0, "u" + std::to_string(i), seconds(1)));
  cluster.RunFor(seconds(2));
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) { return UpstreamBehavior{}; };
  std::vector<WaiterId> heavy, light;
  for (int i = 0; i < 1'000; ++i) {
    heavy.push_back(cluster.Send(0, "g" + std::to_string(i), seconds(8), "b", "heavy"));
    CHECK(cluster.replica(0).used() <= cluster.replica(0).bound());
    if (i % 50 == 0) light.push_back(cluster.Send(0, "m" + std::to_string(i), seconds(8), "b", "light"));
    cluster.RunFor(milliseconds(2));
  }
  cluster.RunFor(seconds(3));
  CHECK(cluster.replica(0).peak() <= cluster.replica(0).bound());
  for (const WaiterId waiter : light) CHECK(cluster.ResponseTo(waiter)->kind == ResponseKind::kCompleted);
  int rejected = 0;
  for (const WaiterId waiter : heavy) rejected += cluster.ResponseTo(waiter)->kind == ResponseKind::kRejected;
  CHECK(rejected > 500);
  CHECK(cluster.replica(0).counts().full_rejected == static_cast<std::uint64_t>(rejected));
  // Keys with an unknown outcome are never evicted, so a repeat is not treated as a new request.
  cluster.RunFor(seconds(15));
  for (int i = 0; i < 10; ++i) {
    const WaiterId again = cluster.Send(0, "u" + std::to_string(i));
    CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kUnknownOutcome);
  }
  CHECK(cluster.history().executed_twice() == 0);
}

TEST_CASE("with a full store and when_full = pass, a new key is started without deduplication and counted") {
  Limits limits = FastPeerLimits();
  limits.memory = 64 << 10;
  limits.when_full = WhenFull::kStartUnprotected;
  Cluster cluster(1, limits, 1);
  for (int i = 0; i < 500; ++i) cluster.Send(0, "k" + std::to_string(i));
  cluster.RunFor(seconds(2));
  CHECK(cluster.history().CountResponses(ResponseKind::kRejected) == 0);
  CHECK(cluster.replica(0).counts().full_unprotected > 100);
}

TEST_CASE("when a group drains while an outcome is unknown, a repeat goes to no other group and fails") {
  Cluster cluster(3, FastPeerLimits(), 11);
  std::int64_t home = 0;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t group) {
    // Upstreams of a drained group do not accept the repeat, which fails at its deadline because the first
    // attempt may have run.
    if (home == group) return UpstreamBehavior{.service_time = seconds(20), .responds = false};
    home = group;
    return UpstreamBehavior{.responds = false};
  };
  cluster.Send(0, "k", seconds(1));
  cluster.RunFor(seconds(2));
  std::erase_if(cluster.groups, [&](const UpstreamGroup& group) { return group.id == home; });
  const WaiterId again = cluster.Send(1, "k", seconds(2));
  cluster.RunFor(seconds(3));
  CHECK(cluster.ResponseTo(again)->kind == ResponseKind::kUnknownOutcome);
  CHECK(cluster.Executions("k") == 1);
  for (const UpstreamGroup& group : cluster.groups) CHECK(cluster.accepted_attempts_of(group.id) == 0);
}

TEST_CASE(
    "when no peer can confirm that a key is new, it is sent to its group or rejected as when_unconfirmed "
    "says") {
  for (const bool rejects : {false, true}) {
    Limits limits = FastPeerLimits();
    limits.when_unconfirmed = rejects ? WhenUnconfirmed::kReject : WhenUnconfirmed::kStartSticky;
    Cluster cluster(2, limits, 1);
    cluster.Kill(1);
    const WaiterId first = cluster.Send(0, "k");
    cluster.RunFor(seconds(5));
    CHECK(cluster.ResponseTo(first)->kind == (rejects ? ResponseKind::kRejected : ResponseKind::kCompleted));
    cluster.RunFor(seconds(60));  // now the gateway has been up for longer than a key's lifetime
    const WaiterId later = cluster.Send(0, "k2");
    cluster.RunFor(seconds(5));
    CHECK(cluster.ResponseTo(later)->kind == ResponseKind::kCompleted);
  }
}

// Guards against a change that is executed in a second group, because a gateway took its live peers for
// unavailable and claimed the key alone.
TEST_CASE("when replies are lost before a pause and groups change, many repeats at once are executed once") {
  constexpr int kKeys = 200;
  Cluster cluster(3, FastPeerLimits(), 5);
  for (int i = 0; i < kKeys; ++i) cluster.Send(0, "k" + std::to_string(i));
  cluster.RunFor(seconds(1));
  // Gateway 1 queries its peers about a few keys and receives no reply.
  cluster.is_partitioned = [](int, int to) { return to == 1; };
  for (int i = 0; i < 8; ++i) cluster.Send(1, "lost" + std::to_string(i), milliseconds(20));
  cluster.RunFor(milliseconds(100));
  cluster.is_partitioned = [](int, int) { return false; };
  cluster.RunFor(seconds(5));
  cluster.groups = {{1, 1}, {2, 3}, {3, 3}};
  for (int i = 0; i < kKeys; ++i) cluster.Send(1, "k" + std::to_string(i));
  cluster.RunFor(seconds(8));
  CHECK(cluster.history().executed_twice() == 0);
  CHECK(cluster.history().conflicting_responses() == 0);
  CHECK(cluster.history().CountResponses(ResponseKind::kCompleted) == 2 * kKeys);
}

}  // namespace
}  // namespace postspread::idempotency::testing
