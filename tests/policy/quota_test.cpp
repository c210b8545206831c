// Charging requests to the counter, and settling what it does not know.
#include <gtest/gtest.h>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(Quota, CallsTheCounterOnceAndSendsWithinTheBurst) {
  TestGateway gateway;
  gateway.AddRequest(1, 3);
  ASSERT_EQ(gateway.counter_calls.size(), 1U);
  EXPECT_DOUBLE_EQ(gateway.counter_calls[0].amount, 3);
  EXPECT_TRUE(gateway.sends.empty());
  gateway.ReplyToCall(3);
  ASSERT_EQ(gateway.sends.size(), 1U);
  EXPECT_EQ(gateway.sends[0].id, 1U);
}

TEST(Quota, DelaysARequestPastTheBurstUntilItHasRefilled) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(13);  // 3 units too many: capacity in 0.3 s
  while (gateway.HasOpenCall()) gateway.ReplyToCall(4);
  EXPECT_TRUE(gateway.sends.empty());
  EXPECT_TRUE(gateway.rejects.empty());
  gateway.Advance(milliseconds(900));
  EXPECT_EQ(gateway.sends.size() + gateway.rejects.size(), 1U);
  EXPECT_EQ(gateway.sends.size(), 1U);
}

// A delay must leave time for a slow answer, not only for a typical one.
TEST(Quota, DelayLeavesMoreThanHalfOfTheObjectiveForService) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(14);  // capacity in 0.4 s of an objective of 0.8 s
  while (gateway.HasOpenCall()) gateway.ReplyToCall(4);
  EXPECT_EQ(gateway.rejects.size(), 1U);
}

TEST(Quota, RejectsWithRetryAfterWhereTheDelayIsLongAndRefundsWithTheNextCall) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(40);
  ASSERT_EQ(gateway.rejects.size(), 1U);
  EXPECT_GE(gateway.rejects[0].retry_after, seconds(3));
  EXPECT_LE(gateway.rejects[0].retry_after, seconds(5));
  gateway.AddRequest(2, 1);
  EXPECT_DOUBLE_EQ(gateway.counter_calls.back().amount, 1 - 4);
}

// Not at once and again with the call that carries the refund.
TEST(Quota, RefundLowersTheDeficitOnce) {
  TestGateway gateway;
  double total = 12;  // 2 past the burst and kept there
  for (RequestId id = 1; id <= 20; ++id) {
    gateway.AddRequest(id, 4, {.time_left = milliseconds(50)});
    total += gateway.counter_calls.back().amount;
    gateway.ReplyToCall(total);
  }
  EXPECT_TRUE(gateway.sends.empty());
}

TEST(Quota, ClientRetryLeavesAReserveToFirstAttemptsAndIsNotDelayed) {
  TestGateway gateway;
  gateway.AddRequest(1, 1, {.retry = true});
  gateway.ReplyToCall(9);  // 9 of 10: capacity for a first attempt, not for a retry
  EXPECT_EQ(gateway.rejects.size(), 1U);
  gateway.AddRequest(2, 1);
  gateway.ReplyToCall(9);
  EXPECT_EQ(gateway.sends.size(), 1U);
}

TEST(Quota, RejectsAClientRetryOfAFullCustomerWithoutACall) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(40);
  const std::size_t calls = gateway.counter_calls.size();
  gateway.AddRequest(2, 4, {.retry = true});
  EXPECT_EQ(gateway.counter_calls.size(), calls);
  EXPECT_EQ(gateway.rejects.size(), 2U);
  gateway.AddRequest(3, 4);  // a first attempt always calls
  EXPECT_EQ(gateway.counter_calls.size(), calls + 1);
}

// A call for a customer known to be full would take the place of one that is not.
TEST(Quota, WhileTheCounterIsSlowRejectsAFullCustomerWithoutACall) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCallAfter(milliseconds(25), 40);  // of 30 ms at most
  const std::size_t calls = gateway.counter_calls.size();
  gateway.AddRequest(2, 4);
  EXPECT_EQ(gateway.counter_calls.size(), calls);
  EXPECT_EQ(gateway.rejects.size(), 2U);
}

// Others can't know of it, and would admit the same units again.
TEST(Quota, UncountedUnitsHaveACallOfTheirOwnFromOneUnitOn) {
  TestGateway gateway;
  gateway.AddRequest(1, 1);
  gateway.ReplyToCall(0, CounterResult::kUnreachable);  // never added: admitted by the local limiter
  ASSERT_EQ(gateway.sends.size(), 1U);
  gateway.Advance(seconds(2));
  ASSERT_EQ(gateway.counter_calls.size(), 2U);
  EXPECT_DOUBLE_EQ(gateway.counter_calls[1].amount, 1);
}

