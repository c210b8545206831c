// Tests of calls to a counter that is slow, overloaded or down.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

// Serves calls one after another, each in 8 ms. A call that is not served by its timeout fails then.
class SlowCounter {
 public:
  explicit SlowCounter(TestGateway& gateway, Duration timeout)
      : gateway_(gateway), timeout_(timeout), free_at_(gateway.now) {}

  void ReplyToDueCalls() {
    while (!open_calls_.empty() && open_calls_.front().due <= gateway_.now) {
      const OpenCall call = open_calls_.front();
      open_calls_.erase(open_calls_.begin());
      const bool ok = call.elapsed < timeout_;
      gateway_.Handle(
          CounterEvent{call.name, ok ? CounterResult::kOk : CounterResult::kTimeout, 1, call.elapsed});
      if (!ok) ++timeouts_;
    }
  }

  void TakeNewCalls() {
    for (; taken_ < gateway_.counter_calls.size(); ++taken_) {
      free_at_ = std::max(free_at_, gateway_.now) + milliseconds(8);
      const Duration elapsed = std::min<Duration>(free_at_ - gateway_.now, timeout_);
      open_calls_.push_back({gateway_.now + elapsed, elapsed, gateway_.counter_calls[taken_].name});
    }
  }

  [[nodiscard]] std::size_t calls() const { return taken_; }
  [[nodiscard]] std::size_t timeouts() const { return timeouts_; }

 private:
  struct OpenCall {
    TimePoint due;
    Duration elapsed;
    std::string name;
  };

  TestGateway& gateway_;
  Duration timeout_;
  TimePoint free_at_;
  std::vector<OpenCall> open_calls_;
  std::size_t taken_ = 0;
  std::size_t timeouts_ = 0;
};

TEST(CounterClient, LimitsCallsOnceRepliesAreSlowSoThatFewTimeOut) {
  Settings settings = SettingsWithAmpleQuota();
  settings.counter_timeout = milliseconds(80);
  TestGateway gateway(settings);
  SlowCounter counter(gateway, settings.counter_timeout);
  for (RequestId id = 1; id <= 4000; ++id) {  // one every 4 ms
    counter.ReplyToDueCalls();
    gateway.AddRequest(id, 1);
    counter.TakeNewCalls();
    gateway.FinishAllSends();
    gateway.Advance(milliseconds(4));
  }
  EXPECT_GT(counter.calls(), 1600U);  // of the 2000 that the counter can serve
  EXPECT_LT(counter.timeouts(), counter.calls() / 50);
}

TEST(CounterClient, ReplyToACallFromBeforeTheOutageDoesNotEndIt) {
  TestGateway gateway;
  for (RequestId id = 1; id <= 6; ++id) gateway.AddRequest(id, 0.1);
  for (int i = 0; i < 4; ++i) {
    gateway.Advance(milliseconds(3));
    gateway.ReplyToCall(0, CounterResult::kTimeout);
  }
  gateway.ReplyToCall(0.5);
  const std::size_t calls = gateway.counter_calls.size();
  gateway.AddRequest(7, 0.1);
  EXPECT_EQ(gateway.counter_calls.size(), calls);
}

TEST(CounterClient, StopsCallingAfterRepeatedFailuresAndChecksForTheCountersReturn) {
  TestGateway gateway;
  for (RequestId id = 1; id <= 20; ++id) {
    gateway.Advance(milliseconds(1));
    gateway.AddRequest(id, 0.1);
    if (gateway.HasOpenCall()) gateway.ReplyToCall(0, CounterResult::kUnreachable);
    gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
  }
  const std::size_t calls = gateway.counter_calls.size();
  EXPECT_LT(calls, 20U);
  for (RequestId id = 100; id < 200; ++id) {  // 100 requests in a second
    gateway.Advance(milliseconds(10));
    gateway.AddRequest(id, 0.01);
    while (gateway.HasOpenCall()) gateway.ReplyToCall(0, CounterResult::kUnreachable);
  }
  EXPECT_GE(gateway.counter_calls.size(), calls + 1);
  EXPECT_LE(gateway.counter_calls.size(), calls + 4);
}

