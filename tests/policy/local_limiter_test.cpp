// Tests of decisions without the counter: by slices of the quota, or at random if slices are too small.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

TEST(LocalLimiter, DecidesByTheGatewaysSliceIfACallFails) {
  TestGateway gateway;
  for (RequestId id = 1; id <= 4; ++id) {
    gateway.AddRequest(id, 2, {.time_left = milliseconds(50)});
    if (gateway.HasOpenCall()) gateway.ReplyToCall(0, CounterResult::kTimeout);
  }
  EXPECT_EQ(gateway.sends.size(), 2U);  // this gateway's slice is 5 of the burst of 10
}

TEST(LocalLimiter, UncountedUnitsAreDeferredOnlyUntilTheBurstHasRefilled) {
  Settings settings = DefaultSettings();
  settings.max_units = 2;
  TestGateway gateway(settings);
  for (RequestId id = 1; id <= 40 && gateway.sends.size() < 5; ++id) {
    gateway.AddRequest(id, 1);
    while (gateway.HasOpenCall()) gateway.ReplyToCall(0, CounterResult::kRefused);
  }
  EXPECT_GE(gateway.sends.size(), 3U);
  for (std::size_t i = 0; i < gateway.sends.size(); ++i) gateway.FinishAttempt(i, Outcome::kOk);
  const std::size_t calls = gateway.counter_calls.size();
  gateway.Advance(seconds(5));  // the burst refills within a second
  for (RequestId id = 101; id <= 400 && gateway.counter_calls.size() == calls; ++id) {
    const std::size_t sends = gateway.sends.size();
    gateway.AddRequest(id, 0.001);
    if (gateway.sends.size() > sends) gateway.FinishAttempt(sends, Outcome::kOk);
  }
  ASSERT_GT(gateway.counter_calls.size(), calls);
  EXPECT_LT(gateway.counter_calls[calls].amount, 0.5);
}

// Several gateways that share one counter, and one customer whose quota is one unit a second per gateway.
class GatewayGroup {
 public:
  explicit GatewayGroup(int gateways) : size_(gateways) {
    Settings settings = DefaultSettings();
    settings.group_size = gateways;
    settings.plans[0].rate = gateways;
    settings.plans[0].burst = gateways;
    for (int i = 0; i < gateways; ++i) {
      gateways_.push_back(
          std::make_unique<TestGateway>(settings, seconds(1000), static_cast<std::uint64_t>(i)));
    }
  }

  [[nodiscard]] int size() const { return size_; }

  void Advance(int gateway, Duration time) { At(gateway).Advance(time); }

  // Handles a request of one unit. Returns the number of attempts sent.
  std::size_t Request(int index, CounterResult counter) {
    TestGateway& gateway = At(index);
    const std::size_t before = gateway.sends.size();
    gateway.AddRequest(++last_id_, 1, {.time_left = milliseconds(60), .gateways = size_});
    while (gateway.HasOpenCall()) {
      const CounterAdd call = gateway.counter_calls[gateway.replied_calls];
      if (call.name != period_) total_ = 0;
      period_ = call.name;
      total_ += call.amount;
      gateway.ReplyToCall(total_, counter);
    }
    for (std::size_t i = before; i < gateway.sends.size(); ++i) gateway.FinishAttempt(i, Outcome::kOk);
    return gateway.sends.size() - before;
  }

 private:
  TestGateway& At(int gateway) { return *gateways_[static_cast<std::size_t>(gateway)]; }

  int size_;
  std::vector<std::unique_ptr<TestGateway>> gateways_;
  RequestId last_id_ = 0;
  double total_ = 0;
  std::string period_;
};

TEST(LocalLimiter, SlicesSmallerThanARequestAdmitAboutTheQuotaForAnyNumberOfGateways) {
  constexpr int kSteps = 600;         // steps of 20 ms
  constexpr int kCounterSteps = 400;  // the counter replies for 8 s, then is unreachable for 4 s
  for (const int gateways : {30, 600}) {
    for (const double demand : {0.5, 3.0}) {  // requests a second at each gateway, as a multiple of the rate
      GatewayGroup group(gateways);
      std::size_t sent = 0;
      std::size_t requests = 0;
      for (int step = 0; step < kSteps; ++step) {
        const bool has_counter = step < kCounterSteps;
        for (int i = 0; i < gateways; ++i) {
          group.Advance(i, milliseconds(20));
          if ((step + i) % static_cast<int>(50 / demand) != 0) continue;
          const std::size_t sends =
              group.Request(i, has_counter ? CounterResult::kOk : CounterResult::kUnreachable);
          if (has_counter) continue;
          sent += sends;
          ++requests;
        }
      }
      const double quota = 4.0 * gateways;
      const double due = std::min(quota, static_cast<double>(requests));
      EXPECT_GT(static_cast<double>(sent), 0.4 * due) << gateways << " gateways, demand " << demand;
      EXPECT_LT(static_cast<double>(sent), 1.4 * due) << gateways << " gateways, demand " << demand;
    }
  }
}

// Returns how many uncounted requests are sent after attempts that took `late_service_time`: a long one puts
// the upstreams under pressure.
std::size_t SentUncounted(std::uint64_t seed, Duration late_service_time) {
  Settings settings = DefaultSettings();
  settings.group_size = 100;
  settings.plans.push_back(settings.plans[0]);
  settings.plans[0].price = 10;  // too valuable to be shed
  settings.plans[1].name = "free";
  settings.plans[1].rate = 0;
  TestGateway gateway(settings, seconds(1000), seed);
  RequestEvent event;
  event.class_name = kIdempotent;
  event.plan = "free";
  event.customer = "f";
  event.time_left = seconds(1);
  for (event.id = 1000; event.id < 1060; ++event.id) {
    gateway.Handle(event);
    if (gateway.sends.empty() || gateway.sends.back().id != event.id) continue;
    gateway.Advance(event.id >= 1020 ? late_service_time : Duration(milliseconds(50)));
    gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
  }
  std::size_t sent = 0;
  // Slices are smaller than a request, and the counter refuses calls.
  for (RequestId id = 1; id <= 20; ++id) {
    const std::size_t before = gateway.sends.size();
    gateway.AddRequest(id, 1, {.gateways = 100});
    while (gateway.HasOpenCall()) gateway.ReplyToCall(0, CounterResult::kRefused);
    sent += gateway.sends.size() - before;
  }
  return sent;
}

// With hundreds of gateways most requests are uncounted, and may exceed quotas.
TEST(LocalLimiter, UnderPressureUncountedRequestsAreRejectedFirst) {
  std::size_t without_pressure = 0;
  std::size_t under_pressure = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    without_pressure += SentUncounted(seed, milliseconds(50));
    under_pressure += SentUncounted(seed, milliseconds(500));  // the slack is 640 ms
  }
  EXPECT_GT(without_pressure, 300U);
  EXPECT_LT(under_pressure, without_pressure / 2);
}

}  // namespace
}  // namespace postspread::policy
