// Keepers of several gateways in modelled time, with pods that drop repeats, datagrams that are lost,
// doubled, late and out of order, and gateways that die and come back. One seed, one thread; the same seed
// gives the same run. It keeps books of its own: what was applied, and what each client was told.
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
#include <variant>
#include <vector>

#include "idempotency/digest.h"
#include "idempotency/replica.h"

namespace postspread::idempotency::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Faults {
  double loss = 0, doubled = 0;
  Duration least_delay{1'000}, most_delay{24'000};
};

enum class Told { kServed, kDeferred, kUnknown, kOther, kAnswerGone, kDropped };

struct Answered {
  Told told = Told::kServed;
  std::string value;
  TimePoint at{0}, deadline{0};
};

// How a pod treats one piece of work.
struct Treatment {
  Duration service{100'000};
  bool runs = true;     // else it is turned away and never ran
  bool answers = true;  // else it runs and its answer never comes: the attempt fails when its time is over
};

class Cluster {
 public:
  Cluster(int gateways, Limits limits, std::uint64_t seed, Faults faults = {})
      : limits_(limits), faults_(faults), random_(seed), nodes_(static_cast<std::size_t>(gateways)) {
    limits_.enabled = true;
    for (int i = 0; i < gateways; ++i) Start(i);
  }

  [[nodiscard]] TimePoint now() const { return now_; }
  IdempotencyReplica& replica(int rank) { return *nodes_[static_cast<std::size_t>(rank)].replica; }
  [[nodiscard]] bool alive(int rank) const {
    return nodes_[static_cast<std::size_t>(rank)].replica != nullptr;
  }
  std::mt19937_64& random() { return random_; }
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::function<Treatment(const KeyId&, std::int64_t pod)> treat = [](const KeyId&, std::int64_t) {
    return Treatment{};
  };
  std::function<bool(int from, int to)> cut = [](int, int) { return false; };
  std::vector<Pod> pods{{1, 3}, {2, 3}, {3, 3}};
  bool knows_pins = true;  // false: work goes to any pod, as without the store's word

  // A request by `client`, through this gateway. Returns its number.
  WaiterId Send(int rank, const std::string& k, Duration timeout = seconds(8), const std::string& body = "b",
                const std::string& customer = "c") {
    Ask ask;
    ask.waiter = next_waiter_++;
    ask.key = DigestKey(customer, "change", k);
    ask.fingerprint = DigestRequest(customer, "change", k, 1, body);
    ask.customer = DigestCustomer(customer);
    ask.deadline = now_ + timeout;
    ask.window = seconds(15);
    ask.pinned = true;
    ask.work.spread = static_cast<std::int16_t>(nodes_.size());
    asked_[ask.waiter] = {ask.key, ask.deadline};
    if (!alive(rank)) {
      answers_[ask.waiter].push_back({Told::kDropped, "", now_, ask.deadline});
      return ask.waiter;
    }
    Node& node = nodes_[static_cast<std::size_t>(rank)];
    node.held.push_back(ask.waiter);
    node.replica->SetPods(pods);
    Carry(rank, node.replica->Begin(ask, now_));
    return ask.waiter;
  }
  void Gone(int rank, WaiterId waiter) { Carry(rank, replica(rank).OnClientDisconnect(waiter, now_)); }

  void Kill(int rank) {
    Node& node = nodes_[static_cast<std::size_t>(rank)];
    for (const WaiterId waiter : node.held) {
      if (!answers_.contains(waiter)) {
        answers_[waiter].push_back({Told::kDropped, "", now_, asked_[waiter].second});
      }
    }
    node.held.clear();
    node.replica.reset();
    ++node.epoch;
  }
  void Start(int rank) {
    Node& node = nodes_[static_cast<std::size_t>(rank)];
    node.replica = std::make_unique<IdempotencyReplica>(
        limits_,
        IdempotencyReplica::Identity{rank, static_cast<int>(nodes_.size()), nodes_.size() > 1,
                                     static_cast<std::uint64_t>(now_.count()) + 1},
        now_);
  }

  // Runs everything that is due up to now + span.
  void Run(Duration span) {
    const TimePoint until = now_ + span;
    for (;;) {
      int who = -1;
      TimePoint next = until;
      for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
        if (!alive(i)) continue;
        const auto tick = replica(i).NextTick();
        if (tick && *tick < next) next = *tick, who = i;
      }
      if (!events_.empty() && events_.top().at <= next && events_.top().at <= until) {
        now_ = std::max(now_, events_.top().at);
        const auto run = events_.top().run;
        events_.pop();
        run();
      } else if (who >= 0) {
        now_ = std::max(now_, next);
        Carry(who, replica(who).Tick(now_));
      } else {
        break;
      }
    }
    now_ = until;
  }
  void At(TimePoint at, std::function<void()> run) { events_.push({at, order_++, std::move(run)}); }

  // ---- The books ----

