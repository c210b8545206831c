// Any number of views of one fleet in modelled time: datagrams that are lost, doubled, late and out of order,
// cuts by pair and direction, processes that are killed, started again, stopped and continued, clocks that
// disagree. One seed, one thread; the same seed gives the same run.
#ifndef POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_
#define POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace postspread::membership::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Faults {
  double loss = 0, doubled = 0;
  Duration least_delay{1'000}, most_delay{24'000};
};

class Model {
 public:
  Model(int members, std::uint64_t seed, Limits limits = {}, Faults faults = {},
        DisabledDefense disabled = DisabledDefense::kNothing)
      : faults(faults), limits_(std::move(limits)), without_(disabled), random_(seed) {
    limits_.enabled = true;
    for (int i = 0; i < members; ++i) nodes_.push_back(std::make_unique<Node>());
  }

  Faults faults;
  std::function<bool(int from, int to)> cut = [](int, int) { return false; };
  // Places that a process knows when it starts; by default all.
  std::function<std::vector<PeerId>(int)> seeds = [this](int) {
    std::vector<PeerId> out;
    out.reserve(size());
    for (int i = 0; i < size(); ++i) out.push_back(static_cast<PeerId>(i));
    return out;
  };
  std::function<std::string(int)> name = [](int i) { return "gk-" + std::to_string(i); };

  [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Duration period() const { return Duration(limits_.period); }
  std::mt19937_64& random() { return random_; }
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Membership& fleet(int i) { return *node(i).fleet; }
  [[nodiscard]] bool alive(int i) const { return nodes_[static_cast<std::size_t>(i)]->fleet != nullptr; }
  void Start(int i, Duration skew = Duration(0)) {
    Node& n = node(i);
    n.skew = skew;
    n.stopped = false;
    n.inbox.clear();
    const TimePoint here = now_ + skew;
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(here).count());
    n.fleet =
        std::make_unique<Membership>(Membership::Self{name(i), static_cast<PeerId>(i), incarnation, false},
                                     seeds(i), limits_, random_(), here, without_);
    ++n.epoch;
    Carry(i);
  }
  void StartAll() {
    for (int i = 0; i < size(); ++i) Start(i);
  }
  void Kill(int i) {
    node(i).fleet.reset();
    ++node(i).epoch;
  }
  // As a process that is told to end does: says so, and goes on for half a second.
  void Leave(int i) {
    fleet(i).Leave(Here(i));
    Carry(i);
    const std::uint64_t epoch = node(i).epoch;
    Later(milliseconds(500), [this, i, epoch] {
      if (node(i).epoch == epoch) Kill(i);
    });
  }
  void Stop(int i) { node(i).stopped = true; }
  void Continue(int i) {
    Node& n = node(i);
    n.stopped = false;
    for (auto& [from, bytes] : std::exchange(n.inbox, {})) Deliver(from, i, bytes);
    Ticks(i);
  }
  void Later(Duration after, std::function<void()> what) {
    events_.push({now_ + after, order_++, std::move(what)});
  }
  // Hands bytes to a member as though they came from that place.
  void Inject(int to, PeerId from, const std::string& bytes) {
    if (!alive(to)) return;
    fleet(to).Received(from, bytes, Here(to));
    Carry(to);
  }

