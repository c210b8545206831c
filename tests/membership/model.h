// Any number of members of one group in virtual time: datagrams that are lost, duplicated, delayed and
// reordered, partitions by pair and direction, processes that are killed, restarted, suspended and resumed,
// clocks that disagree. One seed, one thread; the same seed gives the same run.
#ifndef POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_
#define POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/digest.h"
#include "membership/membership.h"

namespace postspread::membership::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Faults {
  double loss = 0;     // probability that a datagram is lost
  double doubled = 0;  // ... or delivered twice
  Duration least_delay{1'000};
  Duration most_delay{24'000};
};

inline constexpr Faults kCalm{};
inline constexpr Faults kLossy{.loss = 0.1, .doubled = 0.02};

inline std::vector<int> Range(int from, int to) {
  std::vector<int> out;
  for (int i = from; i < to; ++i) out.push_back(i);
  return out;
}

// The value of Model::cut without a partition.
inline bool NoCut(int /*from*/, int /*to*/) { return false; }

class Model {
 public:
  Model(int members, std::uint64_t seed, Limits limits = {}, Faults faults = {},
        DisabledDefense disabled = DisabledDefense::kNothing)
      : faults(faults), limits_(std::move(limits)), disabled_(disabled), random_(seed) {
    limits_.enabled = true;
    for (int i = 0; i < members; ++i) nodes_.push_back(std::make_unique<Node>());
  }

  Faults faults;
  // Whether datagrams from one member to another are dropped.
  std::function<bool(int from, int to)> cut = NoCut;
  // Addresses that a process knows when it starts; by default all.
  std::function<std::vector<PeerId>(int)> seeds = [this](int) {
    std::vector<PeerId> out;
    out.reserve(nodes_.size());
    for (int i = 0; i < size(); ++i) out.push_back(static_cast<PeerId>(i));
    return out;
  };
  std::function<std::string(int)> name = [](int i) { return "gk-" + std::to_string(i); };

  [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Duration period() const { return Duration(limits_.period); }
  std::mt19937_64& random() { return random_; }
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Membership& member(int i) { return *node(i).member; }
  [[nodiscard]] bool alive(int i) const { return nodes_[static_cast<std::size_t>(i)]->member != nullptr; }

  // `skew`: of the process's clock.
  void Start(int i, Duration skew = Duration(0)) {
    Node& started = node(i);
    started.skew = skew;
    started.suspended = false;
    started.inbox.clear();
    const TimePoint local = now_ + skew;
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(local).count());
    const Self self{name(i), static_cast<PeerId>(i), incarnation, false};
    started.member = std::make_unique<Membership>(self, seeds(i), limits_, random_(), local, disabled_);
    ++started.process;
    CarryOut(i);
  }
  void StartAll() {
    for (int i = 0; i < size(); ++i) Start(i);
  }
  void Kill(int i) {
    node(i).member.reset();
    ++node(i).process;
  }
  // Graceful shutdown: announces the leave, and ends half a second later.
  void Leave(int i) {
    member(i).Leave(LocalTime(i));
    CarryOut(i);
    const std::uint64_t process = node(i).process;
    Schedule(milliseconds(500), [this, i, process] {
      if (node(i).process == process) Kill(i);
    });
  }
  // The process is not scheduled until Continue; datagrams wait in its socket.
  void Stop(int i) { node(i).suspended = true; }
  void Continue(int i) {
    Node& resumed = node(i);
    resumed.suspended = false;
    for (const Delivery& delivery : std::exchange(resumed.inbox, {})) {
      Deliver(delivery.from, i, delivery.bytes);
    }
    Tick(i);
  }
  void Schedule(Duration after, std::function<void()> action) {
    events_.push({now_ + after, next_event_++, std::move(action)});
  }
  // Hands bytes to a member as though they came from that address.
  void Inject(int to, PeerId from, const std::string& bytes) {
    if (!alive(to)) return;
    member(to).Received(from, bytes, LocalTime(to));
    CarryOut(to);
  }

  void Run(Duration span) {
    const TimePoint until = now_ + span;
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = until;
  }
  // Runs until the condition holds, checked each tick. Returns the periods that took, or -1 after `most`.
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

  // Whether the views of these members hold exactly these members as live, in their incarnations.
  bool Agree(const std::vector<int>& side) {
    std::uint64_t expected = 0;
    for (const int i : side) expected ^= DigestMember(member(i).name(), member(i).incarnation());
    return std::all_of(side.begin(), side.end(), [&](int i) { return member(i).hash() == expected; });
  }
  [[nodiscard]] std::vector<int> Living() const {
    std::vector<int> out;
    for (int i = 0; i < size(); ++i) {
      if (alive(i)) out.push_back(i);
    }
    return out;
  }
  bool AllAgree() { return Agree(Living()); }
  // Whether any live member's view holds `i` as live.
  bool SeenByAny(int i) {
    for (const int other : Living()) {
      if (other == i) continue;
      const std::optional<MemberUpdate> update = member(other).At(static_cast<PeerId>(i));
      if (update && IsLive(update->state)) return true;
    }
    return false;
  }

  // Of all members and processes so far.
  std::uint64_t sent = 0;
  std::uint64_t bytes = 0;
  std::uint64_t largest = 0;  // datagram, in bytes
  std::uint64_t deaths = 0;
  std::uint64_t false_deaths = 0;  // of a live member that could be reached

 private:
  static constexpr std::size_t kMaxInbox = 256;  // datagrams

  struct Delivery {
    int from = 0;
    std::string bytes;
  };
  struct Node {
    std::unique_ptr<Membership> member;
    std::uint64_t process = 0;  // counts starts and ends, so that events of an earlier one are ignored
    Duration skew{0};
    bool suspended = false;
    std::vector<Delivery> inbox;  // while suspended
    TimePoint next_tick{0};
  };
  struct Event {
    TimePoint at{0};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  Node& node(int i) { return *nodes_[static_cast<std::size_t>(i)]; }
  TimePoint LocalTime(int i) { return now_ + node(i).skew; }

  // What the member wants sent, and the deaths that it has declared.
  void CarryOut(int i) {
    Membership& sender = member(i);
    for (const Datagram& datagram : sender.TakeDatagrams()) Send(i, datagram);
    for (const Change& change : sender.TakeChanges()) {
      if (change.to == State::kDead && change.by_self) CountDeath(i, change);
    }
    ScheduleTick(i);
  }
  void Send(int from, const Datagram& datagram) {
    ++sent;
    bytes += datagram.bytes.size();
    largest = std::max<std::uint64_t>(largest, datagram.bytes.size());
    const int to = static_cast<int>(datagram.to);
    if (to < 0 || to >= size() || cut(from, to) || Chance() < faults.loss) return;
    for (int copies = Chance() < faults.doubled ? 2 : 1; copies > 0; --copies) {
      const auto spread = static_cast<std::uint64_t>((faults.most_delay - faults.least_delay).count()) + 1;
      const Duration delay = faults.least_delay + Duration(static_cast<std::int64_t>(random_() % spread));
      Schedule(delay, [this, from, to, bytes = datagram.bytes] { Deliver(from, to, bytes); });
    }
  }
  void CountDeath(int observer, const Change& change) {
    ++deaths;
    for (int other = 0; other < size(); ++other) {
      // Across a partition it is a death for all that this side can know.
      if (cut(observer, other) || cut(other, observer)) continue;
      if (name(other) != change.name || !alive(other)) continue;
      if (member(other).incarnation() == change.incarnation) ++false_deaths;
    }
  }
  void Deliver(int from, int to, const std::string& bytes) {
    Node& receiver = node(to);
    if (!receiver.member) return;
    if (receiver.suspended) {
      if (receiver.inbox.size() < kMaxInbox) receiver.inbox.push_back({from, bytes});
      return;
    }
    receiver.member->Received(static_cast<PeerId>(from), bytes, LocalTime(to));
    CarryOut(to);
  }
  void ScheduleTick(int i) {
    Node& ticking = node(i);
    const TimePoint at = ticking.member->NextTick() - ticking.skew;
    if (at == ticking.next_tick) return;
    ticking.next_tick = at;
    Schedule(std::max(at, now_) - now_, [this, i, at, process = ticking.process] {
      if (node(i).process == process && node(i).next_tick == at) Tick(i);
    });
  }
  void Tick(int i) {
    Node& ticking = node(i);
    if (!ticking.member || ticking.suspended) return;
    ticking.member->Tick(LocalTime(i));
    CarryOut(i);
  }

  Limits limits_;
  DisabledDefense disabled_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(24 * 365 * 56)};  // since the epoch: a date of this century
  std::uint64_t next_event_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::priority_queue<Event> events_;
};

}  // namespace postspread::membership::testing

#endif  // POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_