  // The one answer that a request has got; nothing: none yet.
  [[nodiscard]] std::optional<Answered> AnswerOf(WaiterId waiter) const {
    const auto found = answers_.find(waiter);
    if (found == answers_.end()) return std::nullopt;
    return found->second.front();
  }
  [[nodiscard]] int applied(const std::string& k, const std::string& customer = "c") const {
    const auto found = applied_.find(DigestKey(customer, "change", k));
    return found == applied_.end() ? 0 : found->second;
  }
  [[nodiscard]] int applied_twice() const {
    int out = 0;
    for (const auto& [key, times] : applied_) out += times > 1;
    return out;
  }
  // Requests without exactly one answer, or with one after their time.
  [[nodiscard]] int badly_answered() const {
    int out = 0;
    for (const auto& [waiter, what] : asked_) {
      const auto found = answers_.find(waiter);
      const bool well = found != answers_.end() && found->second.size() == 1 &&
                        found->second[0].at <= what.second + milliseconds(1);
      out += !well;
    }
    return out;
  }
  [[nodiscard]] int different_answers() const {
    std::map<KeyId, std::string> values;
    int out = 0;
    for (const auto& [waiter, answers] : answers_) {
      for (const Answered& a : answers) {
        if (a.told != Told::kServed) continue;
        out += values.emplace(asked_.at(waiter).first, a.value).first->second != a.value;
      }
    }
    return out;
  }
  [[nodiscard]] int told(Told what) const {
    int out = 0;
    for (const auto& [waiter, answers] : answers_) {
      for (const Answered& a : answers) out += a.told == what;
    }
    return out;
  }
  [[nodiscard]] std::size_t sent_to(std::int64_t pod) const {
    const auto found = sent_.find(pod);
    return found == sent_.end() ? 0 : found->second;
  }
  std::size_t value_size = 40;

 private:
  struct Node {
    std::unique_ptr<IdempotencyReplica> replica;
    std::vector<WaiterId> held;
    int epoch = 0;
  };
  struct Event {
    TimePoint at{0};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Remembered {
    TimePoint first{0}, done{0};
    std::string value;
  };

  void Tell(WaiterId waiter, Told told, std::string value = "") {
    answers_[waiter].push_back({told, std::move(value), now_, asked_[waiter].second});
  }

  void Carry(int rank, Actions actions) {
    for (const Action& action : std::vector<Action>(actions.begin(), actions.end())) {
      if (const auto* start = std::get_if<idempotency::StartRequest>(&action)) {
        Work(rank, *start);
      } else if (const auto* serve = std::get_if<CompleteRequest>(&action)) {
        Tell(serve->waiter, Told::kServed, *serve->value);
      } else if (const auto* defer = std::get_if<RejectWithRetryAfter>(&action)) {
        Tell(defer->waiter, Told::kDeferred);
      } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
        Tell(fail->waiter, fail->reason == FailureReason::kUnknown ? Told::kUnknown
                           : fail->reason == FailureReason::kOther ? Told::kOther
                                                                   : Told::kAnswerGone);
      } else if (const auto* forget = std::get_if<ReleaseRequest>(&action)) {
        Tell(forget->waiter, Told::kDropped);
      } else if (const auto* tell = std::get_if<idempotency::SendDatagram>(&action)) {
        Datagram(rank, tell->rank, tell->bytes);
      } else if (const auto* pass = std::get_if<StartUnprotected>(&action)) {
        Tell(pass->waiter, Told::kServed, "passed");
      }
    }
  }

  void Datagram(int from, int to, const std::string& bytes) {
    for (int copy = 0; copy < (Chance() < faults_.doubled ? 2 : 1); ++copy) {
      if (Chance() < faults_.loss || cut(from, to)) continue;
      const double delay = Chance();
      const Duration late =
          faults_.least_delay +
          Duration(static_cast<std::int64_t>(delay * static_cast<double>(faults_.most_delay.count())));
      At(now_ + late, [this, from, to, bytes] {
        if (alive(to)) Carry(to, replica(to).Received(from, bytes, now_));
      });
    }
  }

  void Work(int rank, const idempotency::StartRequest& start) {
    const KeyId key = asked_[start.waiter].first;
    const std::int64_t pod =
        knows_pins && start.pin.has_pod ? start.pin.pod : pods[random_() % pods.size()].id;
    const Treatment treatment = treat(key, pod);
    const int epoch = nodes_[static_cast<std::size_t>(rank)].epoch;
    const auto end = [this, rank, epoch, waiter = start.waiter](TimePoint at, End how,
                                                                const std::string& value) {
      At(at, [this, rank, epoch, waiter, how, value] {
        if (!alive(rank) || nodes_[static_cast<std::size_t>(rank)].epoch != epoch) return;
        Carry(rank, replica(rank).OnWorkFinished(waiter, how, value, milliseconds(10), now_));
      });
    };
    if (!treatment.runs) return end(now_ + milliseconds(1), End::kRefused, "");
    ++sent_[pod];
    Remembered& known = remembered_[{pod, key}];
    const bool repeat = known.first.count() != 0 && now_ < known.first + seconds(15);
    if (!repeat) {
      const int times = ++applied_[key];
      std::string value = "v" + std::to_string(key.low) + "/" + std::to_string(times);
      value.resize(std::max(value.size(), value_size), '.');
      known = {now_, now_ + treatment.service, std::move(value)};
    }
    const TimePoint done = std::max(known.done, now_ + milliseconds(1));
    const bool in_time = treatment.answers && done < start.deadline;
    end(in_time ? done : start.deadline, in_time ? End::kServed : End::kFailed, in_time ? known.value : "");
  }

  Limits limits_;
  Faults faults_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  TimePoint now_{seconds(1'000'000)};
  std::uint64_t order_ = 0;
  WaiterId next_waiter_ = 1;
  std::priority_queue<Event> events_;
  std::map<WaiterId, std::pair<KeyId, TimePoint>> asked_;
  std::map<WaiterId, std::vector<Answered>> answers_;
  std::map<std::pair<std::int64_t, KeyId>, Remembered> remembered_;
  std::map<KeyId, int> applied_;
  std::map<std::int64_t, std::size_t> sent_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_CLUSTER_H_
