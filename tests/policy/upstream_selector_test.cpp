// Tests the selection of the upstream for an attempt.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

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

// What the endpoint list does to the upstream of an attempt whose request is then retried.
enum class ListChange { kRemovedByName, kMovedToOtherGroup, kLeftOutOfSnapshot };

struct ScopeCase {
  KeyScope scope;
  ListChange change;
};

// Guards against a change under a key that was applied again in another cell or zone: the retry was sent by
// what the list said of the upstream at the time of the retry.
class KeyScopeAfterListChange : public testing::TestWithParam<ScopeCase> {
 protected:
  static EndpointInfo Endpoint(const std::string& id) {
    const bool is_first_group = id == "s1" || id == "s3";
    EndpointInfo info;
    info.id = id;
    info.zone = is_first_group ? "a" : "b";
    info.cell = is_first_group ? 1 : 0;
    return info;
  }
  static Settings KeyedSettings() {
    Settings settings = SettingsWithoutQuota();
    settings.classes[2].scope = GetParam().scope;
    return settings;
  }
  void ChangeList(const std::string& id) {
    EndpointInfo changed;
    changed.id = id;
    switch (GetParam().change) {
      case ListChange::kRemovedByName:
        changed.state = EndpointState::kRemoved;
        break;
      case ListChange::kMovedToOtherGroup:
        changed = Endpoint(Endpoint(id).cell == 1 ? "s2" : "s1");
        changed.id = id;
        changed.started = gateway_.now;
        break;
      case ListChange::kLeftOutOfSnapshot: {
        std::vector<EndpointInfo> others = all_;
        std::erase_if(others, [&id](const EndpointInfo& info) { return info.id == id; });
        gateway_.SetEndpointList(others);
        return;
      }
    }
    gateway_.Handle(EndpointListEvent{EndpointListKind::kPartial, 2,
                                      std::make_shared<const std::vector<EndpointInfo>>(1, changed)});
  }

  TestGateway gateway_{KeyedSettings()};
  std::vector<EndpointInfo> all_{Endpoint("s1"), Endpoint("s2"), Endpoint("s3"), Endpoint("s4")};
};

INSTANTIATE_TEST_SUITE_P(ScopesAndChanges, KeyScopeAfterListChange,
                         testing::Values(ScopeCase{KeyScope::kCell, ListChange::kRemovedByName},
                                         ScopeCase{KeyScope::kZone, ListChange::kRemovedByName},
                                         ScopeCase{KeyScope::kCell, ListChange::kMovedToOtherGroup},
                                         ScopeCase{KeyScope::kZone, ListChange::kMovedToOtherGroup},
                                         ScopeCase{KeyScope::kCell, ListChange::kLeftOutOfSnapshot},
                                         ScopeCase{KeyScope::kZone, ListChange::kLeftOutOfSnapshot}));

TEST_P(KeyScopeAfterListChange, GivenARequestThatMayHaveRunThenItsRetryGoesToTheGroupOfItsAttempt) {
  for (RequestId id = 1; id <= 8; ++id) {
    gateway_.SetEndpointList(all_);
    const std::size_t first = gateway_.sends.size();
    gateway_.AddRequest(id, 0, {.class_name = kKeyed});
    ASSERT_EQ(gateway_.sends.size(), first + 1);
    ChangeList(gateway_.sends[first].upstream);
    gateway_.FinishAttempt(first, Outcome::kReset);
    ASSERT_EQ(gateway_.sends.size(), first + 2);
    EXPECT_EQ(Endpoint(gateway_.sends[first].upstream).cell,
              Endpoint(gateway_.sends[first + 1].upstream).cell);
    EXPECT_NE(gateway_.sends[first].upstream, gateway_.sends[first + 1].upstream);
    gateway_.FinishAttempt(first + 1, Outcome::kOk, {.attempt = 1});
  }
}

TEST_P(KeyScopeAfterListChange, GivenAnUpstreamThatIsForgottenThenItsAttemptStillBindsTheNextRetry) {
  gateway_.SetEndpointList(all_);
  gateway_.AddRequest(1, 0, {.class_name = kKeyed});
  gateway_.FinishAttempt(0, Outcome::kReset);
  ASSERT_EQ(gateway_.sends.size(), 2U);
  ChangeList(gateway_.sends[0].upstream);
  gateway_.Advance(milliseconds(150));  // the maintenance forgets upstreams that are not listed
  gateway_.FinishAttempt(1, Outcome::kReset, {.attempt = 1});
  ASSERT_EQ(gateway_.sends.size(), 3U);
  EXPECT_EQ(gateway_.sends[2].upstream, gateway_.sends[1].upstream);
}

TEST(UpstreamSelector, GivenAnUpstreamThatHasRestartedWhenItsFormerAttemptsFailThenItIsNotEjected) {
  TestGateway gateway(SettingsWithoutQuota());
  EndpointInfo endpoint;
  endpoint.id = "s1";
  endpoint.zone = "a";
  gateway.SetEndpointList({endpoint});
  for (RequestId id = 1; id <= 20; ++id) gateway.AddRequest(id, 0, {.class_name = kNonIdempotent});
  const std::size_t count = gateway.sends.size();
  ASSERT_EQ(count, 20U);
  endpoint.started = gateway.now;
  EndpointInfo other = endpoint;
  other.id = "s2";
  gateway.SetEndpointList({endpoint, other});
  for (std::size_t i = 0; i < count; ++i) gateway.FinishAttempt(i, Outcome::kReset);
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 0U);
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
