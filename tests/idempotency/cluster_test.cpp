// The replicas of several gateways together, in virtual time: each hard case by itself.
#include "cluster.h"

#include <catch2/catch.hpp>
#include <set>

namespace postspread::idempotency::testing {
namespace {

Limits FastPeers() {
  Limits out;
  out.datagrams_per_second = 2'000;
  return out;
}

TEST_CASE("twenty concurrent repeats on three gateways are executed once and get one answer") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(3, FastPeers(), seed, {.loss = 0.2, .duplication = 0.1});
    std::vector<WaiterId> all;
    all.reserve(20);
    for (int i = 0; i < 20; ++i) all.push_back(cluster.Send(i % 3, "k"));
    cluster.Run(seconds(8));
    CHECK(cluster.Executions("k") == 1);
    for (const WaiterId waiter : all) {
      REQUIRE(cluster.ReplyTo(waiter));
      CHECK(cluster.ReplyTo(waiter)->kind == ReplyKind::kCompleted);
    }
    CHECK(cluster.history().conflicting_replies() == 0);
    CHECK(cluster.history().wrongly_replied() == 0);
    // Whether joined or fetched, one attempt in all.
    CHECK(cluster.sent() == 1);
  }
}

TEST_CASE(
    "repeats through the last of a hundred gateways are executed once, and a holder unavailable by the view "
    "is not "
    "queried") {
  Cluster cluster(100, FastPeers(), 3);
  std::vector<WaiterId> all;
  all.reserve(12);
  for (int i = 0; i < 12; ++i) all.push_back(cluster.Send(88 + i, "k"));
  cluster.Run(seconds(8));
  CHECK(cluster.sent() == 1);
  for (const WaiterId waiter : all) CHECK(cluster.ReplyTo(waiter)->kind == ReplyKind::kCompleted);

  // Its replica knows that 95 holds the key; 95 is killed, and the view says so before silence could.
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = seconds(1)};
  };
  cluster.Send(95, "held");
  cluster.Run(milliseconds(200));
  cluster.Kill(95);
  std::vector<Peers::Seen> view(100);
  view[95].unavailable = true;
  for (int i = 0; i < 100; ++i) {
    if (cluster.alive(i)) cluster.replica(i).SetView(view);
  }
  const WaiterId again = cluster.Send(96, "held");
  cluster.Run(milliseconds(1'400));  // silence alone would show after 1.5 s
  CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kCompleted);
  CHECK(cluster.Executions("held") == 1);
}

TEST_CASE("an attempt that may have run: repeats go to its group within the window, and nowhere after it") {
  Cluster cluster(3, FastPeers(), 7);
  std::set<std::int64_t> groups;
  bool answers = false;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t group) {
    groups.insert(group);
    return UpstreamBehavior{.replies = answers};
  };
  const WaiterId first = cluster.Send(0, "k", seconds(1));
  cluster.Run(seconds(2));
  CHECK(cluster.ReplyTo(first)->kind == ReplyKind::kUnknownOutcome);
  SECTION("at 14.9 s through another gateway the group gives the answer") {
    answers = true;
    cluster.Run(milliseconds(12'900));
    const WaiterId again = cluster.Send(1, "k");
    cluster.Run(seconds(3));
    CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kCompleted);
  }
  SECTION("at 15.1 s nothing is sent and the request fails") {
    answers = true;
    cluster.Run(milliseconds(13'100));
    for (int rank = 0; rank < 3; ++rank) {
      const WaiterId again = cluster.Send(rank, "k");
      cluster.Run(seconds(1));
      CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kUnknownOutcome);
    }
  }
  SECTION("after the key has expired it is a new request") {
    answers = true;
    cluster.Run(seconds(60));
    const WaiterId again = cluster.Send(1, "k");
    cluster.Run(seconds(3));
    CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kCompleted);
    CHECK(cluster.Executions("k") == 2);
    return;
  }
  CHECK(cluster.Executions("k") == 1);
  CHECK(groups.size() == 1);
}

