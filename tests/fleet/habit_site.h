// One real gateway that serves, clients of every habit on it, and what is checked of any path.
#ifndef POSTSPREAD_TESTS_FLEET_HABIT_SITE_H_
#define POSTSPREAD_TESTS_FLEET_HABIT_SITE_H_

#include <catch2/catch.hpp>

#include "fleet/habit_client.h"
#include "fleet/rig.h"
#include "safety/rules.h"

namespace postspread::fleet_rig {

inline constexpr milliseconds kDrainAllowed{4'000};
inline constexpr milliseconds kRecent{2'000};
inline constexpr milliseconds kServes{1'300};    // after its start
inline constexpr milliseconds kHabitual{400};    // in which each habit shows
inline constexpr milliseconds kFrontSends{300};  // after a drain call or SIGTERM
inline constexpr milliseconds kMayKill{3'700};   // after SIGTERM
inline constexpr milliseconds kCameEarly{700};   // after SIGTERM
inline constexpr milliseconds kService{120};     // longer than the pause between two requests by the clock
inline constexpr std::size_t kLargeValue = 30'000;

// One gateway that serves, and clients of every habit.
struct HabitSite {
  explicit HabitSite(Options options = {}) : rig(OneGateway(std::move(options))) {
    rig.nodes().least_service = kService;
    rig.nodes().value_size = [](std::string_view id) { return WantsLargeAnswer(id) ? kLargeValue : 0; };
    rig.nodes().on_attempt = [this](int, std::string_view id, std::string_view) {
      if (RequestRecord* record = ledger.Find(id)) ++record->attempts;
    };
    ledger.on_fault = [](const std::string& what) { FAIL_CHECK(what); };
    rig.StartAll();
    rig.Run(kServes);
  }
  static Options OneGateway(Options options) {
    options.gateways = 1;
    options.view = false;
    return options;
  }
  void ConnectAll(int each) {
    for (const Habit habit : kHabits) {
      for (int i = 0; i < each; ++i) {
        HabitClient::Target target{.port = rig.port(0), .deadline = deadline};
        if (all_classes && habit != Habit::kSlowReader) {
          target.classes = {RequestClass::kIdempotent, RequestClass::kIdempotencyKey,
                            RequestClass::kNotIdempotent};
        }
        clients.push_back(
            std::make_unique<HabitClient>(rig.base(), ledger, target, habit, clients.size() + 1));
      }
    }
  }
  // Each habit, from before what happens and from within the time in which the front still sends.
  Clock::time_point Play(const std::function<void()>& happens) {
    ConnectAll(3);
    rig.Run(kHabitual);
    happens();
    const auto at = Clock::now();
    rig.Run(kFrontSends);
    ConnectAll(1);
    return at;
  }
  void RunUntil(Clock::time_point when) {
    rig.Run(std::chrono::duration_cast<milliseconds>(when - Clock::now()));
  }
  // What was read is answered: a request that was sent on was read.
  void CheckAnswered() {
    for (const auto& [id, record] : ledger.records()) {
      if (record.end != RequestEnd::kConnectionEnded || record.client_left || CutByKill(record)) continue;
      INFO("request " << id << " of a client " << Name(record.habit));
      CHECK(record.attempts == 0);
    }
  }
  // Runs until the platform may kill. A process that is still there has only clients that read slowly left,
  // and is killed: then what came within 0.7 s of SIGTERM may go unanswered, as the protocol page has it.
  void EndOrKill(Clock::time_point stopped) {
    RunUntil(stopped + kMayKill);
    if (!rig.alive(0)) return;
    for (const auto& client : clients) {
      INFO(Name(client->habit()));
      CHECK((client->habit() == Habit::kSlowReader || !client->open() || client->never_connected()));
    }
    rig.Kill(0);
    killed_after_stop = stopped;
    rig.Run(milliseconds(600));
  }
  bool CutByKill(const RequestRecord& record) const {
    return killed_after_stop && record.habit == Habit::kSlowReader &&
           record.written <= *killed_after_stop + kCameEarly;
  }
  void CheckRules() {
    rig.ReadMetrics();
    for (std::size_t i = 0; i < safety::kRules; ++i) {
      const std::string rule(safety::Name(safety::Rule(i)));
      INFO(rule);
      CHECK(rig.Metric(0, "svc_rule_violations{rule=\"" + rule + "\"}") == 0);
    }
  }
  void CheckDrained() {
    for (const auto& client : clients) {
      INFO(Name(client->habit()) << ", pending " << client->pending());
      CHECK(MayBeHeld(*client));
    }
  }
  bool MayBeHeld(const HabitClient& client) {
    if (client.habit() == Habit::kSlowReader) return NoneTakenLately(client.habit());
    return !client.open() || (client.pending() > 0 && Clock::now() - client.last_written() > kRecent);
  }
  // A client that reads slowly sees the end of its connection only behind the answers that it has not read,
  // and writes on until then: what it wrote lately must not have been taken.
  bool NoneTakenLately(Habit habit) {
    for (const auto& [id, record] : ledger.records()) {
      const bool lately = Clock::now() - record.written < kRecent;
      if (record.habit == habit && lately && record.attempts > 0) return false;
    }
    return true;
  }
  // Counts the attempts that are told more time than their client has left, 0.25 s allowed, as the nodes,
  // which are asked in this process too, hear of them.
  void WatchTold() {
    rig.nodes().on_attempt = [this](int, std::string_view id, std::string_view extras) {
      RequestRecord* record = ledger.Find(id);
      if (record == nullptr) return;
      ++record->attempts;
      const milliseconds told(std::stol(partners::Member(extras, "d")));
      ++attempts;
      told_too_long += Clock::now() + told > record->written + record->deadline + milliseconds(250);
    };
  }
  std::atomic<std::uint32_t>& FailuresOf(FaultyCall call) {
    return rig.faults(0).per_mille[static_cast<std::size_t>(call)];
  }
  // No unsafe request came to a node twice, and no keyed change was made twice.
  void CheckRunOnce() {
    for (const auto& [id, record] : ledger.records()) {
      if (record.request_class == RequestClass::kNotIdempotent) CHECK(record.attempts <= 1);
    }
    for (const auto& [key, times] : rig.nodes().applied) CHECK(times <= 1);
  }
  // Each request that was written got its answer by its deadline and half a second, of clients that read.
  void CheckInTime() {
    constexpr milliseconds kGrace{500};
    for (const auto& [id, record] : ledger.records()) {
      if (record.written == Clock::time_point() || record.client_left) continue;
      if (record.habit == Habit::kSlowReader) continue;
      const auto ended = record.end == RequestEnd::kPending ? Clock::now() : record.ended;
      INFO("request " << id << " of a client " << Name(record.habit));
      CHECK(ended - record.written <= record.deadline + kGrace);
    }
  }
  milliseconds deadline{2'500};  // of what clients ask from now on
  bool all_classes = false;      // clients send requests of all classes, not only safe ones
  int attempts = 0, told_too_long = 0;
  std::optional<Clock::time_point> killed_after_stop;
  Rig rig;
  RequestLedger ledger;
  std::vector<std::unique_ptr<HabitClient>> clients;
};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_HABIT_SITE_H_