// Totals must still reflect all traffic if only some requests call the counter.
TEST(CounterClient, OverloadedCounterGetsFewerCallsThatEachChargeForMoreRequests) {
  Settings settings = SettingsWithAmpleQuota();
  settings.max_units = 1e6;  // one request may take more than a gateway's slice of the burst
  TestGateway gateway(settings);
  double called_units = 0;
  double units = 0;
  double late_calls = 0;
  for (RequestId id = 1; id <= 4000; ++id) {
    const std::size_t before = gateway.counter_calls.size();
    gateway.AddRequest(id, 1);
    units += 1;
    for (std::size_t i = before; i < gateway.counter_calls.size(); ++i) {
      called_units += gateway.counter_calls[i].amount;
    }
    if (id > 2000) late_calls += static_cast<double>(gateway.counter_calls.size() - before);
    while (gateway.HasOpenCall()) {
      const bool refuses = gateway.replied_calls % 3 == 0;
      gateway.ReplyToCall(called_units, refuses ? CounterResult::kRefused : CounterResult::kOk);
    }
    gateway.FinishAllSends();
    gateway.Advance(milliseconds(2));
  }
  EXPECT_LT(late_calls, 1600);
  EXPECT_NEAR(called_units / units, 1.0, 0.15);
}

// The next call adds exactly the units that were admitted without a call: rejected requests are not added,
// and no request counts twice.
TEST(CounterClient, CountOfAnOverloadedCounterContainsOnlySentUnits) {
  Settings settings = DefaultSettings();
  settings.plans[0].rate = 20;
  settings.plans[0].burst = 40;
  settings.max_units = 2;
  TestGateway gateway(settings, seconds(1000), 7);
  std::map<std::string, double> totals;  // by period
  double total = 0;
  std::size_t sent = 0;
  for (RequestId id = 1; id <= 300; ++id) {
    gateway.AddRequest(id, 1);
    while (gateway.HasOpenCall()) {
      const bool refuses = gateway.replied_calls % 3 == 0;
      const CounterAdd call = gateway.counter_calls[gateway.replied_calls];
      if (!refuses) {
        total += call.amount;
        totals[call.name] += call.amount;
      }
      gateway.ReplyToCall(totals[call.name], refuses ? CounterResult::kRefused : CounterResult::kOk);
    }
    sent += gateway.sends.size();
    gateway.FinishAllSends();
    gateway.Advance(milliseconds(100));  // 10 units a second, half of the rate
  }
  EXPECT_LT(gateway.counter_calls.size(), 200U);
  EXPECT_LT(gateway.rejects.size(), 6U);
  // The burst has refilled the oldest units before they were charged.
  EXPECT_GT(total, 0.7 * static_cast<double>(sent));
  EXPECT_LT(total, 1.02 * static_cast<double>(sent));
}

// A single overload makes several calls time out at the same time.
TEST(CounterClient, OneOverloadReducesTheFractionOfRequestsThatCallOnce) {
  TestGateway gateway(SettingsWithAmpleQuota());
  RequestId id = 0;
  std::size_t calls = 0;
  for (int round = 0; round < 50; ++round) {
    const std::size_t before = gateway.counter_calls.size();
    for (int i = 0; i < 8; ++i) gateway.AddRequest(++id, 1);
    calls += gateway.counter_calls.size() - before;
    gateway.Advance(milliseconds(30));
    while (gateway.HasOpenCall()) gateway.ReplyToCall(1e5, CounterResult::kTimeout);
    for (int i = 0; i < 12; ++i) {
      gateway.AddRequest(++id, 1);
      while (gateway.HasOpenCall()) gateway.ReplyToCall(1e5);
      gateway.Advance(milliseconds(2));
    }
    gateway.FinishAllSends();
  }
  EXPECT_GT(calls, 200U);  // of 400; below 100 if each timeout reduces the fraction
}

TEST(CounterClient, CallsThatFailAtOnceAreNeitherAnOverloadNorAnOutage) {
  TestGateway gateway;
  RequestId id = 0;
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 5; ++i) gateway.AddRequest(++id, 0.01);
    for (int i = 0; i < 5; ++i) gateway.ReplyToCallAfter(milliseconds(3), 0, CounterResult::kTimeout);
    gateway.Advance(milliseconds(20));
    gateway.AddRequest(++id, 0.01);
    gateway.ReplyToCall(1 + round);
    gateway.FinishAllSends();
  }
  EXPECT_EQ(gateway.counter_calls.size(), id);
}

}  // namespace
}  // namespace postspread::policy
