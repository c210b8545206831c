// Tests of the planner's subsystems through its interface: usage broadcast, membership with idempotency, and
// subsetting.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "planner/planner.h"
#include "planner_fixture.h"

namespace postspread::planner {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sends five requests per second of one customer. The counter rejects all calls, but if `total` is above 0 it
// replies with `total` from the second request on. Returns the number of started attempts.
int CountAdmitted(Planner& planner, Clock::time_point now, int requests, double total) {
  int admitted = 0;
  for (int i = 0; i < requests; ++i, now += milliseconds(200)) {
    const Planner::PickResult selected = planner.Pick({.class_name = "lookup",
                                                       .plan = "team",
                                                       .customer = "f",
                                                       .timeout = seconds(2),
                                                       .units = 1,
                                                       .spread = 100},
                                                      now);
    std::vector<Action> actions(selected.actions.begin(), selected.actions.end());
    for (std::size_t next = 0; next < actions.size(); ++next) {
      Actions more;
      if (std::holds_alternative<StartAttempt>(actions[next])) {
        ++admitted;
        more = planner.Report(AttemptReport{.request = selected.request_id, .upstream = "a"}, now);
      } else if (const auto* call = std::get_if<CallCounter>(&actions[next])) {
        const CounterResult result = total > 0 && i > 0 ? CounterResult::kAdded : CounterResult::kRejected;
        more = planner.Report(CounterReport{call->name, result, total}, now);
      }
      const std::vector<Action> copied(more.begin(), more.end());
      actions.insert(actions.end(), copied.begin(), copied.end());
    }
  }
  return admitted;
}

TEST_CASE(
    "given an overloaded counter, when a gateway broadcasts a customer's usage, others admit fewer "
    "requests") {
  Settings settings = TestSettings(Counter::kPresent);
  settings.group_size = 100;
  settings.can_message_peers = true;
  settings.peer_messages_per_second = 40;
  Clock::time_point now{seconds(50)};
  EndpointListReport endpoint_list;
  endpoint_list.upstreams = {TestUpstream("a")};
  const PlannerOptions options{.idempotency = {}, .usage = {.broadcast = true}, .has_peers = true};
  Planner sender(settings, 1, seconds(1'000'000), now, options);
  Planner informed(settings, 2, seconds(1'000'000), now, options);
  Planner uninformed(settings, 2, seconds(1'000'000), now, options);
  for (Planner* each : {&sender, &informed, &uninformed}) each->Report(endpoint_list, now);
  CountAdmitted(sender, now, 10, 200);  // The counter reports about 20 times the customer's rate.
  now += seconds(2);
  std::string bytes;
  while (bytes.empty() && sender.NextTick() && now < Clock::time_point(seconds(60))) {
    now = std::max(now, *sender.NextTick());
    for (const Action& action : sender.Tick(now)) {
      if (const auto* datagram = std::get_if<SendDatagram>(&action)) bytes = datagram->bytes;
    }
  }
  REQUIRE(bytes.size() == 9);
  informed.Report(PeerReport{0, bytes}, now);
  CHECK(CountAdmitted(uninformed, now, 50, 0) > 20);
  CHECK(CountAdmitted(informed, now, 50, 0) < 10);
}

// Two gateways with idempotency and membership, which exchange membership datagrams.
class TwoGateways {
 public:
  TwoGateways() {
    settings_.classes[0].retry_safety = RetrySafety::kIdempotencyKey;
    settings_.classes[0].scope = KeyScope::kCell;
    settings_.classes[0].key_ttl = seconds(15);
    settings_.can_message_peers = true;
    settings_.group_size = 2;
    Start(0, seconds(1'000'000));
    Start(1, seconds(1'000'000));
    EndpointListReport endpoint_list;
    endpoint_list.upstreams = {TestUpstream("a")};
    planners_[0]->Report(endpoint_list, now_);
  }

  void Start(int rank, seconds wall) {
    PlannerOptions options;
    options.idempotency.enabled = true;
    options.membership.enabled = true;
    options.has_peers = true;
    options.name = "gateway-" + std::to_string(rank);
    options.peer = static_cast<membership::PeerId>(rank);
    options.seeds = {0, 1};
    Settings own = settings_;
    own.rank = rank;
    planners_[rank] = std::make_unique<Planner>(own, 1, wall, now_, options);
  }

