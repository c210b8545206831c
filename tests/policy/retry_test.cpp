// Tests retries and hedged requests, and that non-idempotent requests run at most once.
#include <gtest/gtest.h>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

// The gateway must neither hedge nor migrate the request, nor end it because its upstream doesn't respond.
TEST(Retry, GivenANonIdempotentRequestWhenItsUpstreamHangsThenTheAttemptContinues) {
  for (const bool hedging : {true, false}) {
    Settings settings = SettingsWithoutQuota();
    settings.hedging_allowed = hedging;
    settings.classes[1].key_ttl = seconds(60);  // the ttl has no effect without a key
    TestGateway gateway(settings);
    gateway.AddRequest(1, 1, {.class_name = kNonIdempotent, .time_left = seconds(2)});
    gateway.Advance(milliseconds(1'500));
    EXPECT_EQ(gateway.sends.size(), 1U);
    EXPECT_TRUE(gateway.cancels.empty());
    EXPECT_TRUE(gateway.fails.empty() && gateway.rejects.empty());
    gateway.FinishAttempt(0, Outcome::kReset);
    EXPECT_EQ(gateway.sends.size(), 1U);
    EXPECT_EQ(gateway.fails.size(), 1U);
  }
}

TEST(Retry, GivenANonIdempotentRequestThatMayHaveRunWhenItsAttemptEndsThenItFails) {
  TestGateway gateway;
  gateway.AddRequest(1, 1, {.class_name = kNonIdempotent});
  gateway.ReplyToCall(1);
  gateway.FinishAttempt(0, Outcome::kReset);
  EXPECT_EQ(gateway.sends.size(), 1U);
  EXPECT_TRUE(gateway.rejects.empty());
  EXPECT_EQ(gateway.fails.size(), 1U);
}

TEST(Retry, GivenANonIdempotentRequestThatNeverRanWhenItsAttemptEndsThenAnotherUpstreamReceivesTheRetry) {
  TestGateway gateway;
  gateway.AddRequest(1, 1, {.class_name = kNonIdempotent});
  gateway.ReplyToCall(1);
  gateway.FinishAttempt(0, Outcome::kRejected);
  ASSERT_EQ(gateway.sends.size(), 2U);
  EXPECT_NE(gateway.sends[0].upstream, gateway.sends[1].upstream);
}

// Hedged requests would lengthen the queue that delays them.
TEST(Retry, GivenAQueueWhenAttemptsAreLateThenNoRequestIsHedged) {
  for (const bool queue : {false, true}) {
    Settings settings = SettingsWithoutQuota();
    settings.hedging_allowed = true;
    TestGateway gateway(settings);
    for (RequestId id = 1; id <= 200; ++id) {  // the service time without queueing is 50 ms
      gateway.AddRequest(id, 0);
      gateway.Advance(milliseconds(50));
      gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
    }
    const std::size_t before = gateway.sends.size();
    const RequestId first = 1000;
    const RequestId last = queue ? 1040 : 1000;
    for (RequestId id = first; id <= last; ++id) gateway.AddRequest(id, 0);
    gateway.Advance(milliseconds(400));
    const std::size_t hedged = gateway.sends.size() - before - (last - first + 1);
    if (queue) {
      EXPECT_EQ(hedged, 0U);
    } else {
      EXPECT_GE(hedged, 1U);
    }
  }
}

}  // namespace
}  // namespace postspread::policy