TEST_CASE("the holder crashes while repeats wait on other gateways") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(3, FastPeers(), seed, {.loss = 0.2});
    cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
      return UpstreamBehavior{.service_time = seconds(1)};
    };
    cluster.Send(0, "k");
    cluster.Run(milliseconds(500));
    const WaiterId second = cluster.Send(1, "k"), third = cluster.Send(2, "k");
    cluster.Run(milliseconds(100));
    cluster.Kill(0);
    cluster.Run(milliseconds(500));
    cluster.Start(0);
    cluster.Run(seconds(1));
    const WaiterId back = cluster.Send(0, "k");  // it knows nothing of its earlier incarnation
    cluster.Run(seconds(8));
    CHECK(cluster.Executions("k") == 1);
    for (const WaiterId waiter : {second, third, back}) {
      CHECK(cluster.ReplyTo(waiter)->kind == ReplyKind::kCompleted);
    }
    CHECK(cluster.history().conflicting_replies() == 0);
  }
}

TEST_CASE("a holder that restarted has forgotten the key: waiters on its peers resume at once") {
  Cluster cluster(2, FastPeers(), 3);
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = milliseconds(500)};
  };
  cluster.Send(0, "k");
  cluster.Run(milliseconds(300));
  const WaiterId second = cluster.Send(1, "k", seconds(4));
  cluster.Run(milliseconds(50));
  cluster.Kill(0);
  cluster.Run(milliseconds(50));
  cluster.Start(0);
  cluster.Run(seconds(2));
  REQUIRE(cluster.ReplyTo(second));
  CHECK(cluster.ReplyTo(second)->kind == ReplyKind::kCompleted);
  CHECK(cluster.Executions("k") == 1);
}

TEST_CASE("a key that a crashed gateway ran is not run again after the window, on any gateway") {
  Cluster cluster(3, FastPeers(), 3);
  cluster.Send(0, "k");
  cluster.Run(seconds(2));
  cluster.Kill(0);
  cluster.Run(seconds(1));
  cluster.Start(0);
  cluster.Run(seconds(20));
  for (int rank = 0; rank < 3; ++rank) {
    const WaiterId again = cluster.Send(rank, "k");
    cluster.Run(seconds(2));
    CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kUnknownOutcome);
  }
  CHECK(cluster.Executions("k") == 1);
}

TEST_CASE("a key reused for another request is a mismatch on every gateway, never the other's answer") {
  Cluster cluster(3, FastPeers(), 5);
  const WaiterId first = cluster.Send(0, "k");
  const WaiterId other_running = cluster.Send(0, "k", seconds(8), "other");
  cluster.Run(seconds(2));
  std::vector<WaiterId> others{other_running};
  for (int rank = 0; rank < 3; ++rank) others.push_back(cluster.Send(rank, "k", seconds(8), "other"));
  cluster.Run(seconds(2));
  CHECK(cluster.ReplyTo(first)->kind == ReplyKind::kCompleted);
  for (const WaiterId other : others) CHECK(cluster.ReplyTo(other)->kind == ReplyKind::kFingerprintMismatch);
}