  void Leave(int rank) { DeliverDatagrams(rank, planners_[rank]->Leave(now_)); }

  void RunThreeSeconds() {
    for (int i = 0; i < 30; ++i, now_ += milliseconds(100)) {
      for (const int rank : {0, 1}) DeliverDatagrams(rank, planners_[rank]->Tick(now_));
    }
  }

  // Returns whether the first gateway starts a request with a new key at once, because it has no replica to
  // query.
  bool StartsAtOnce(const char* key) {
    const Planner::PickResult selected = planners_[0]->Pick({.class_name = "lookup",
                                                             .plan = "team",
                                                             .customer = "0000000000000001",
                                                             .timeout = seconds(2),
                                                             .units = 1,
                                                             .spread = 2,
                                                             .is_write = true,
                                                             .key = key},
                                                            now_);
    return std::any_of(selected.actions.begin(), selected.actions.end(),
                       [](const Action& action) { return std::holds_alternative<StartAttempt>(action); });
  }

 private:
  // Delivers the membership datagrams of one gateway to the other, and the replies back.
  void DeliverDatagrams(int from, Actions actions) {
    for (const Action& action : std::vector<Action>(actions.begin(), actions.end())) {
      const auto* datagram = std::get_if<SendMembershipDatagram>(&action);
      if (datagram == nullptr || datagram->peer == static_cast<std::uint64_t>(from)) continue;
      DeliverDatagrams(1 - from, planners_[1 - from]->Report(PeerReport{from, datagram->bytes}, now_));
    }
  }

  Settings settings_ = TestSettings();
  Clock::time_point now_{seconds(50)};
  std::unique_ptr<Planner> planners_[2];
};

TEST_CASE(
    "when a gateway leaves, it is no replica of new keys, and when it has rejoined, it is a replica again") {
  TwoGateways gateways;
  gateways.RunThreeSeconds();
  CHECK_FALSE(gateways.StartsAtOnce("k1"));
  gateways.Leave(1);
  CHECK(gateways.StartsAtOnce("k2"));
  gateways.Start(1, seconds(1'000'100));
  gateways.RunThreeSeconds();
  CHECK_FALSE(gateways.StartsAtOnce("k3"));
}

// Returns the upstreams that 60 concurrent requests go to. Completes these requests and advances `now` by two
// seconds.
std::set<std::string> UsedUpstreams(Planner& planner, Clock::time_point& now) {
  std::set<std::string> used;
  std::vector<AttemptReport> reports;
  for (int i = 0; i < 60; ++i) {
    const std::string customer = std::to_string(i);
    const Planner::PickResult selected = planner.Pick(Lookup(customer), now);
    for (const Action& action : selected.actions) {
      const auto* attempt = std::get_if<StartAttempt>(&action);
      if (attempt == nullptr) continue;
      used.insert(attempt->upstream);
      reports.push_back(
          {.request = selected.request_id, .upstream = attempt->upstream, .elapsed = milliseconds(5)});
    }
  }
  now += milliseconds(5);
  for (const AttemptReport& report : reports) planner.Report(report, now);
  now += seconds(2);
  return used;
}

TEST_CASE("given subsetting, a gateway uses a few upstreams, and others as soon as these drain") {
  Settings settings = TestSettings();
  settings.group_size = 100;
  PlannerOptions options;
  options.subsetting.subsets = true;
  Clock::time_point now{seconds(50)};
  Planner planner(settings, 1, seconds(1'000'000), now, options);
  EndpointListReport endpoint_list;
  for (int i = 0; i < 60; ++i) endpoint_list.upstreams.push_back(TestUpstream("s-" + std::to_string(i)));
  planner.Report(endpoint_list, now);
  const std::set<std::string> before = UsedUpstreams(planner, now);
  CHECK(before.size() >= 4);
  CHECK(before.size() <= 8);
  // A list of changes drains all of these. The gateway must use others from the next request on.
  EndpointListReport changes{.kind = EndpointUpdateKind::kChanges, .index = 1, .upstreams = {}};
  for (const std::string& name : before) {
    changes.upstreams.push_back(TestUpstream(name, UpstreamState::kDraining));
  }
  planner.Report(changes, now);
  const std::set<std::string> after = UsedUpstreams(planner, now);
  CHECK(after.size() >= 4);
  for (const std::string& name : after) CHECK_FALSE(before.contains(name));
}

}  // namespace
}  // namespace postspread::planner
