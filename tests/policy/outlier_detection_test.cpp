// Tests the ejection of upstreams that fail or don't respond in time.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(OutlierDetection, GivenADrainingOrEjectedUpstreamWhenUpstreamsAreCountedThenItIsAvoided) {
  TestGateway gateway;
  gateway.SetUpstreams({{"s1", "a"}, {"s2", "b"}, {"s3", "a"}});
  gateway.AddRequest(1, 1);
  gateway.ReplyToCall(1);
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 0U);
  gateway.FinishAttempt(0, Outcome::kConnectFailed);  // responses are rare, so one failure suffices
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 1U);
  EXPECT_EQ(gateway.controller().Count(gateway.now + seconds(2)).avoided, 0U);
  gateway.SetUpstreams({{"s1", "a"}, {"s2", "b"}}, EndpointState::kDraining);
  EXPECT_EQ(gateway.controller().Count(gateway.now).total, 2U);
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 2U);
}

// Guards against upstreams that retain their traffic although they never respond in time. This happens when
// each gateway sends few attempts to each upstream, and ends them by its own timeouts.
TEST(OutlierDetection, GivenUpstreamsThatNeverRespondInTimeWhenGatewaysSendThenTheyLoseTheirTraffic) {
  constexpr int kUpstreams = 60;
  constexpr int kRequests = 60;
  std::vector<TestUpstream> upstreams;
  upstreams.reserve(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) upstreams.push_back({"s" + std::to_string(100 + i), "a"});
  for (const int gateways : {3, 30, 300}) {
    std::size_t without_response = 0;
    std::size_t late_without_response = 0;  // counts the second half of the requests only
    for (int rank = 0; rank < gateways; ++rank) {
      Settings settings = SettingsWithoutQuota();
      settings.group_size = gateways;
      settings.rank = rank;
      TestGateway gateway(settings, seconds(1000), static_cast<std::uint64_t>(rank));
      gateway.SetUpstreams(upstreams);
      for (int request = 1; request <= kRequests; ++request) {
        gateway.AddRequest(static_cast<RequestId>(request), 0);
        const bool responds =
            gateway.sends.back().upstream.back() % 2 != 0;  // every other one never responds
        if (responds) {
          gateway.Advance(milliseconds(200));
          gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
          continue;
        }
        ++without_response;
        if (request > kRequests / 2) ++late_without_response;
        OutcomeEvent event;
        event.id = static_cast<RequestId>(request);
        event.upstream = gateway.sends.back().upstream;
        event.outcome = Outcome::kCancelled;
        event.elapsed = seconds(1);
        event.final = true;
        gateway.Advance(seconds(1));
        ASSERT_FALSE(gateway.cancels.empty());
        gateway.Handle(event);
      }
    }
    EXPECT_LT(static_cast<double>(late_without_response), 0.2 * gateways * kRequests / 2) << gateways;
    EXPECT_LT(static_cast<double>(without_response), 0.25 * gateways * kRequests) << gateways;
  }
}

}  // namespace
}  // namespace postspread::policy
