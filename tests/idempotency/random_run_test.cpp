// Random runs of a cluster: the promises hold under every seed, and the runs are able to break them.
#include <catch2/catch.hpp>
#include <ostream>
#include <string>

#include "cluster.h"

namespace postspread::idempotency::testing {
namespace {

struct Violations {
  int executed_twice = 0, wrongly_replied = 0, conflicting_replies = 0;
  bool operator==(const Violations&) const = default;
};
std::ostream& operator<<(std::ostream& out, const Violations& violations) {
  return out << violations.executed_twice << " executed twice, " << violations.wrongly_replied
             << " wrongly replied, " << violations.conflicting_replies << " conflicting";
}

struct RunResult {
  Violations violations;
  int requests = 0, completed = 0;
};

struct RunOptions {
  std::uint64_t seed = 1;
  Faults faults;
  bool honors_placement = true;
  int gateways = 3;
  std::size_t replicas = 2;  // of each key
};

UpstreamBehavior RandomBehavior(Cluster& cluster) {
  const double fate = cluster.RandomFraction();
  return {.service_time = Duration(static_cast<std::int64_t>(cluster.RandomFraction() * 1.5e6)),
          .executes = fate > 0.1,
          .replies = fate > 0.2};
}

// Sends each of 200 keys up to five times through random gateways, half of the repeats within a second and
// half within the keys' lifetime. Returns the number of requests.
int ScheduleRequests(Cluster& cluster, int gateways) {
  constexpr int kKeys = 200;
  constexpr double kFirstWithin = 20e6, kSoon = 1e6, kLate = 30e6;  // us
  const TimePoint begin = cluster.now();
  const auto random_span = [&cluster](double most) {
    return Duration(static_cast<std::int64_t>(cluster.RandomFraction() * most));
  };
  int requests = 0;
  for (int key = 0; key < kKeys; ++key) {
    const TimePoint first = begin + random_span(kFirstWithin);
    const int attempts = 1 + static_cast<int>(cluster.random()() % 5);
    for (int attempt = 0; attempt < attempts; ++attempt, ++requests) {
      const double spread = cluster.RandomFraction() < 0.5 ? kSoon : kLate;
      const TimePoint at = first + random_span(spread);
      const int rank = static_cast<int>(cluster.random()() % static_cast<unsigned>(gateways));
      const Duration timeout = seconds(1 + key % 5);
      cluster.At(at,
                 [&cluster, key, rank, timeout] { cluster.Send(rank, "k" + std::to_string(key), timeout); });
    }
  }
  return requests;
}

// One gateway crashes and restarts, upstreams reject and fail, and the network has the faults given.
RunResult RandomRun(const RunOptions& options) {
  Limits limits;
  limits.datagrams_per_second = options.seed % 2 == 0 ? 2'000 : 40;
  limits.replicas = options.replicas;
  Cluster cluster(options.gateways, limits, options.seed, options.faults);
  cluster.honors_placement = options.honors_placement;
  cluster.upstream_behavior = [&](const KeyId&, std::int64_t) { return RandomBehavior(cluster); };
  const TimePoint begin = cluster.now();
  const int requests = ScheduleRequests(cluster, options.gateways);
  const int victim = static_cast<int>(options.seed) % options.gateways;
  const Duration restart = milliseconds(5'300 + 2'000 * (options.seed % 3));
  cluster.At(begin + seconds(5), [&cluster, victim] { cluster.Kill(victim); });
  cluster.At(begin + restart, [&cluster, victim] { cluster.Start(victim); });
  cluster.Run(seconds(70));
  const RequestHistory& history = cluster.history();
  return {.violations = {history.executed_twice(), history.wrongly_replied(), history.conflicting_replies()},
          .requests = requests,
          .completed = history.CountReplies(ReplyKind::kCompleted)};
}

void CheckPromises(const RunOptions& options) {
  INFO(options.gateways << " gateways, seed " << options.seed);
  const RunResult result = RandomRun(options);
  CHECK(result.violations == Violations{});
  CHECK(result.completed > result.requests / 2);
}

TEST_CASE("random runs: no key is executed twice, each request has one answer in time") {
  const Faults faults{
      .loss = 0.2, .duplication = 0.1, .min_delay = milliseconds(1), .max_delay = milliseconds(60)};
  // Failed once: a third gateway's newer word about a holder was taken for stale.
  CheckPromises({.seed = 1662, .faults = faults});
  for (std::uint64_t seed = 1; seed <= 60; ++seed) CheckPromises({.seed = seed, .faults = faults});
}

TEST_CASE("two, four and five gateways, with two replicas of a key or more, keep the same promises") {
  for (const int gateways : {2, 4, 5}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      CheckPromises({.seed = seed,
                     .faults = {.loss = 0.1},
                     .gateways = gateways,
                     .replicas = seed % 2 == 0 ? std::size_t{2} : std::size_t{5}});
    }
  }
}

TEST_CASE("random runs detect violations: without sticky placement keys are executed twice") {
  int executed_twice = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const RunOptions options{.seed = seed, .faults = {.loss = 0.2}, .honors_placement = false};
    executed_twice += RandomRun(options).violations.executed_twice;
  }
  CHECK(executed_twice > 0);
}

}  // namespace
}  // namespace postspread::idempotency::testing
