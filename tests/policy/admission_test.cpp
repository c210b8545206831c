// Tests of load shedding: when it starts, which requests it sheds, and when it ends.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "test_gateway.h"

namespace postspread::policy {
namespace {

constexpr double kNoReport = -1;

// Responds to each of a gateway's attempts after its service time.
class Service {
 public:
  explicit Service(TestGateway& gateway) : gateway_(gateway) {}

  // Starts the attempts that have been sent since the last call; `service_time_for` returns the service time
  // of each. Returns their number.
  std::size_t StartNewAttempts(const std::function<Duration()>& service_time_for) {
    const std::size_t first = started_;
    for (; started_ < gateway_.sends.size(); ++started_) {
      const Duration elapsed = service_time_for();
      in_service_.insert({gateway_.now + elapsed, {started_, elapsed}});
    }
    return started_ - first;
  }

  // Responds to the attempts that are due, with a load report unless `utilization` is kNoReport. Returns how
  // many of them took no longer than `limit`.
  std::size_t FinishDue(double utilization = kNoReport, Duration limit = Duration::max()) {
    std::size_t within_limit = 0;
    while (!in_service_.empty() && in_service_.begin()->first <= gateway_.now) {
      const Served served = in_service_.begin()->second;
      in_service_.erase(in_service_.begin());
      if (served.elapsed <= limit) ++within_limit;
      OutcomeEvent event{.id = gateway_.sends[served.send].id,
                         .upstream = gateway_.sends[served.send].upstream,
                         .elapsed = served.elapsed,
                         .final = true,
                         .load = {}};
      event.load.utilization = utilization;
      gateway_.Handle(event);
    }
    return within_limit;
  }

 private:
  struct Served {
    std::size_t send;
    Duration elapsed;
  };

