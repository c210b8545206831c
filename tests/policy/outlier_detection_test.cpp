// Ejection of servers that fail or don't answer in time.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(OutlierDetection, DrainingAndEjectedServersCountAsAvoided) {
  TestGateway gateway;
  gateway.SetServers({{"s1", "a"}, {"s2", "b"}, {"s3", "a"}});
  gateway.AddRequest(1, 1);
  gateway.ReplyToCall(1);
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 0U);
  gateway.FinishAttempt(0, Outcome::kConnectFailed);  // heard seldom, so one failure ejects it
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 1U);
  EXPECT_EQ(gateway.controller().Count(gateway.now + seconds(2)).avoided, 0U);
  gateway.SetServers({{"s1", "a"}, {"s2", "b"}}, ServerState::kDraining);
  EXPECT_EQ(gateway.controller().Count(gateway.now).total, 2U);
  EXPECT_EQ(gateway.controller().Count(gateway.now).avoided, 2U);
}

// Each gateway sends to each server too seldom to see much of it, and the attempts end by the gateways' own
// timeouts.
TEST(OutlierDetection, ServersThatNeverAnswerInTimeLoseTheirTrafficFromAnyNumberOfGateways) {
  constexpr int kServers = 60;
  constexpr int kRequests = 60;
  std::vector<TestServer> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) servers.push_back({"s" + std::to_string(100 + i), "a"});
  for (const int gateways : {3, 30, 300}) {
    std::size_t unanswered = 0;
    std::size_t unanswered_late = 0;  // in the second half
    for (int rank = 0; rank < gateways; ++rank) {
      Settings settings = SettingsWithoutQuota();
      settings.group_size = gateways;
      settings.rank = rank;
      TestGateway gateway(settings, seconds(1000), static_cast<std::uint64_t>(rank));
      gateway.SetServers(servers);
      for (int request = 1; request <= kRequests; ++request) {
        gateway.AddRequest(static_cast<RequestId>(request), 0);
        const bool answers = gateway.sends.back().server.back() % 2 != 0;  // every other server never does
        if (answers) {
          gateway.Advance(milliseconds(200));
          gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
          continue;
        }
        ++unanswered;
        if (request > kRequests / 2) ++unanswered_late;
        OutcomeEvent event;
        event.id = static_cast<RequestId>(request);
        event.server = gateway.sends.back().server;
        event.outcome = Outcome::kCancelled;
        event.elapsed = seconds(1);
        event.final = true;
        gateway.Advance(seconds(1));
        ASSERT_FALSE(gateway.cancels.empty());
        gateway.Handle(event);
      }
    }
    EXPECT_LT(static_cast<double>(unanswered_late), 0.2 * gateways * kRequests / 2) << gateways;
    EXPECT_LT(static_cast<double>(unanswered), 0.25 * gateways * kRequests) << gateways;
  }
}

}  // namespace
}  // namespace postspread::policy