TEST_CASE("answers of up to 64 KiB are the same through another gateway") {
  for (const std::size_t size : {std::size_t{1}, std::size_t{208}, std::size_t{209}, std::size_t{65'600}}) {
    Cluster cluster(3, FastPeers(), size, {.loss = 0.2, .duplication = 0.2});
    cluster.value_size = size;
    const WaiterId first = cluster.Send(0, "k");
    cluster.Run(seconds(1));
    const WaiterId second = cluster.Send(1, "k"), third = cluster.Send(2, "k");
    cluster.Run(seconds(8));
    CHECK(cluster.ReplyTo(first)->value == cluster.ReplyTo(second)->value);
    CHECK(cluster.ReplyTo(first)->value == cluster.ReplyTo(third)->value);
    CHECK(cluster.ReplyTo(first)->value.size() >= size);
    CHECK(cluster.replica(1).used() <= cluster.replica(1).bound());
    CHECK(cluster.Executions("k") == 1);
  }
}

TEST_CASE("a repeat with a shorter deadline fails at its own, and the work goes on") {
  Cluster cluster(1, FastPeers(), 1);
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = seconds(2)};
  };
  const WaiterId first = cluster.Send(0, "k", seconds(8));
  const WaiterId hasty = cluster.Send(0, "k", milliseconds(200));
  cluster.Run(seconds(1));
  CHECK(cluster.ReplyTo(hasty)->kind == ReplyKind::kUnknownOutcome);
  CHECK(cluster.ReplyTo(hasty)->at <= cluster.ReplyTo(hasty)->deadline);
  CHECK_FALSE(cluster.ReplyTo(first));
  cluster.Run(seconds(2));
  CHECK(cluster.ReplyTo(first)->kind == ReplyKind::kCompleted);
}

TEST_CASE("the first client's disconnect does not end the work that others wait for") {
  Cluster cluster(1, FastPeers(), 1);
  const WaiterId first = cluster.Send(0, "k"), second = cluster.Send(0, "k");
  cluster.Disconnect(0, first);
  CHECK_FALSE(cluster.ReplyTo(first));  // its request runs and is still needed
  cluster.Run(seconds(1));
  CHECK(cluster.ReplyTo(first)->kind == ReplyKind::kNone);
  CHECK(cluster.ReplyTo(second)->kind == ReplyKind::kCompleted);
  CHECK(cluster.sent() == 1);
}

TEST_CASE("when the first deadline passes, the work is resumed for a waiter with a later one") {
  Cluster cluster(1, FastPeers(), 1);
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) {
    return UpstreamBehavior{.service_time = seconds(3)};
  };
  const WaiterId first = cluster.Send(0, "k", seconds(1));
  cluster.Run(milliseconds(500));
  const WaiterId second = cluster.Send(0, "k", seconds(6));
  cluster.Run(seconds(5));
  CHECK(cluster.ReplyTo(first)->kind == ReplyKind::kUnknownOutcome);
  CHECK(cluster.ReplyTo(second)->kind == ReplyKind::kCompleted);
  CHECK(cluster.Executions("k") == 1);
}

TEST_CASE("a rejection before execution reaches every waiter, and the key is new again") {
  Cluster cluster(3, FastPeers(), 1);
  bool runs = false;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t) { return UpstreamBehavior{.executes = runs}; };
  const WaiterId first = cluster.Send(0, "k"), second = cluster.Send(0, "k");
  cluster.Run(seconds(1));
  CHECK(cluster.ReplyTo(first)->kind == ReplyKind::kRejected);
  CHECK(cluster.ReplyTo(second)->kind == ReplyKind::kRejected);
  CHECK(cluster.replica(0).size() == 0);
  runs = true;
  const WaiterId again = cluster.Send(1, "k");
  cluster.Run(seconds(1));
  CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kCompleted);
}

