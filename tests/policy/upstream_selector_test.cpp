// Tests the selection of the upstream for an attempt.
#include <gtest/gtest.h>

#include <string>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(UpstreamSelector, GivenAKeyedRequestThatMayHaveRunWhenItIsRetriedThenTheUpstreamIsInItsKeyScope) {
  TestGateway gateway;
  gateway.SetUpstreams({{"s1", "a"}, {"s2", "b"}, {"s3", "a"}, {"s4", "b"}});
  for (RequestId id = 1; id <= 8; ++id) {
    gateway.AddRequest(id, 0.1, {.class_name = kKeyed});
    gateway.ReplyToCall(0.1 * static_cast<double>(id));
    const std::size_t first = gateway.sends.size() - 1;
    gateway.FinishAttempt(first, Outcome::kReset);
    for (std::size_t i = first + 1; i < gateway.sends.size(); ++i) {
      const auto zone = [](const std::string& id) { return id == "s1" || id == "s3" ? "a" : "b"; };
      EXPECT_STREQ(zone(gateway.sends[i].upstream), zone(gateway.sends[first].upstream));
    }
  }
  EXPECT_TRUE(gateway.rejects.empty());
}

TEST(UpstreamSelector, GivenOnlyDrainingUpstreamsWhenARequestArrivesThenNothingIsSent) {
  TestGateway gateway;
  gateway.SetUpstreams({{"s1", "a"}, {"s2", "b"}}, EndpointState::kDraining);
  gateway.AddRequest(1, 1);
  gateway.ReplyToCall(1);
  gateway.Advance(seconds(2));
  EXPECT_TRUE(gateway.sends.empty());
}

TEST(UpstreamSelector, GivenAnUpstreamWithoutALoadReportWhenRequestsArriveThenItIsNotConsideredIdle) {
  TestGateway gateway(SettingsWithoutQuota());
  gateway.SetUpstreams({{"s1", "a"}});
  RequestId id = 0;
  const auto serve = [&](double outstanding) {
    gateway.AddRequest(++id, 1);
    OutcomeEvent event;
    event.id = id;
    event.upstream = gateway.sends.back().upstream;
    event.elapsed = milliseconds(50);
    event.final = true;
    if (event.upstream == "s1") event.load.outstanding = outstanding;
    gateway.Handle(event);
    gateway.Advance(milliseconds(1));
    return event.upstream;
  };
  for (int i = 0; i < 200; ++i) serve(20);
  gateway.SetUpstreams({{"s1", "a"}, {"s2", "a"}});
  serve(2);
  int reporting = 0;
  for (int i = 0; i < 100; ++i) reporting += serve(2) == "s1" ? 1 : 0;
  EXPECT_GT(reporting, 80);
}

// Guards against an upstream that stays idle for good because its own former latency or that of its zone
// still counts. The parameter is the zone of the upstream.
class FormerlySlowUpstream : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Zones, FormerlySlowUpstream, testing::Values("a", "b"));

TEST_P(FormerlySlowUpstream, GivenAnUpstreamThatWasSlowWhenItsLatencyHasFadedThenItReceivesAttemptsAgain) {
  Settings settings = SettingsWithoutQuota();
  settings.classes[0].latency_objective = seconds(10);
  TestGateway gateway(settings);
  gateway.SetUpstreams({{"s1", GetParam()}, {"s2", "a"}});
  RequestId id = 0;
  // Serves `requests` requests, and returns how many of them went to s1, whose latency is `slow`.
  const auto serve = [&gateway, &id](int requests, Duration slow) {
    int at_slow = 0;
    for (int i = 0; i < requests; ++i) {
      gateway.AddRequest(++id, 0, {.time_left = seconds(9)});
      const std::string upstream = gateway.sends.back().upstream;
      const Duration elapsed = upstream == "s1" ? slow : Duration(milliseconds(50));
      at_slow += upstream == "s1" ? 1 : 0;
      gateway.Advance(elapsed);
      gateway.Handle(OutcomeEvent{.id = id,
                                  .upstream = upstream,
                                  .outcome = Outcome::kOk,
                                  .elapsed = elapsed,
                                  .final = true,
                                  .load = {}});
    }
    return at_slow;
  };
  EXPECT_GE(serve(40, milliseconds(700)), 1);
  EXPECT_LE(serve(10, milliseconds(700)), 1);
  serve(80, milliseconds(50));  // this takes about four seconds, in which the latency of s1 fades
  EXPECT_GE(serve(40, milliseconds(50)), 5);
}

}  // namespace
}  // namespace postspread::policy
