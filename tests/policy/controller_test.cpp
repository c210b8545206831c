// Tests that every request receives exactly one final response in time.
#include <gtest/gtest.h>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(Controller, GivenNoUpstreamWhenTheDeadlinePassesThenTheRequestHasOneFinalResponse) {
  TestGateway gateway;
  gateway.SetUpstreams({});
  gateway.AddRequest(1, 1, {.class_name = kNonIdempotent});
  gateway.ReplyToCall(1);
  gateway.Advance(seconds(1));
  EXPECT_EQ(gateway.rejects.size() + gateway.fails.size(), 1U);
}

TEST(Controller, GivenAnOpenRequestWhenSettingsChangeThenItRetainsItsClassAndMaximumAttempts) {
  TestGateway gateway;
  gateway.AddRequest(1, 1, {.class_name = kIdempotent});
  gateway.AddRequest(2, 1, {.class_name = kNonIdempotent});
  gateway.ReplyToCall(1);
  gateway.ReplyToCall(2);
  Settings next = DefaultSettings();
  next.classes[0].retry_safety = RetrySafety::kNotIdempotent;
  next.classes[1] = ClassSettings{};  // this index has no class any more
  next.max_attempts = 1;
  gateway.controller().Reconfigure(next);
  gateway.FinishAttempt(0, Outcome::kError);  // the request arrived as idempotent, with up to four attempts
  ASSERT_EQ(gateway.sends.size(), 3U);
  gateway.FinishAttempt(1, Outcome::kError);  // the request is still non-idempotent without its class
  EXPECT_EQ(gateway.sends.size(), 3U);
  EXPECT_EQ(gateway.fails.size(), 1U);
  gateway.AddRequest(3, 1, {.class_name = kIdempotent});
  gateway.ReplyToCall(3);
  ASSERT_EQ(gateway.sends.size(), 4U);
  gateway.FinishAttempt(3, Outcome::kRejected);  // the new settings allow only one attempt
  EXPECT_EQ(gateway.sends.size(), 4U);
}

// The FinalResponse tests cover each reason for ending a request without an upstream's response. The same
// call of Handle must return the final response, and a client that may retry must receive a retry-after.
TEST(FinalResponse, GivenATotalBeyondTheQuotaWhenTheCounterRepliesThenTheRequestIsRejectedAtOnce) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(40);
  ASSERT_EQ(gateway.rejects.size(), 1U);
  EXPECT_GT(gateway.rejects[0].retry_after, milliseconds(100));
}

TEST(FinalResponse, GivenACustomerWithoutQuotaLeftWhenItsClientRetriesThenTheRetryIsRejectedAtOnce) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(40);
  gateway.AddRequest(2, 4, {.retry = true});  // the gateway makes no counter call
  ASSERT_EQ(gateway.rejects.size(), 2U);
  EXPECT_GT(gateway.rejects[1].retry_after, milliseconds(100));
}

TEST(FinalResponse, GivenAnUnreachableCounterWhenTheLocalLimiterRejectsThenTheRejectionComesAtOnce) {
  TestGateway gateway;
  for (RequestId id = 1; id <= 2; ++id) {
    gateway.AddRequest(id, 4, {.time_left = milliseconds(300)});
    gateway.ReplyToCall(0, CounterResult::kUnreachable);
  }
  ASSERT_EQ(gateway.sends.size() + gateway.rejects.size(), 2U);
  ASSERT_EQ(gateway.rejects.size(), 1U);
  EXPECT_GT(gateway.rejects[0].retry_after, milliseconds(100));
}

TEST(FinalResponse, GivenNoAttemptIsLeftOrAllowedWhenAnAttemptFailsThenTheRequestEndsAtOnce) {
  for (const char* class_name : {kIdempotent, kNonIdempotent}) {
    Settings settings = SettingsWithoutQuota();
    settings.max_attempts = 1;
    TestGateway gateway(settings);
    gateway.AddRequest(1, 1, {.class_name = class_name});
    gateway.FinishAttempt(0, Outcome::kError);
    EXPECT_EQ(gateway.rejects.size() + gateway.fails.size(), 1U);
    for (const Reject& reject : gateway.rejects) EXPECT_GT(reject.retry_after, Duration(0));
  }
}

TEST(FinalResponse, GivenACustomerAtItsConcurrencyLimitWhenARequestArrivesThenItIsRejectedAtOnce) {
  Settings settings = SettingsWithoutQuota();
  settings.plans[0].max_concurrent = 2;
  TestGateway gateway(settings);
  gateway.AddRequest(1, 1);
  gateway.AddRequest(2, 1);
  EXPECT_EQ(gateway.sends.size(), 1U);
  EXPECT_EQ(gateway.rejects.size(), 1U);
}

TEST(Controller, GivenInvalidEventsWhenARequestArrivesThenItHasOneFinalResponseAndNothingThrows) {
  TestGateway gateway;
  gateway.Handle(OutcomeEvent{});
  gateway.Handle(TimerEvent{99});
  gateway.Handle(ClientDisconnectedEvent{5});
  gateway.Handle(CounterEvent{"nobody", CounterResult::kOk, 3, Duration(1)});
  gateway.Handle(EndpointListEvent{EndpointListKind::kError, 1, nullptr});
  RequestEvent event;
  event.id = 9;
  event.class_name = "?";
  event.plan = "?";
  event.time_left = milliseconds(100);
  gateway.Handle(event);
  gateway.Advance(seconds(1));
  EXPECT_EQ(gateway.fails.size() + gateway.rejects.size(), 1U);
}

}  // namespace
}  // namespace postspread::policy
