// Retries, cancellation and idle closes against clients of each behavior, with real processes: the paths on
// which a request is repeated, abandoned, or crosses the close of its connection.
#include <catch2/catch.hpp>

#include "fleet/habit_site.h"

namespace postspread::fleet_rig {
namespace {

constexpr milliseconds kResetPeriod{70};  // below the service time, so that most attempts are interrupted
constexpr int kResets = 15;

Options AllClasses() {
  Options out;
  out.more_classes = AdditionalRequestClasses();
  return out;
}

struct RetryFixture : ClientBehaviorFixture {
  explicit RetryFixture(Options options = AllClasses()) : ClientBehaviorFixture(std::move(options)) {
    all_classes = true;
    TrackDeadlines();
  }
  // Resets all upstream connections every kResetPeriod. With `connect_meanwhile`, clients of each behavior
  // connect during that time, too.
  void ResetUpstreamsRepeatedly(bool connect_meanwhile = false) {
    for (int i = 0; i < kResets; ++i) {
      rig.ResetConnections(0, Rig::Service::kUpstreams);
      if (connect_meanwhile && i % 5 == 0) ConnectAll(1);
      rig.Run(kResetPeriod);
    }
  }
  // Counts the attempts that arrive at an upstream more than 0.25 s after their client disconnected. The
  // gateway may start attempts for 0.1 s; 0.15 s are allowed for the transfer.
  void CountLateAttempts() {
    rig.upstreams().on_attempt = [this, count_attempt = rig.upstreams().on_attempt](
                                     int upstream, std::string_view id, std::string_view extras) {
      count_attempt(upstream, id, extras);
      const RequestRecord* record = request_log.Find(id);
      late_attempts += record != nullptr && record->client_disconnected &&
                       Clock::now() - record->ended > milliseconds(250);
    };
  }
  void DisconnectAll() {
    for (const auto& client : clients) client->Disconnect();
  }
  // Verifies the requests after all clients have disconnected.
  void CheckAll() {
    CHECK(attempts > 0);
    CHECK(deadlines_too_long == 0);
    CheckNoDuplicates();
    CheckAnswered();
    CheckDeadlines();
    CheckRules();
  }
  int late_attempts = 0;
};

TEST_CASE(
    "given clients of each behavior, when upstream connections reset, then no non-idempotent request runs "
    "twice and all responses are in time") {
  RetryFixture fixture;
  fixture.ConnectAll(2);
  fixture.rig.Run(kStartUpTime);
  fixture.ResetUpstreamsRepeatedly(/*connect_meanwhile=*/true);
  fixture.rig.Run(milliseconds(3'200));
  fixture.DisconnectAll();
  fixture.CheckAll();
}

TEST_CASE(
    "given clients of each behavior, when dials fail during retries, then no non-idempotent request runs "
    "twice and all responses are in time") {
  Options options = AllClasses();
  options.fault_shim = FAULT_SHIM;
  RetryFixture fixture(options);
  fixture.ConnectAll(2);
  fixture.rig.Run(kStartUpTime);
  fixture.FailureRate(FaultyCall::kConnect) = 500;
  fixture.FailureRate(FaultyCall::kSocket) = 300;
  fixture.ResetUpstreamsRepeatedly();
  fixture.FailureRate(FaultyCall::kConnect) = 0;
  fixture.FailureRate(FaultyCall::kSocket) = 0;
  fixture.rig.Run(milliseconds(3'200));
  fixture.DisconnectAll();
  fixture.CheckAll();
}

TEST_CASE(
    "given upstream connections that reset, when clients of each behavior disconnect, then no attempt starts "
    "for them") {
  RetryFixture fixture;
  fixture.CountLateAttempts();
  fixture.ConnectAll(3);
  fixture.rig.Run(kStartUpTime);
  fixture.ConnectAll(1);  // clients that have only just connected
  fixture.rig.Run(milliseconds(20));
  fixture.rig.ResetConnections(0, Rig::Service::kUpstreams);
  fixture.DisconnectAll();
  fixture.ResetUpstreamsRepeatedly();
  CHECK(fixture.late_attempts == 0);
  CHECK(fixture.deadlines_too_long == 0);
  fixture.CheckNoDuplicates();
  fixture.CheckRules();
}

TEST_CASE(
    "given upstreams that do not respond, when clients disconnect, then no attempt starts for them later") {
  RetryFixture fixture;
  fixture.CountLateAttempts();
  bool hangs = true;
  fixture.rig.upstreams().hangs = [&hangs](int) { return hangs; };
  fixture.ConnectAll(3);
  fixture.rig.Run(kStartUpTime);
  fixture.DisconnectAll();
  fixture.rig.Run(milliseconds(500));
  hangs = false;
  fixture.ResetUpstreamsRepeatedly();
  fixture.rig.Run(milliseconds(1'000));
  CHECK(fixture.late_attempts == 0);
  fixture.CheckNoDuplicates();
  fixture.CheckRules();
}

// After SIGCONT, the event loop may report the failed attempts before it reports the disconnected clients, so
// that the gateway would retry for a client that has already disconnected.
TEST_CASE(
    "given a suspended gateway, when clients disconnect and it is resumed, then it retries nothing for "
    "them") {
  RetryFixture fixture;
  fixture.CountLateAttempts();
  fixture.ConnectAll(10);
  fixture.rig.Run(kStartUpTime);
  fixture.rig.Stop(0);
  fixture.rig.ResetConnections(0, Rig::Service::kUpstreams);
  fixture.rig.Run(milliseconds(50));
  fixture.DisconnectAll();
  fixture.rig.Run(milliseconds(400));
  fixture.rig.Continue(0);
  fixture.rig.Run(milliseconds(800));
  CHECK(fixture.late_attempts == 0);
  CHECK(fixture.deadlines_too_long == 0);
  fixture.CheckNoDuplicates();
  fixture.CheckRules();
}

TEST_CASE(
    "given an upstream that never responds, when a request has 1 to 60 ms left, then it receives a response "
    "in time") {
  constexpr int kDeadlines[] = {1, 5, 20, 60};
  RetryFixture fixture;
  fixture.rig.upstreams().hangs = [](int upstream) { return upstream == 0; };
  for (const int deadline : kDeadlines) {
    fixture.deadline = milliseconds(deadline);
    fixture.ConnectAll(1);
  }
  fixture.rig.Run(milliseconds(2'000));
  fixture.DisconnectAll();
  fixture.CheckAll();
}

TEST_CASE(
    "given clients of each behavior and many idle ones, when the gateway closes or evicts some, then no "
    "forwarded request loses its response") {
  constexpr int kInactiveClients = 400;
  ClientBehaviorFixture fixture;
  fixture.ConnectAll(3);
  fixture.rig.Run(kStartUpTime);
  std::vector<std::unique_ptr<ScriptedClient>> inactive_clients;
  for (int i = 0; i < kInactiveClients; ++i) {
    const ClientBehavior behavior = i % 3 == 0   ? ClientBehavior::kPartialCommand
                                    : i % 3 == 1 ? ClientBehavior::kSilent
                                                 : ClientBehavior::kIdle;
    inactive_clients.push_back(std::make_unique<ScriptedClient>(
        fixture.rig.base(), fixture.request_log, ScriptedClient::Target{.port = fixture.rig.port(0)},
        behavior, 1'000 + i));
  }
  // The gateway has to reject a partial command, or close its connection, within 3 s.
  fixture.rig.Run(milliseconds(3'000));
  for (const auto& client : inactive_clients) {
    if (client->behavior() != ClientBehavior::kIdle) CHECK_FALSE(client->open());
  }
  fixture.rig.Run(milliseconds(1'000));
  fixture.CheckAnswered();
  fixture.CheckDeadlines();
  fixture.CheckRules();
}

TEST_CASE(
    "given a low descriptor limit, when the gateway evicts connections, then no client loses responses it "
    "has not read") {
  constexpr int kInactiveClients = 250;
  ClientBehaviorFixture fixture({.sockets = 200});
  fixture.ConnectAll(3);
  fixture.rig.Run(kStartUpTime);
  std::vector<std::unique_ptr<ScriptedClient>> inactive_clients;
  inactive_clients.reserve(kInactiveClients);
  for (int i = 0; i < kInactiveClients; ++i) {
    inactive_clients.push_back(std::make_unique<ScriptedClient>(
        fixture.rig.base(), fixture.request_log, ScriptedClient::Target{.port = fixture.rig.port(0)},
        ClientBehavior::kIdle, 1'000 + i));
  }
  fixture.rig.Run(milliseconds(1'000));
  fixture.rig.ReadMetrics();
  CHECK(fixture.rig.Metric(0, "svc_client_connections_closed{reason=\"evicted\"}") > 0);
  fixture.CheckAnswered();
  fixture.CheckRules();
}

}  // namespace
}  // namespace postspread::fleet_rig
