// Simulates the idempotency replicas of several gateways in virtual time: upstream groups drop repeats,
// datagrams are lost, duplicated, delayed and reordered, and gateways crash and restart. The same seed gives
// the same run.
#ifndef POSTSPREAD_TESTS_IDEMPOTENCY_CLUSTER_H_
#define POSTSPREAD_TESTS_IDEMPOTENCY_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "idempotency/digest.h"
#include "idempotency/replica.h"
#include "request_history.h"

namespace postspread::idempotency::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Faults of the network between gateways.
struct NetworkFaults {
  double loss = 0, duplication = 0;  // probability per datagram
  Duration min_delay{1'000}, max_delay{24'000};
};

// How an upstream handles one attempt.
struct UpstreamBehavior {
  Duration service_time{100'000};
  bool executes = true;  // otherwise it rejects the request
  bool responds = true;  // otherwise it executes the request, and the attempt times out
};

// Owns the replicas, drives their clock, executes their actions and records what clients receive. A gateway
// is addressed by its rank.
class Cluster {
 public:
  Cluster(int gateways, const Limits& limits, std::uint64_t seed, const NetworkFaults& faults = {});

  [[nodiscard]] TimePoint now() const { return now_; }
  IdempotencyReplica& replica(int rank) { return *gateway(rank).replica; }
  [[nodiscard]] bool alive(int rank) const {
    return gateways_[static_cast<std::size_t>(rank)].replica != nullptr;
  }
  std::mt19937_64& random() { return random_; }
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  // Tests may change the following members during a run.
  std::function<UpstreamBehavior(const KeyId&, std::int64_t group)> upstream_behavior =
      [](const KeyId&, std::int64_t) { return UpstreamBehavior{}; };
  std::function<bool(int from, int to)> is_partitioned = [](int, int) { return false; };
  std::vector<UpstreamGroup> groups{{1, 3}, {2, 3}, {3, 3}};
  bool honors_placement = true;  // otherwise attempts go to random groups, against the replica's placement
  std::size_t min_value_bytes = 40;  // of an upstream's response

  // Sends a keyed request through this gateway and returns the identifier of its waiter. The request ends
  // with ResponseKind::kNone at once if the gateway is down.
  WaiterId Send(int rank, const std::string& key, Duration timeout = seconds(8),
                const std::string& body = "b", const std::string& customer = "c");
  void Disconnect(int rank, WaiterId waiter) {
    Execute(rank, replica(rank).OnClientDisconnect(waiter, now_));
  }
  void Kill(int rank);
  void Start(int rank);

  // Advances the virtual clock by `span` and processes every event and tick that is due by then.
  void RunFor(Duration span);
  void ScheduleAt(TimePoint at, std::function<void()> run) {
    events_.push({at, next_event_++, std::move(run)});
  }

  [[nodiscard]] const RequestHistory& history() const { return history_; }
  [[nodiscard]] std::optional<ClientResponse> ResponseTo(WaiterId waiter) const {
    return history_.ResponseTo(waiter);
  }
  // Returns how often the key has been executed for Send's default customer.
  [[nodiscard]] int Executions(const std::string& key) const {
    return history_.Executions(DigestKey("c", "change", key));
  }
  // Return how many attempts this group, or all groups together, did not reject.
  [[nodiscard]] std::size_t accepted_attempts_of(std::int64_t group) const;
  [[nodiscard]] std::size_t accepted_attempts() const;

 private:
  struct Gateway {
    std::unique_ptr<IdempotencyReplica> replica;
    std::vector<WaiterId> waiters;
    int crash_count = 0;  // results of attempts from before the last crash are ignored
  };
  struct Event {
    TimePoint at{0};
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  // One execution of a key, as its upstream group remembers it to drop repeats.
  struct Execution {
    TimePoint begin{0}, end{0};
    std::string value;
  };
  struct GroupKey {
    std::int64_t group = 0;
    KeyId key;
    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with 0
    auto operator<=>(const GroupKey&) const = default;
  };
  struct DueTick {
    int rank = -1;  // -1: no tick is due
    TimePoint at{0};
  };

  Gateway& gateway(int rank) { return gateways_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] DueTick NextTick(TimePoint until);
  void RecordResponse(WaiterId waiter, ResponseKind kind, const std::string& value = "") {
    history_.OnResponse(waiter, kind, value, now_);
  }
  void Execute(int rank, Actions actions);
  void Transmit(int from, int to, const std::string& bytes);
  void RunAttempt(int rank, const StartRequest& start);
  void FinishAttempt(int rank, WaiterId waiter, TimePoint at, WorkResult result, const std::string& value);
  const Execution& ExecuteOnce(std::int64_t group, const KeyId& key, Duration service_time);

  Limits limits_;
  NetworkFaults faults_;
  std::mt19937_64 random_;
  std::vector<Gateway> gateways_;
  TimePoint now_{seconds(1'000'000)};
  std::uint64_t next_event_ = 0;
  WaiterId next_waiter_ = 1;
  std::priority_queue<Event> events_;
  RequestHistory history_;
  std::map<GroupKey, Execution> executed_;
  std::map<std::int64_t, std::size_t> accepted_attempts_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_CLUSTER_H_