TEST_CASE("full: a greedy customer leaves room to others, running and unknown keys stay, the bound holds") {
  Limits limits = FastPeers();
  limits.memory = 128 << 10;
  limits.customer_quota = 0.5;
  Cluster cluster(1, limits, 1);
  cluster.value_size = 3'000;
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) { return UpstreamBehavior{.replies = false}; };
  std::vector<WaiterId> unknown;
  unknown.reserve(10);
  for (int i = 0; i < 10; ++i) unknown.push_back(cluster.Send(0, "u" + std::to_string(i), seconds(1)));
  cluster.Run(seconds(2));
  cluster.upstream_behavior = [](const KeyId&, std::int64_t) { return UpstreamBehavior{}; };
  std::vector<WaiterId> greedy, modest;
  for (int i = 0; i < 1'000; ++i) {
    greedy.push_back(cluster.Send(0, "g" + std::to_string(i), seconds(8), "b", "greedy"));
    CHECK(cluster.replica(0).used() <= cluster.replica(0).bound());
    if (i % 50 == 0) modest.push_back(cluster.Send(0, "m" + std::to_string(i), seconds(8), "b", "modest"));
    cluster.Run(milliseconds(2));
  }
  cluster.Run(seconds(3));
  CHECK(cluster.replica(0).peak() <= cluster.replica(0).bound());
  for (const WaiterId waiter : modest) CHECK(cluster.ReplyTo(waiter)->kind == ReplyKind::kCompleted);
  int rejected = 0;
  for (const WaiterId waiter : greedy) rejected += cluster.ReplyTo(waiter)->kind == ReplyKind::kRejected;
  CHECK(rejected > 500);
  CHECK(cluster.replica(0).counts().full_rejected == static_cast<std::uint64_t>(rejected));
  // No key with an unknown outcome was evicted: a repeat is not taken for a new request.
  cluster.Run(seconds(15));
  for (int i = 0; i < 10; ++i) {
    const WaiterId again = cluster.Send(0, "u" + std::to_string(i));
    CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kUnknownOutcome);
  }
  CHECK(cluster.history().executed_twice() == 0);
}

TEST_CASE("full with when_full = pass: a new key is started unprotected and counted") {
  Limits limits = FastPeers();
  limits.memory = 64 << 10;
  limits.when_full = WhenFull::kStartUnprotected;
  Cluster cluster(1, limits, 1);
  for (int i = 0; i < 500; ++i) cluster.Send(0, "k" + std::to_string(i));
  cluster.Run(seconds(2));
  CHECK(cluster.history().CountReplies(ReplyKind::kRejected) == 0);
  CHECK(cluster.replica(0).counts().full_unprotected > 100);
}

TEST_CASE("a group that drains while an outcome is unknown: nothing goes elsewhere, and the request fails") {
  Cluster cluster(3, FastPeers(), 11);
  std::int64_t home = 0;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t group) {
    // No upstream of a drained group accepts the request, which fails at its deadline: it may have run
    // before.
    if (home == group) return UpstreamBehavior{.service_time = seconds(20), .replies = false};
    home = group;
    return UpstreamBehavior{.replies = false};
  };
  cluster.Send(0, "k", seconds(1));
  cluster.Run(seconds(2));
  std::erase_if(cluster.groups, [&](const UpstreamGroup& group) { return group.id == home; });
  const WaiterId again = cluster.Send(1, "k", seconds(2));
  cluster.Run(seconds(3));
  CHECK(cluster.ReplyTo(again)->kind == ReplyKind::kUnknownOutcome);
  CHECK(cluster.Executions("k") == 1);
  for (const UpstreamGroup& group : cluster.groups) CHECK(cluster.sent_to(group.id) == 0);
}

TEST_CASE(
    "no peer can confirm that a key is new: it is sent to its group or rejected, as the operator chose") {
  for (const bool rejects : {false, true}) {
    Limits limits = FastPeers();
    limits.when_unconfirmed = rejects ? WhenUnconfirmed::kReject : WhenUnconfirmed::kStartSticky;
    Cluster cluster(2, limits, 1);
    cluster.Kill(1);
    const WaiterId first = cluster.Send(0, "k");
    cluster.Run(seconds(5));
    CHECK(cluster.ReplyTo(first)->kind == (rejects ? ReplyKind::kRejected : ReplyKind::kCompleted));
    cluster.Run(seconds(60));  // now it has been up for as long as keys are kept
    const WaiterId later = cluster.Send(0, "k2");
    cluster.Run(seconds(5));
    CHECK(cluster.ReplyTo(later)->kind == ReplyKind::kCompleted);
  }
}

}  // namespace
}  // namespace postspread::idempotency::testing
