// Tests the total traffic that all gateways send to upstreams that have just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

// Returns the upstreams s0, s1, ... from index `first` to `count` - 1, in alternating zones. Those with an
// index below `started_end` started at `started`.
std::vector<EndpointInfo> Endpoints(int first, int count, int started_end, TimePoint started) {
  std::vector<EndpointInfo> endpoints;
  for (int i = first; i < count; ++i) {
    EndpointInfo endpoint;
    endpoint.id = "s" + std::to_string(i);
    endpoint.zone = i % 2 == 0 ? "a" : "b";
    if (i < started_end) endpoint.started = started;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

TEST(SlowStart, GivenAnUpstreamInSlowStartWhenAnyNumberOfGatewaysSendsThenItReceivesItsFraction) {
  constexpr int kUpstreams = 20;
  constexpr int kRequests = 12000;
  for (const int gateways : {3, 30, 600}) {
    Settings settings = SettingsWithoutQuota();
    settings.group_size = gateways;
    settings.has_counter = false;
    settings.overload_multiple = 3;
    std::size_t at_started = 0;
    for (int i = 0; i < gateways; ++i) {
      TestGateway gateway(settings, seconds(1000), static_cast<std::uint64_t>(i));
      gateway.SetEndpointList(Endpoints(0, kUpstreams, 1, gateway.now));
      for (int n = 0; n < kRequests / gateways; ++n) {
        gateway.AddRequest(static_cast<RequestId>(n) + 1, 1);
        if (gateway.sends.back().upstream == "s0") ++at_started;
        gateway.FinishAttempt(gateway.sends.size() - 1, Outcome::kOk);
      }
    }
    const double even = static_cast<double>(kRequests) / kUpstreams;
    EXPECT_LT(static_cast<double>(at_started), 0.2 * even * 1.5) << gateways;
    EXPECT_GT(static_cast<double>(at_started), 0.2 * even * 0.6) << gateways;
  }
}

struct OverloadRule {
  double multiple;
  double capacity_at_start;
  Duration window;
  Duration slow_start;
};

constexpr int kUpstreamsInFleet = 12;
constexpr double kCapacity = 15;  // the capacity of one upstream in requests per second
constexpr double kLoad = 0.9;     // the load as a fraction of the capacity of all upstreams

Settings SlowStartSettings(const OverloadRule& rule, int gateways) {
  Settings settings = SettingsWithoutQuota();
  settings.group_size = gateways;
  settings.has_counter = false;
  settings.overload_multiple = rule.multiple;
  settings.initial_capacity = rule.capacity_at_start;
  settings.overload_window = rule.window;
  settings.slow_start_duration = rule.slow_start;
  return settings;
}

// Returns the times at which attempts reach s0 during its slow start. The traffic is uneven over the
// gateways. One in ten attempts fails and is retried. Half of the gateways have just started without any
// statistics. Each gateway learns of the new upstreams at a different time.
std::vector<TimePoint> AttemptsDuringSlowStart(const OverloadRule& rule, int gateways,
                                               int started_upstreams) {
  const TimePoint start = seconds(1000);
  const TimePoint end = start + rule.slow_start;
  std::mt19937 random(static_cast<unsigned>(gateways) * 7 + static_cast<unsigned>(started_upstreams));
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(gateways));
  for (int i = 0; i < gateways; ++i) weights.push_back(1.0 + 3.0 * (i % 5 == 0));
  const double total_weight = std::accumulate(weights.begin(), weights.end(), 0.0);
  Settings settings = SlowStartSettings(rule, gateways);
  std::vector<TimePoint> attempts;
  for (int rank = 0; rank < gateways; ++rank) {
    settings.rank = rank;
    const bool just_started = rank % 2 == 0;
    TestGateway gateway(settings, just_started ? start : start - seconds(5),
                        static_cast<std::uint64_t>(rank + 1));
    gateway.SetEndpointList(Endpoints(started_upstreams, kUpstreamsInFleet, 0, start));
    std::exponential_distribution<double> gap_s(kLoad * kUpstreamsInFleet * kCapacity *
                                                weights[static_cast<std::size_t>(rank)] / total_weight);
    const TimePoint learns_at = start + milliseconds(random() % 2'000);
    bool knows_start = false;
    RequestId id = 0;
    for (;;) {
      gateway.Advance(Duration(static_cast<std::int64_t>(1e6 * gap_s(random))));
      if (gateway.now > end) break;
      if (!knows_start && gateway.now >= learns_at) {
        gateway.SetEndpointList(Endpoints(0, kUpstreamsInFleet, started_upstreams, start));
        knows_start = true;
      }
      std::size_t next = gateway.sends.size();
      gateway.AddRequest(++id, 1);
      for (int attempt = 0; next < gateway.sends.size(); ++next, ++attempt) {
        if (gateway.sends[next].upstream == "s0") attempts.push_back(gateway.now);
        const Outcome outcome = random() % 10 == 0 ? Outcome::kReset : Outcome::kOk;
        gateway.FinishAttempt(next, outcome, {.attempt = attempt});
      }
    }
  }
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

// Checks that the total traffic of every window stays below the overload limit of the upstream, plus a
// tolerance for random variation of twice the root of the limit, plus 2.
void ExpectNoWindowOverloads(const std::vector<TimePoint>& attempts, const OverloadRule& rule) {
  const TimePoint start = seconds(1000);
  std::size_t last = 0;
  for (std::size_t first = 0; first < attempts.size(); ++first) {
    while (last < attempts.size() && attempts[last] < attempts[first] + rule.window) ++last;
    const double progress =
        static_cast<double>((attempts[first] - start).count()) / static_cast<double>(rule.slow_start.count());
    const double capacity = kCapacity * (rule.capacity_at_start + (1 - rule.capacity_at_start) * progress);
    const double limit = rule.multiple * capacity * std::chrono::duration<double>(rule.window).count();
    ASSERT_LE(static_cast<double>(last - first), limit + 2 * std::sqrt(limit) + 2) << "at " << progress;
  }
}

TEST(SlowStart, GivenUpstreamsInSlowStartWhenAnyNumberOfGatewaysSendsThenNoWindowOverloadsOne) {
  for (const OverloadRule& rule :
       {OverloadRule{4, 0.23, seconds(2), seconds(15)}, OverloadRule{2.5, 0.16, seconds(3), seconds(7)},
        OverloadRule{3, 0.15, seconds(1), seconds(18)}, OverloadRule{2, 0.4, seconds(5), seconds(5)}}) {
    for (const int gateways : {2, 3, 20, 30, 300}) {
      for (const int started_upstreams : {1, 6}) {
        SCOPED_TRACE(testing::Message() << gateways << " gateways, " << started_upstreams
                                        << " upstreams started, multiple " << rule.multiple);
        const std::vector<TimePoint> attempts = AttemptsDuringSlowStart(rule, gateways, started_upstreams);
        EXPECT_FALSE(attempts.empty());
        ASSERT_NO_FATAL_FAILURE(ExpectNoWindowOverloads(attempts, rule));
      }
    }
  }
}

// The gateway forwards what upstreams in slow start can surely serve, and rejects the rest.
TEST(SlowStart, GivenAllUpstreamsInSlowStartWhenLoadIsFullThenTheyAreNotOverloaded) {
  constexpr int kUpstreams = 20;
  constexpr std::size_t kRequests = 2000;
  Settings settings = SettingsWithoutQuota();
  settings.has_counter = false;
  settings.overload_multiple = 3;
  TestGateway gateway(settings);
  std::vector<EndpointInfo> endpoints = Endpoints(0, kUpstreams, kUpstreams, gateway.now);
  for (EndpointInfo& endpoint : endpoints) endpoint.zone = "a";
  gateway.SetEndpointList(endpoints);
  for (RequestId id = 1; id <= kRequests; ++id) {
    const std::size_t before = gateway.sends.size();
    gateway.AddRequest(id, 1);
    if (gateway.sends.size() > before) gateway.FinishAttempt(before, Outcome::kOk);
  }
  EXPECT_NEAR(static_cast<double>(gateway.sends.size()), kRequests * 0.2 * 1.5, 100);
  EXPECT_EQ(gateway.sends.size() + gateway.rejects.size(), kRequests);
}

}  // namespace
}  // namespace postspread::policy
