// The replicas of several gateways in virtual time, with upstream groups that drop repeats, datagrams that
// are lost, duplicated, delayed and reordered, and gateways that crash and restart. The same seed gives the
// same run.
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

// Of the network between gateways.
struct Faults {
  double loss = 0, duplication = 0;  // probabilities a datagram
  Duration min_delay{1'000}, max_delay{24'000};
};

// How an upstream treats one request.
struct UpstreamBehavior {
  Duration service_time{100'000};
  bool executes = true;  // else it rejects the request
  bool replies = true;   // else it executes the request, and the attempt times out
};

class Cluster {
 public:
  Cluster(int gateways, const Limits& limits, std::uint64_t seed, const Faults& faults = {});

  [[nodiscard]] TimePoint now() const { return now_; }
  IdempotencyReplica& replica(int rank) { return *node(rank).replica; }
  [[nodiscard]] bool alive(int rank) const {
    return nodes_[static_cast<std::size_t>(rank)].replica != nullptr;
  }
  std::mt19937_64& random() { return random_; }
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  // What a test may change during a run.
  std::function<UpstreamBehavior(const KeyId&, std::int64_t group)> upstream_behavior =
      [](const KeyId&, std::int64_t) { return UpstreamBehavior{}; };
  std::function<bool(int from, int to)> is_partitioned = [](int, int) { return false; };
  std::vector<UpstreamGroup> groups{{1, 3}, {2, 3}, {3, 3}};
  bool honors_placement = true;  // else work goes to any group, whatever the replica says
  std::size_t value_size = 40;

  // A request through this gateway.
  WaiterId Send(int rank, const std::string& key, Duration timeout = seconds(8),
                const std::string& body = "b", const std::string& customer = "c");
  void Disconnect(int rank, WaiterId waiter) {
    Execute(rank, replica(rank).OnClientDisconnect(waiter, now_));
  }
  void Kill(int rank);
  void Start(int rank);

  // Runs everything that is due within the span.
  void Run(Duration span);
  void At(TimePoint at, std::function<void()> run) { events_.push({at, next_event_++, std::move(run)}); }

  [[nodiscard]] const RequestHistory& history() const { return history_; }
  [[nodiscard]] std::optional<Reply> ReplyTo(WaiterId waiter) const { return history_.ReplyTo(waiter); }
  // Of the customer that Send names by default.
  [[nodiscard]] int Executions(const std::string& key) const {
    return history_.Executions(DigestKey("c", "change", key));
  }
  // Requests that reached this group, or any.
  [[nodiscard]] std::size_t sent_to(std::int64_t group) const;
  [[nodiscard]] std::size_t sent() const;

 private:
  struct Node {
    std::unique_ptr<IdempotencyReplica> replica;
    std::vector<WaiterId> waiters;
    int epoch = 0;  // counts crashes: what belongs to an earlier one is void
  };
  struct Event {
    TimePoint at{0};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  // What an upstream group remembers of a key's work.
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
    int rank = -1;  // none
    TimePoint at{0};
  };

  Node& node(int rank) { return nodes_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] DueTick NextTick(TimePoint until);
  void OnReply(WaiterId waiter, ReplyKind kind, const std::string& value = "") {
    history_.OnReply(waiter, kind, value, now_);
  }
  void Execute(int rank, Actions actions);
  void Transmit(int from, int to, const std::string& bytes);
  void RunAttempt(int rank, const StartRequest& start);
  void FinishAttempt(int rank, WaiterId waiter, TimePoint at, WorkResult result, const std::string& value);
  const Execution& ExecuteOnce(std::int64_t group, const KeyId& key, Duration service_time);

  Limits limits_;
  Faults faults_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  TimePoint now_{seconds(1'000'000)};
  std::uint64_t next_event_ = 0;
  WaiterId next_waiter_ = 1;
  std::priority_queue<Event> events_;
  RequestHistory history_;
  std::map<GroupKey, Execution> executed_;
  std::map<std::int64_t, std::size_t> sent_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_CLUSTER_H_
