// Tests of units that are borrowed from a later quota period, and returned to it if they are not used.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

constexpr int kOffsetStepMs = 50;
constexpr int kPeriodMs = 1000;

// Quota periods are shifted for each customer. Depending on the start, the refill of 0.3 s ends before the
// period does, or after it.
TimePoint StartAt(int offset_ms) { return seconds(1000) + milliseconds(offset_ms); }

TEST(BorrowedUnits, RejectedRequestReturnsThemToThePeriodTheyCameFrom) {
  for (int offset_ms = 0;; offset_ms += kOffsetStepMs) {
    ASSERT_LT(offset_ms, kPeriodMs);
    TestGateway gateway(DefaultSettings(), StartAt(offset_ms));
    gateway.AddRequest(1, 4);
    gateway.ReplyToCall(13);                         // there is capacity in 0.3 s
    if (gateway.counter_calls.size() < 2) continue;  // the capacity is in the current period
    gateway.ReplyToCall(11);                         // others have filled the next period
    ASSERT_EQ(gateway.rejects.size(), 1U);
    gateway.AddRequest(2, 1);
    ASSERT_EQ(gateway.counter_calls[2].name, gateway.counter_calls[0].name);
    EXPECT_DOUBLE_EQ(gateway.counter_calls[2].amount, 1 - 4);
    gateway.ReplyToCall(12);
    const std::size_t calls = gateway.counter_calls.size();
    gateway.AddRequest(3, 4);  // the next period is known to be full: no second call is made
    gateway.ReplyToCall(16);
    EXPECT_EQ(gateway.counter_calls.size(), calls + 1);
    gateway.Advance(milliseconds(600));
    gateway.AddRequest(4, 1);
    EXPECT_EQ(gateway.counter_calls.back().name, gateway.counter_calls[1].name);
    EXPECT_DOUBLE_EQ(gateway.CalledUnits(), 1);  // no count contains the rejected units
    return;
  }
}

TEST(BorrowedUnits, RequestWhoseClientDisconnectsBeforeTheReplyReturnsThem) {
  for (int offset_ms = 0;; offset_ms += kOffsetStepMs) {
    ASSERT_LT(offset_ms, kPeriodMs);
    TestGateway gateway(DefaultSettings(), StartAt(offset_ms));
    gateway.AddRequest(1, 4);
    gateway.ReplyToCall(13);
    if (gateway.counter_calls.size() < 2) continue;
    gateway.Handle(ClientDisconnectedEvent{1});
    gateway.ReplyToCall(4);
    gateway.AddRequest(2, 1);
    ASSERT_EQ(gateway.counter_calls[2].name, gateway.counter_calls[0].name);
    EXPECT_DOUBLE_EQ(gateway.counter_calls[2].amount, 1 - 4);
    return;
  }
}

TEST(BorrowedUnits, DelayedRequestWhoseClientDisconnectsIsRefundedOnceInItsOwnPeriod) {
  for (const bool borrows : {false, true}) {
    for (int offset_ms = 0;; offset_ms += kOffsetStepMs) {
      ASSERT_LT(offset_ms, kPeriodMs);
      TestGateway gateway(DefaultSettings(), StartAt(offset_ms));
      gateway.AddRequest(1, 4);
      gateway.ReplyToCall(13);  // there is capacity in 0.3 s
      if (borrows != (gateway.counter_calls.size() == 2)) continue;
      if (borrows) gateway.ReplyToCall(4);
      ASSERT_TRUE(gateway.rejects.empty());
      gateway.Handle(ClientDisconnectedEvent{1});
      gateway.AddRequest(2, 1);
      gateway.Advance(borrows ? milliseconds(600) : milliseconds(1));
      gateway.AddRequest(3, 1);
      EXPECT_EQ(gateway.counter_calls.back().name == gateway.counter_calls[0].name, !borrows);
      EXPECT_DOUBLE_EQ(gateway.CalledUnits(), 2) << borrows;
      EXPECT_TRUE(std::none_of(gateway.sends.begin(), gateway.sends.end(),
                               [](const Send& send) { return send.id == 1; }));
      break;
    }
  }
}

}  // namespace
}  // namespace postspread::policy