  TestGateway& gateway_;
  std::size_t started_ = 0;
  std::multimap<TimePoint, Served> in_service_;  // by the time of the response
};

// Upstreams that have all become slower look like a queue, but shedding does not make them faster.
TEST(Admission, KeepsTheUsualNumberInFlightIfAllUpstreamsBecomeSlower) {
  Settings settings = SettingsWithAmpleQuota();
  settings.has_counter = false;
  TestGateway gateway(settings);
  Service service(gateway);
  std::size_t sent_late = 0;
  for (RequestId id = 1; id <= 3000; ++id) {  // 50 a second for a minute
    const Duration service_time = milliseconds(id < 1000 ? 100 : 330);
    service.FinishDue();
    gateway.AddRequest(id, 1, {.time_left = seconds(2)});
    const std::size_t sent = service.StartNewAttempts([&] { return service_time; });
    if (id > 2000) sent_late += sent;
    gateway.Advance(milliseconds(20));
  }
  EXPECT_GT(sent_late, 250U);  // of 1000; this keeps the usual number in flight
}

// The usual number in flight is learned only while upstreams are not overloaded: otherwise a lasting queue
// would raise it, and shedding would end.
TEST(Admission, LastingQueueIsShedAndDoesNotRaiseTheUsualNumberInFlight) {
  Settings settings = SettingsWithAmpleQuota();
  settings.has_counter = false;
  TestGateway gateway(settings);
  Service service(gateway);
  std::size_t in_time = 0;
  TimePoint free_at = gateway.now;  // one request ends every 40 ms; it takes 100 ms without queueing
  for (RequestId id = 1; id <= 7000; ++id) {
    const std::size_t responses = service.FinishDue(kNoReport, milliseconds(500));
    if (id > 5000) in_time += responses;
    gateway.AddRequest(id, 1, {.time_left = seconds(20)});
    service.StartNewAttempts([&] {
      free_at = std::max(free_at, gateway.now) + milliseconds(40);
      return free_at - gateway.now + milliseconds(60);
    });
    // 10 requests a second arrive for 20 s, then 50 a second at a capacity of 25.
    gateway.Advance(milliseconds(id <= 200 ? 100 : 20));
  }
  EXPECT_GT(in_time, 500U);  // of the 1000 that can be served
}

// A gateway that receives a slow response now and then must not shed load while upstreams are idle.
TEST(Admission, OccasionalSlowResponsesShedNothing) {
  TestGateway gateway(SettingsWithoutQuota());
  for (RequestId id = 1; id <= 120; ++id) {
    gateway.AddRequest(id, 1);
    ASSERT_EQ(gateway.sends.size(), id);
    gateway.Advance(milliseconds(id % 5 == 0 ? 600 : 60));
    gateway.FinishAttempt(id - 1, Outcome::kOk);
    gateway.Advance(milliseconds(id % 5 == 0 ? 100 : 640));
  }
  EXPECT_TRUE(gateway.rejects.empty());
}

// If only a valuable class of long requests is not shed, its service time must not look like a queue.
TEST(Admission, EndsWhenUpstreamsAreIdleThoughOnlyLongRequestsAreSent) {
  Settings settings = SettingsWithoutQuota();
  settings.classes[2].priority_weight = 3;
  for (ClassSettings& rules : settings.classes) rules.deadline = seconds(8);
  TestGateway gateway(settings);
  Service service(gateway);
  RequestId id = 0;
  // Sends 20 requests a second, a quarter of them long. Returns how many were rejected.
  const auto run = [&](Duration length, int slowdown) {
    const std::size_t before = gateway.rejects.size();
    for (const TimePoint end = gateway.now + length; gateway.now < end; gateway.Advance(milliseconds(10))) {
      if (gateway.now.count() % 50'000 == 0) {
        const bool is_long = ++id % 4 == 0;
        gateway.AddRequest(id, 1, {.class_name = is_long ? kKeyed : kIdempotent, .time_left = seconds(8)});
        service.StartNewAttempts([&] { return milliseconds(is_long ? 350 : 100) * slowdown; });
      }
      service.FinishDue();
    }
    return gateway.rejects.size() - before;
  };
  EXPECT_EQ(run(seconds(5), 1), 0U);
  EXPECT_GT(run(seconds(4), 8), 20U);
  run(seconds(8), 1);
  EXPECT_EQ(run(seconds(3), 1), 0U);
}

// A gateway that receives about five responses a second may have a pressure just below the target by chance,
// at which the shed fraction hardly falls.
TEST(Admission, EndsWithinSecondsIfUpstreamsReportCapacityThoughResponsesAreFew) {
  Settings settings = SettingsWithoutQuota();
  settings.report_source = ReportSource::kResponses;
  for (ClassSettings& rules : settings.classes) rules.deadline = seconds(8);
  TestGateway gateway(settings);
  Service service(gateway);
  RequestId id = 0;
  const auto run = [&](Duration length, Duration service_time, double utilization) {
    const std::size_t before = gateway.rejects.size();
    for (const TimePoint end = gateway.now + length; gateway.now < end; gateway.Advance(milliseconds(10))) {
      if (gateway.now.count() % 200'000 == 0) {
        gateway.AddRequest(++id, 1, {.time_left = seconds(8)});
        service.StartNewAttempts([&] { return service_time; });
      }
      service.FinishDue(utilization);
    }
    return gateway.rejects.size() - before;
  };
  EXPECT_EQ(run(seconds(10), milliseconds(120), 0.5), 0U);
  EXPECT_GT(run(seconds(10), milliseconds(700), 1.0), 10U);
  run(seconds(8), milliseconds(260), 0.5);  // the pressure is 0.2 then, and the target 0.25
  EXPECT_EQ(run(seconds(5), milliseconds(260), 0.5), 0U);
}

// Without any response, attempts accumulate. The cheap plan must be shed more than the expensive one, and
// some requests must still be sent.
TEST(Admission, ShedsThePlanOfLowerPriceFirst) {
  Settings settings = SettingsWithoutQuota();
  settings.plans[0].price = 1;
  PlanSettings expensive_plan = settings.plans[0];
  expensive_plan.name = "dear";
  expensive_plan.price = 4;
  settings.plans.push_back(expensive_plan);
  TestGateway gateway(settings);
  std::size_t cheap_rejects = 0;
  std::size_t expensive_rejects = 0;
  for (RequestId id = 1; id <= 600; ++id) {
    const bool is_cheap = id % 2 == 0;
    RequestEvent event;
    event.id = id;
    event.class_name = kIdempotent;
    event.plan = is_cheap ? "plan" : "dear";
    event.customer = event.plan;
    event.time_left = seconds(2);
    const std::size_t before = gateway.rejects.size();
    gateway.Handle(event);
    (is_cheap ? cheap_rejects : expensive_rejects) += gateway.rejects.size() - before;
    gateway.Advance(milliseconds(3));
  }
  EXPECT_GT(cheap_rejects, expensive_rejects);
  EXPECT_GT(gateway.sends.size(), 0U);
}

// Earlier retries would find the same load statistics, and simultaneous ones would cause another surge.
TEST(Admission, ShedRequestIsRejectedAtOnceWithAJitteredRetryAfterOfTheLoadMemory) {
  std::vector<Duration> retry_after;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TestGateway gateway(SettingsWithoutQuota(), seconds(1000), seed);
    for (RequestId id = 1; id <= 300; ++id) {
      const std::size_t rejects = gateway.rejects.size();
      const std::size_t sends = gateway.sends.size();
      gateway.AddRequest(id, 1, {.time_left = seconds(2)});
      EXPECT_EQ(gateway.rejects.size() - rejects + gateway.sends.size() - sends, 1U);  // within Handle
      if (gateway.rejects.size() > rejects) retry_after.push_back(gateway.rejects.back().retry_after);
      gateway.Advance(milliseconds(3));
    }
  }
  ASSERT_GT(retry_after.size(), 100U);
  const auto [min_retry_after, max_retry_after] = std::minmax_element(retry_after.begin(), retry_after.end());
  EXPECT_GE(*min_retry_after, milliseconds(300));
  EXPECT_LE(*max_retry_after, seconds(5));
  EXPECT_GT(*max_retry_after - *min_retry_after, milliseconds(300));
}

}  // namespace
}  // namespace postspread::policy