TEST(Quota, CorrectionHasACallOfItsOwnOnlyWhereItIsLarge) {
  for (const double true_units : {3, 4}) {  // of an estimate of 1 and a burst of 10
    TestGateway gateway;
    gateway.AddRequest(1, 1);
    gateway.ReplyToCall(1);
    gateway.FinishAttempt(0, Outcome::kOk, {.true_units = true_units});
    gateway.Advance(seconds(2));
    EXPECT_EQ(gateway.counter_calls.size(), true_units < 3.5 ? 1U : 2U);
  }
}

TEST(Quota, CorrectionIsAddedToTheNextCall) {
  TestGateway gateway;
  gateway.AddRequest(1, 2);
  gateway.ReplyToCall(2);
  gateway.FinishAttempt(0, Outcome::kOk, {.true_units = 5});
  gateway.AddRequest(2, 1);
  EXPECT_DOUBLE_EQ(gateway.counter_calls.back().amount, 1 + 3);
}

// It takes nothing from the burst, so there is nothing to correct.
TEST(Quota, RequestBeyondTheQuotaIsNotCorrected) {
  Settings settings = DefaultSettings();
  settings.plans[0].over_quota_weight = 0.3;
  TestGateway gateway(settings);
  gateway.AddRequest(1, 1);
  gateway.ReplyToCall(40);
  ASSERT_EQ(gateway.sends.size(), 1U);
  gateway.FinishAttempt(0, Outcome::kOk, {.true_units = 4});
  gateway.AddRequest(2, 1);
  EXPECT_DOUBLE_EQ(gateway.counter_calls.back().amount, 1 - 1);
}

TEST(Quota, HedgedRequestIsCorrectedOnceThoughBothAnswersTellItsUnits) {
  Settings settings = DefaultSettings();
  settings.hedging_allowed = true;
  settings.can_cancel = false;
  TestGateway gateway(settings);
  for (RequestId id = 1; id <= 200; ++id) {  // service time without queueing of 50 ms
    gateway.AddRequest(id, 0);
    gateway.ReplyToCall(0);
    gateway.Advance(milliseconds(50));
    gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
  }
  const std::size_t first = gateway.sends.size();
  gateway.AddRequest(1000, 1);
  gateway.ReplyToCall(1);
  gateway.Advance(milliseconds(250));
  ASSERT_EQ(gateway.sends.size(), first + 2);  // stuck: a hedged request went to the other server
  gateway.FinishAttempt(first + 1, Outcome::kOk, {.attempt = 1, .true_units = 3});
  gateway.FinishAttempt(first, Outcome::kOk, {.attempt = 0, .true_units = 3});
  gateway.AddRequest(1001, 1);
  EXPECT_DOUBLE_EQ(gateway.counter_calls.back().amount, 1 + 2);
}

TEST(Quota, EmptiedCounterGetsThisGatewaysUnitsBackOnceAndGivesNoFreshBurst) {
  TestGateway gateway;
  gateway.AddRequest(1, 4);
  gateway.ReplyToCall(4);
  gateway.AddRequest(2, 4);
  gateway.ReplyToCall(8);
  gateway.AddRequest(3, 1);
  gateway.ReplyToCall(1);  // was 8: emptied
  ASSERT_EQ(gateway.counter_calls.size(), 4U);
  EXPECT_DOUBLE_EQ(gateway.counter_calls[3].amount, 8);
  gateway.ReplyToCall(9);
  gateway.AddRequest(4, 4, {.time_left = milliseconds(50)});
  gateway.ReplyToCall(13);
  ASSERT_EQ(gateway.rejects.size(), 1U);
  EXPECT_EQ(gateway.rejects[0].id, 4U);
}

// Where slices are below a request no gateway carries a customer's count over: a refund in a later period
// would be a gift to that period.
TEST(Quota, RefundStaysInItsPeriodWhereSlicesAreBelowARequest) {
  TestGateway gateway;
  gateway.AddRequest(1, 4, {.time_left = milliseconds(50)});
  gateway.ReplyToCall(40);
  gateway.Advance(milliseconds(1100));
  gateway.AddRequest(2, 1, {.time_left = milliseconds(50)});
  EXPECT_DOUBLE_EQ(gateway.CalledUnits(), 1);  // a slice of 5 units holds a request: refunded, if late

  Settings settings = DefaultSettings();
  settings.group_size = 100;
  TestGateway one_of_many(settings);
  one_of_many.AddRequest(1, 4, {.time_left = milliseconds(50), .gateways = 100});
  one_of_many.ReplyToCall(40);
  one_of_many.Advance(milliseconds(1100));
  one_of_many.AddRequest(2, 1, {.time_left = milliseconds(50), .gateways = 100});
  EXPECT_DOUBLE_EQ(one_of_many.counter_calls.back().amount, 1);
}

}  // namespace
}  // namespace postspread::policy
