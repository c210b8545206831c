// Which server an attempt goes to.
#include <gtest/gtest.h>

#include <string>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(UpstreamSelector, KeyedRequestStaysWithinTheScopeOfItsKey) {
  TestGateway gateway;
  gateway.SetServers({{"s1", "a"}, {"s2", "b"}, {"s3", "a"}, {"s4", "b"}});
  for (RequestId id = 1; id <= 8; ++id) {
    gateway.AddRequest(id, 0.1, {.class_name = kKeyed});
    gateway.ReplyToCall(0.1 * static_cast<double>(id));
    const std::size_t first = gateway.sends.size() - 1;
    gateway.FinishAttempt(first, Outcome::kReset);
    for (std::size_t i = first + 1; i < gateway.sends.size(); ++i) {
      const auto zone = [](const std::string& id) { return id == "s1" || id == "s3" ? "a" : "b"; };
      EXPECT_STREQ(zone(gateway.sends[i].server), zone(gateway.sends[first].server));
    }
  }
  EXPECT_TRUE(gateway.rejects.empty());
}

TEST(UpstreamSelector, DrainingServerGetsNothing) {
  TestGateway gateway;
  gateway.SetServers({{"s1", "a"}, {"s2", "b"}}, ServerState::kDraining);
  gateway.AddRequest(1, 1);
  gateway.ReplyToCall(1);
  gateway.Advance(seconds(2));
  EXPECT_TRUE(gateway.sends.empty());
}

TEST(UpstreamSelector, ServerWithoutALoadReportIsNotTakenForIdle) {
  TestGateway gateway(SettingsWithoutQuota());
  gateway.SetServers({{"s1", "a"}});
  RequestId id = 0;
  const auto serve = [&](double outstanding) {
    gateway.AddRequest(++id, 1);
    OutcomeEvent event;
    event.id = id;
    event.server = gateway.sends.back().server;
    event.elapsed = milliseconds(50);
    event.final = true;
    if (event.server == "s1") event.load.outstanding = outstanding;
    gateway.Handle(event);
    gateway.Advance(milliseconds(1));
    return event.server;
  };
  for (int i = 0; i < 200; ++i) serve(20);
  gateway.SetServers({{"s1", "a"}, {"s2", "a"}});
  serve(2);
  int reporting = 0;
  for (int i = 0; i < 100; ++i) reporting += serve(2) == "s1" ? 1 : 0;
  EXPECT_GT(reporting, 80);
}

// Neither a server's own latency nor its zone's may keep it idle for good. The parameter is its zone.
class OnceSlowServer : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Zones, OnceSlowServer, testing::Values("a", "b"));

TEST_P(OnceSlowServer, IsTriedAgainAfterAWhile) {
  Settings settings = SettingsWithoutQuota();
  settings.classes[0].latency_objective = seconds(10);
  TestGateway gateway(settings);
  gateway.SetServers({{"s1", GetParam()}, {"s2", "a"}});
  RequestId id = 0;
  // Serves so many requests; returns how many of them went to s1, which takes `slow`.
  const auto serve = [&gateway, &id](int requests, Duration slow) {
    int at_slow = 0;
    for (int i = 0; i < requests; ++i) {
      gateway.AddRequest(++id, 0, {.time_left = seconds(9)});
      const std::string server = gateway.sends.back().server;
      const Duration elapsed = server == "s1" ? slow : Duration(milliseconds(50));
      at_slow += server == "s1" ? 1 : 0;
      gateway.Advance(elapsed);
      gateway.Handle(OutcomeEvent{.id = id,
                                  .server = server,
                                  .outcome = Outcome::kOk,
                                  .elapsed = elapsed,
                                  .final = true,
                                  .load = {}});
    }
    return at_slow;
  };
  EXPECT_GE(serve(40, milliseconds(700)), 1);
  EXPECT_LE(serve(10, milliseconds(700)), 1);
  serve(80, milliseconds(50));  // some four seconds, in which the latency of s1 fades
  EXPECT_GE(serve(40, milliseconds(50)), 5);
}

}  // namespace
}  // namespace postspread::policy
