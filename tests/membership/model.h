// Model simulates any number of members of one group in virtual time: datagrams are lost, duplicated, delayed
// and reordered, partitions cut pairs in either direction, processes are killed, restarted, suspended and
// resumed, and clocks disagree. It runs in one thread, and the same seed gives the same run.
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
  double loss = 0;        // The probability that a datagram is lost.
  double duplicated = 0;  // The probability that a datagram is delivered twice.
  Duration min_delay{1'000};
  Duration max_delay{24'000};
};

inline constexpr Faults kFaultFree{};
inline constexpr Faults kLossy{.loss = 0.1, .duplicated = 0.02};

inline std::vector<int> Range(int from, int to) {
  std::vector<int> out;
  for (int i = from; i < to; ++i) out.push_back(i);
  return out;
}

// Model::cut has this value if there is no partition.
inline bool NoCut(int /*from*/, int /*to*/) { return false; }

class Model {
 public:
  Model(int members, std::uint64_t seed, Limits limits = {}, Faults faults = {},
        DisabledDefense disabled = DisabledDefense::kNothing)
      : faults(faults), limits_(std::move(limits)), disabled_(disabled), random_(seed) {
    limits_.enabled = true;
    for (int i = 0; i < members; ++i) processes_.push_back(std::make_unique<Process>());
  }

  Faults faults;
  // Returns whether datagrams from one member to another are dropped.
  std::function<bool(int from, int to)> cut = NoCut;
  // Returns the addresses that a process knows when it starts, by default those of all members.
  std::function<std::vector<PeerId>(int)> seeds = [this](int) {
    std::vector<PeerId> out;
    out.reserve(processes_.size());
    for (int i = 0; i < size(); ++i) out.push_back(static_cast<PeerId>(i));
    return out;
  };
  std::function<std::string(int)> name = [](int i) { return "gk-" + std::to_string(i); };

  [[nodiscard]] int size() const { return static_cast<int>(processes_.size()); }
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Duration period() const { return Duration(limits_.period); }
  std::mt19937_64& random() { return random_; }
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Membership& member(int i) { return *process(i).member; }
  [[nodiscard]] bool alive(int i) const { return processes_[static_cast<std::size_t>(i)]->member != nullptr; }

  // Starts a process whose clock differs from the virtual time by `skew`.
  void Start(int i, Duration skew = Duration(0)) {
    Process& started = process(i);
    started.skew = skew;
    started.suspended = false;
    started.inbox.clear();
    const TimePoint local = now_ + skew;
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(local).count());
    const Self self{name(i), static_cast<PeerId>(i), incarnation, false};
    started.member = std::make_unique<Membership>(self, seeds(i), limits_, random_(), local, disabled_);
    ++started.generation;
    ProcessOutput(i);
  }
  void StartAll() {
    for (int i = 0; i < size(); ++i) Start(i);
  }
  void Kill(int i) {
    process(i).member.reset();
    ++process(i).generation;
  }
  // Shuts a process down gracefully: it announces its leave, and exits half a second later.
  void Leave(int i) {
    member(i).Leave(LocalTime(i));
    ProcessOutput(i);
    const std::uint64_t generation = process(i).generation;
    Schedule(milliseconds(500), [this, i, generation] {
      if (process(i).generation == generation) Kill(i);
    });
  }
  // Suspends a process until Resume. Meanwhile datagrams wait in its socket.
  void Suspend(int i) { process(i).suspended = true; }
  void Resume(int i) {
    Process& resumed = process(i);
    resumed.suspended = false;
    for (const Delivery& delivery : std::exchange(resumed.inbox, {})) {
      Deliver(delivery.from, i, delivery.bytes);
    }
    Tick(i);
  }
  void Schedule(Duration after, std::function<void()> action) {
    events_.push({now_ + after, next_event_++, std::move(action)});
  }
  // Delivers a datagram to a member as though it came from this address.
  void Inject(int to, PeerId from, const std::string& bytes) {
    if (!alive(to)) return;
    member(to).HandleDatagram(from, bytes, LocalTime(to));
    ProcessOutput(to);
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
  // Runs until the condition holds, and checks it each tick. Returns the periods elapsed, or -1 after
  // `max_periods`.
  double Until(const std::function<bool()>& holds, double max_periods) {
    const TimePoint started_at = now_;
    const auto periods = [&] {
      return std::chrono::duration<double>(now_ - started_at) / std::chrono::duration<double>(period());
    };
    while (!holds()) {
      if (periods() >= max_periods) return -1;
      Run(period() / 5);
    }
    return periods();
  }

  // Returns whether the views of these members contain exactly these as live, in their incarnations.
  bool Agree(const std::vector<int>& side) {
    std::uint64_t expected = 0;
    for (const int i : side) expected ^= DigestMember(member(i).name(), member(i).incarnation());
    return std::all_of(side.begin(), side.end(), [&](int i) { return member(i).hash() == expected; });
  }
  [[nodiscard]] std::vector<int> LiveMembers() const {
    std::vector<int> out;
    for (int i = 0; i < size(); ++i) {
      if (alive(i)) out.push_back(i);
    }
    return out;
  }
  bool AllAgree() { return Agree(LiveMembers()); }
  // Returns whether any live member's view contains member `i` as live.
  bool IsLiveInAnyView(int i) {
    for (const int other : LiveMembers()) {
      if (other == i) continue;
      const std::optional<MemberUpdate> update = member(other).At(static_cast<PeerId>(i));
      if (update && IsLive(update->state)) return true;
    }
    return false;
  }

  // These are the totals over all members and processes so far.
  std::uint64_t sent = 0;
  std::uint64_t bytes = 0;
  std::uint64_t largest_datagram = 0;  // bytes
  std::uint64_t deaths = 0;
  std::uint64_t false_deaths = 0;  // deaths of members that were live and could be reached

 private:
  static constexpr std::size_t kMaxInbox = 256;  // datagrams

  struct Delivery {
    int from = 0;
    std::string bytes;
  };
  struct Process {
    std::unique_ptr<Membership> member;
    // The generation grows with each start and exit, so that events of an earlier process are ignored.
    std::uint64_t generation = 0;
    Duration skew{0};
    bool suspended = false;
    std::vector<Delivery> inbox;  // the datagrams that arrive while the process is suspended
    TimePoint next_tick{0};
  };
  struct Event {
    TimePoint at{0};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  Process& process(int i) { return *processes_[static_cast<std::size_t>(i)]; }
  TimePoint LocalTime(int i) { return now_ + process(i).skew; }

  // Sends the member's datagrams, counts the deaths that it has declared, and schedules its next tick.
  void ProcessOutput(int i) {
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
    largest_datagram = std::max<std::uint64_t>(largest_datagram, datagram.bytes.size());
    const int to = static_cast<int>(datagram.to);
    if (to < 0 || to >= size() || cut(from, to) || RandomFraction() < faults.loss) return;
    for (int copies = RandomFraction() < faults.duplicated ? 2 : 1; copies > 0; --copies) {
      const auto spread = static_cast<std::uint64_t>((faults.max_delay - faults.min_delay).count()) + 1;
      const Duration delay = faults.min_delay + Duration(static_cast<std::int64_t>(random_() % spread));
      Schedule(delay, [this, from, to, bytes = datagram.bytes] { Deliver(from, to, bytes); });
    }
  }
  void CountDeath(int observer, const Change& change) {
    ++deaths;
    for (int other = 0; other < size(); ++other) {
      // Across a partition the observer cannot tell a live member from a dead one, so the death is not false.
      if (cut(observer, other) || cut(other, observer)) continue;
      if (name(other) != change.name || !alive(other)) continue;
      if (member(other).incarnation() == change.incarnation) ++false_deaths;
    }
  }
  void Deliver(int from, int to, const std::string& bytes) {
    Process& receiver = process(to);
    if (!receiver.member) return;
    if (receiver.suspended) {
      if (receiver.inbox.size() < kMaxInbox) receiver.inbox.push_back({from, bytes});
      return;
    }
    receiver.member->HandleDatagram(static_cast<PeerId>(from), bytes, LocalTime(to));
    ProcessOutput(to);
  }
  void ScheduleTick(int i) {
    Process& ticking = process(i);
    const TimePoint at = ticking.member->NextTick() - ticking.skew;
    if (at == ticking.next_tick) return;
    ticking.next_tick = at;
    Schedule(std::max(at, now_) - now_, [this, i, at, generation = ticking.generation] {
      if (process(i).generation == generation && process(i).next_tick == at) Tick(i);
    });
  }
  void Tick(int i) {
    Process& ticking = process(i);
    if (!ticking.member || ticking.suspended) return;
    ticking.member->Tick(LocalTime(i));
    ProcessOutput(i);
  }

  Limits limits_;
  DisabledDefense disabled_;
  std::mt19937_64 random_;
  // The virtual time starts at a date of this century, since incarnations count from the Unix epoch.
  TimePoint now_{std::chrono::hours(24 * 365 * 56)};
  std::uint64_t next_event_ = 0;
  std::vector<std::unique_ptr<Process>> processes_;
  std::priority_queue<Event> events_;
};

}  // namespace postspread::membership::testing

#endif  // POSTSPREAD_TESTS_MEMBERSHIP_MODEL_H_