  void Run(Duration span) {
    const TimePoint until = now_ + span;
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.what();
    }
    now_ = until;
  }
  // Runs until it holds, looked at each beat; periods that it took, or -1 after `most`.
  double Until(const std::function<bool()>& holds, double most) {
    const TimePoint begun = now_;
    const auto periods = [&] {
      return std::chrono::duration<double>(now_ - begun) / std::chrono::duration<double>(period());
    };
    while (!holds()) {
      if (periods() >= most) return -1;
      Run(period() / 5);
    }
    return periods();
  }

  // What each of `side` ought to hold: these and their lives.
  bool Agree(const std::vector<int>& side) {
    std::uint64_t wanted = 0;
    for (const int i : side) wanted ^= DigestMember(fleet(i).name(), fleet(i).incarnation());
    for (const int i : side) {
      if (fleet(i).hash() != wanted) return false;
    }
    return true;
  }
  [[nodiscard]] std::vector<int> Living() const {
    std::vector<int> out;
    for (int i = 0; i < size(); ++i) {
      if (alive(i)) out.push_back(i);
    }
    return out;
  }
  bool AllAgree() { return Agree(Living()); }
  // Whether `i` is in the view of anybody that lives.
  bool SeenByAny(int i) {
    for (const int other : Living()) {
      if (other == i) continue;
      const std::optional<MemberUpdate> update = fleet(other).At(static_cast<PeerId>(i));
      if (update && IsLive(update->state)) return true;
    }
    return false;
  }

  // Of all members and lives so far.
  std::uint64_t sent = 0, bytes = 0, largest = 0, false_deaths = 0, deaths = 0;

 private:
  struct Node {
    std::unique_ptr<Membership> fleet;
    std::uint64_t epoch = 0;
    Duration skew{0};
    bool stopped = false;
    std::vector<std::pair<int, std::string>> inbox;  // while stopped
    TimePoint ticks_at{0};
  };
  struct Event {
    TimePoint at{0};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  Node& node(int i) { return *nodes_[static_cast<std::size_t>(i)]; }
  TimePoint Here(int i) { return now_ + node(i).skew; }

  void Carry(int i) {
    Node& n = node(i);
    for (Membership::Datagram& d : n.fleet->TakeDatagrams()) {
      ++sent;
      bytes += d.bytes.size();
      largest = std::max<std::uint64_t>(largest, d.bytes.size());
      const int to = static_cast<int>(d.to);
      if (to < 0 || to >= size() || cut(i, to) || Chance() < faults.loss) continue;
      for (int copies = Chance() < faults.doubled ? 2 : 1; copies > 0; --copies) {
        const auto spread = static_cast<std::uint64_t>((faults.most_delay - faults.least_delay).count()) + 1;
        const Duration delay = faults.least_delay + Duration(static_cast<std::int64_t>(random_() % spread));
        Later(delay, [this, i, to, bytes = d.bytes] { Deliver(i, to, bytes); });
      }
    }
    for (const Change& change : n.fleet->TakeChanges()) {
      if (change.to != State::kDead || !change.by_self) continue;
      ++deaths;
      for (int other = 0; other < size(); ++other) {
        // Across a cut it is a death for all that this side can know.
        if (cut(i, other) || cut(other, i)) continue;
        if (name(other) == change.name && alive(other) && fleet(other).incarnation() == change.incarnation)
          ++false_deaths;
      }
    }
    Schedule(i);
  }
  void Deliver(int from, int to, const std::string& bytes) {
    Node& n = node(to);
    if (!n.fleet) return;
    if (n.stopped) {
      if (n.inbox.size() < 256) n.inbox.emplace_back(from, bytes);
      return;
    }
    n.fleet->Received(static_cast<PeerId>(from), bytes, Here(to));
    Carry(to);
  }
  void Schedule(int i) {
    Node& n = node(i);
    const TimePoint at = n.fleet->NextTick() - n.skew;
    if (at == n.ticks_at) return;
    n.ticks_at = at;
    const std::uint64_t epoch = n.epoch;
    events_.push({std::max(at, now_), order_++, [this, i, epoch, at] {
                    if (node(i).epoch == epoch && node(i).ticks_at == at) Ticks(i);
                  }});
  }
  void Ticks(int i) {
    Node& n = node(i);
    if (!n.fleet || n.stopped) return;
    n.fleet->Tick(Here(i));
    Carry(i);
  }

  Limits limits_;
  DisabledDefense without_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(24 * 365 * 56)};
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::priority_queue<Event> events_;
};

}  // namespace postspread::membership::testing

#endif  // POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_
