// Test fixture of one real gateway process with scripted clients of every behavior, and the checks that hold
// on every path that ends connections or repeats requests.
#ifndef POSTSPREAD_TESTS_FLEET_HABIT_SITE_H_
#define POSTSPREAD_TESTS_FLEET_HABIT_SITE_H_

#include <catch2/catch.hpp>

#include "fleet/habit_client.h"
#include "fleet/rig.h"
#include "safety/rules.h"

namespace postspread::fleet_rig {

// The gateway has to close the connections within this time after a drain call.
inline constexpr milliseconds kDrainTimeout{4'000};
// After a drain, a connection may stay open only with requests in flight and no new request within this time.
inline constexpr milliseconds kRecentWriteWindow{2'000};
// The time from the start of the gateway process until it serves.
inline constexpr milliseconds kStartupTime{1'300};
// The time in which each client shows its behavior.
inline constexpr milliseconds kStartUpTime{400};
// The load balancer in front sends new connections for this long after a drain call or SIGTERM.
inline constexpr milliseconds kTrafficAfterDrain{300};
// The platform may send SIGKILL this long after SIGTERM.
inline constexpr milliseconds kKillTimeout{3'700};
// After a SIGKILL, requests that arrived this long after SIGTERM or earlier may remain without a response.
inline constexpr milliseconds kUnansweredWindow{700};
// Exceeds the interval between two requests of a client with a fixed rate.
inline constexpr milliseconds kServiceTime{120};
inline constexpr std::size_t kLargeValueBytes = 30'000;

// Owns the rig with one gateway, the clients and the records of their requests.
struct ClientBehaviorFixture {
  explicit ClientBehaviorFixture(Options options = {}) : rig(OneGateway(std::move(options))) {
    rig.upstreams().min_service_time = kServiceTime;
    rig.upstreams().value_size = [](std::string_view id) {
      return WantsLargeResponse(id) ? kLargeValueBytes : 0;
    };
    rig.upstreams().on_attempt = [this](int, std::string_view id, std::string_view) {
      if (RequestRecord* record = request_log.Find(id)) ++record->attempts;
    };
    request_log.on_mismatch = [](const std::string& what) { FAIL_CHECK(what); };
    rig.StartAll();
    rig.Run(kStartupTime);
  }
  static Options OneGateway(Options options) {
    options.gateways = 1;
    options.view = false;
    return options;
  }
  // Connects new clients of each behavior.
  void ConnectAll(int clients_per_behavior) {
    for (const ClientBehavior behavior : kClientBehaviors) {
      for (int i = 0; i < clients_per_behavior; ++i) {
        ScriptedClient::Target target{.port = rig.port(0), .deadline = deadline};
        if (all_classes && behavior != ClientBehavior::kSlowReader) {
          target.classes = {RequestClass::kIdempotent, RequestClass::kIdempotencyKey,
                            RequestClass::kNotIdempotent};
        }
        clients.push_back(
            std::make_unique<ScriptedClient>(rig.base(), request_log, target, behavior, clients.size() + 1));
      }
    }
  }
  // Runs `action` with clients of each behavior connected, then connects further ones while the load balancer
  // still sends connections. Returns the time at which `action` ended.
  Clock::time_point RunScenario(const std::function<void()>& action) {
    ConnectAll(3);
    rig.Run(kStartUpTime);
    action();
    const auto at = Clock::now();
    rig.Run(kTrafficAfterDrain);
    ConnectAll(1);
    return at;
  }
  void RunUntil(Clock::time_point when) {
    rig.Run(std::chrono::duration_cast<milliseconds>(when - Clock::now()));
  }
  // Checks that every request that reached an upstream has received a response, unless its client
  // disconnected or a SIGKILL ended it. A request that reached an upstream was read by the gateway.
  void CheckAnswered() {
    for (const auto& [id, record] : request_log.records()) {
      if (record.end != RequestEnd::kConnectionEnded || record.client_disconnected || ClosedByKill(record))
        continue;
      INFO("request " << id << " of a client " << Name(record.behavior));
      CHECK(record.attempts == 0);
    }
  }
  // Runs until the platform may send SIGKILL. A process that still runs then may have open connections only
  // to slow readers, and is killed. By the protocol specification, requests that arrived within 0.7 s after
  // SIGTERM may then remain without a response.
  void WaitOrKill(Clock::time_point terminated_at) {
    RunUntil(terminated_at + kKillTimeout);
    if (!rig.alive(0)) return;
    for (const auto& client : clients) {
      INFO(Name(client->behavior()));
      CHECK((client->behavior() == ClientBehavior::kSlowReader || !client->open() ||
             client->never_connected()));
    }
    rig.Kill(0);
    sigterm_before_kill = terminated_at;
    rig.Run(milliseconds(600));
  }
  bool ClosedByKill(const RequestRecord& record) const {
    return sigterm_before_kill && record.behavior == ClientBehavior::kSlowReader &&
           record.written <= *sigterm_before_kill + kUnansweredWindow;
  }
  // Checks that the gateway exports no violation of its own safety rules.
  void CheckRules() {
    rig.ReadMetrics();
    for (std::size_t i = 0; i < safety::kRules; ++i) {
      const std::string rule(safety::Name(safety::Rule(i)));
      INFO(rule);
      CHECK(rig.Metric(0, "svc_rule_violations{rule=\"" + rule + "\"}") == 0);
    }
  }
  // Checks that a drained gateway keeps only connections that it may keep.
  void CheckDrained() {
    for (const auto& client : clients) {
      INFO(Name(client->behavior()) << ", pending " << client->pending());
      CHECK(MayStayOpen(*client));
    }
  }
  bool MayStayOpen(const ScriptedClient& client) {
    if (client.behavior() == ClientBehavior::kSlowReader) return NoRecentRequestForwarded(client.behavior());
    return !client.open() ||
           (client.pending() > 0 && Clock::now() - client.last_written() > kRecentWriteWindow);
  }
  // A slow reader sees that its connection was closed only after it has read all earlier responses, and sends
  // requests until then. The gateway must not have forwarded the recent ones.
  bool NoRecentRequestForwarded(ClientBehavior behavior) {
    for (const auto& [id, record] : request_log.records()) {
      const bool is_recent = Clock::now() - record.written < kRecentWriteWindow;
      if (record.behavior == behavior && is_recent && record.attempts > 0) return false;
    }
    return true;
  }
  // Counts all attempts, and those whose deadline exceeds the remaining time of the client's request by more
  // than 0.25 s. The tolerance covers the delay of the upstreams, which run in this process as well.
  void TrackDeadlines() {
    rig.upstreams().on_attempt = [this](int, std::string_view id, std::string_view extras) {
      RequestRecord* record = request_log.Find(id);
      if (record == nullptr) return;
      ++record->attempts;
      const milliseconds sent_deadline(std::stol(partners::ExtraValue(extras, "d")));
      ++attempts;
      deadlines_too_long +=
          Clock::now() + sent_deadline > record->written + record->deadline + milliseconds(250);
    };
  }
  std::atomic<std::uint32_t>& FailureRate(FaultyCall call) {
    return rig.faults(0).per_mille[static_cast<std::size_t>(call)];
  }
  // Checks that no request that isn't idempotent arrived at an upstream twice, and that no change under an
  // idempotency key was applied twice.
  void CheckNoDuplicates() {
    for (const auto& [id, record] : request_log.records()) {
      if (record.request_class == RequestClass::kNotIdempotent) CHECK(record.attempts <= 1);
    }
    for (const auto& [key, times] : rig.upstreams().applied) CHECK(times <= 1);
  }
  // Checks that each complete request received its response, or lost its connection, within 0.5 s after its
  // deadline. Slow readers and clients that disconnected are exempt.
  void CheckDeadlines() {
    constexpr milliseconds kGrace{500};
    for (const auto& [id, record] : request_log.records()) {
      if (record.written == Clock::time_point() || record.client_disconnected) continue;
      if (record.behavior == ClientBehavior::kSlowReader) continue;
      const auto ended = record.end == RequestEnd::kPending ? Clock::now() : record.ended;
      INFO("request " << id << " of a client " << Name(record.behavior));
      CHECK(ended - record.written <= record.deadline + kGrace);
    }
  }
  milliseconds deadline{2'500};  // of all requests of clients that connect from now on
  bool all_classes = false;      // clients that connect from now on send requests of every retry safety
  int attempts = 0, deadlines_too_long = 0;
  std::optional<Clock::time_point> sigterm_before_kill;
  Rig rig;
  RequestLog request_log;
  std::vector<std::unique_ptr<ScriptedClient>> clients;
};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_HABIT_SITE_H_
