// The facade: steps out, reports in, and no other way between the network and the module.
#include "planner/planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postspread::planner {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

Settings Site(bool has_counter) {
  Settings out;
  ClassSettings read;
  read.name = "lookup";
  read.latency_objective = seconds(1);
  read.deadline = seconds(3);
  out.classes = {read};
  PlanSettings plan;
  plan.name = "team";
  plan.rate = 10;
  plan.burst = 10;
  out.plans = {plan};
  out.has_counter = has_counter;
  out.max_units = 4;
  out.max_attempts = 4;
  out.can_cancel = true;
  out.hedging_allowed = true;
  out.retry_after = true;
  out.max_retry_after = seconds(1);
  return out;
}

// A request of this customer's.
Request Lookup(const std::string& customer) {
  return {.class_name = "lookup",
          .plan = "team",
          .customer = customer,
          .timeout = milliseconds(2000),
          .units = 1};
}

struct Bench {
  explicit Bench(bool has_counter = false) : planner(Site(has_counter), 1, seconds(1'000'000), now) {
    EndpointListReport endpoint_list;
    endpoint_list.upstreams = {{.name = "a", .zone = "z", .kind = "k"},
                               {.name = "b", .zone = "z", .kind = "k"}};
    Put(planner.Report(std::move(endpoint_list), now));
  }
  void Put(Actions actions) { last.assign(actions.begin(), actions.end()); }
  RequestId Pick(double units = 1) {
    const Planner::PickResult picked = planner.Pick({.class_name = "lookup",
                                                     .plan = "team",
                                                     .customer = "0000000000000001",
                                                     .timeout = milliseconds(2000),
                                                     .units = units},
                                                    now);
    Put(picked.actions);
    return picked.number;
  }
  void Report(ReportValue report) { Put(planner.Report(std::move(report), now)); }
  // Runs the timers up to `until`, and stops at the first that has steps to carry out.
  void TickUntil(Clock::time_point until) {
    last.clear();
    while (last.empty() && planner.NextTick() && *planner.NextTick() <= until) {
      now = std::max(now, *planner.NextTick());
      Put(planner.Tick(now));
    }
  }
  template <typename T>
  std::optional<T> Only() const {
    if (last.size() != 1 || !std::holds_alternative<T>(last[0])) return std::nullopt;
    return std::get<T>(last[0]);
  }

  Clock::time_point now{seconds(50)};
  Planner planner;
  std::vector<Action> last;
};

// Five requests a second of one firm, the counter crowded but for totals where `total` is above 0; returns
// how many were let in.
int LetIn(Planner& planner, Clock::time_point now, int count, double total) {
  int sent = 0;
  for (int i = 0; i < count; ++i, now += milliseconds(200)) {
    Planner::PickResult picked = planner.Pick({.class_name = "lookup",
                                               .plan = "team",
                                               .customer = "f",
                                               .timeout = seconds(2),
                                               .units = 1,
                                               .spread = 100},
                                              now);
    std::vector<Action> actions(picked.actions.begin(), picked.actions.end());
    for (std::size_t n = 0; n < actions.size(); ++n) {
      Actions more;
      if (std::holds_alternative<StartAttempt>(actions[n])) {
        ++sent;
        more = planner.Report(AttemptReport{.request = picked.number, .upstream = "a"}, now);
      } else if (const auto* ask = std::get_if<CallCounter>(&actions[n])) {
        const bool added = total > 0 && i > 0;
        more = planner.Report(
            CounterReport{ask->name, added ? CounterResult::kAdded : CounterResult::kRejected, total}, now);
      }
      const std::vector<Action> copied(more.begin(), more.end());
      actions.insert(actions.end(), copied.begin(), copied.end());
    }
  }
  return sent;
}

TEST_CASE("where the counter is crowded, what one gatekeeper learns of a firm guides the others") {
  Settings settings = Site(true);
  settings.group_size = 100;
  settings.can_message_peers = true;
  settings.peer_messages_per_second = 40;
  Clock::time_point now{seconds(50)};
  EndpointListReport endpoint_list;
  endpoint_list.upstreams = {{.name = "a", .zone = "z", .kind = "k"}};
  const PlannerOptions extras{.idempotency = {}, .usage = {.broadcast = true}, .has_peers = true};
  Planner teller(settings, 1, seconds(1'000'000), now, extras),
      told(settings, 2, seconds(1'000'000), now, extras),
      untold(settings, 2, seconds(1'000'000), now, extras);
  for (Planner* each : {&teller, &told, &untold}) each->Report(endpoint_list, now);
  LetIn(teller, now, 10, 200);  // some twenty times its rate
  now += seconds(2);
  std::string bytes;
  while (bytes.empty() && teller.NextTick() && now < Clock::time_point(seconds(60))) {
    now = std::max(now, *teller.NextTick());
    for (const Action& step : teller.Tick(now)) {
      if (const auto* tell = std::get_if<SendDatagram>(&step)) bytes = tell->bytes;
    }
  }
  REQUIRE(bytes.size() == 9);
  told.Report(PeerReport{0, bytes}, now);
  CHECK(LetIn(untold, now, 50, 0) > 20);
  CHECK(LetIn(told, now, 50, 0) < 10);
}

TEST_CASE("who leaves by the view of the fleet is no witness from then on, and who comes back is one again") {
  Settings settings = Site(false);
  settings.classes[0].retry_safety = RetrySafety::kIdempotencyKey;
  settings.classes[0].scope = KeyScope::kCell;
  settings.classes[0].key_ttl = seconds(15);
  settings.can_message_peers = true;
  settings.group_size = 2;
  Clock::time_point now{seconds(50)};
  const auto start = [&](int rank, seconds wall) {
    PlannerOptions extras;
    extras.idempotency.enabled = extras.membership.enabled = extras.has_peers = true;
    extras.name = "gk-" + std::to_string(rank);
    extras.peer = static_cast<membership::PeerId>(rank);
    extras.seeds = {0, 1};
    Settings own = settings;
    own.rank = rank;
    return std::make_unique<Planner>(own, 1, wall, now, extras);
  };
  std::unique_ptr<Planner> planners[] = {start(0, seconds(1'000'000)), start(1, seconds(1'000'000))};
  EndpointListReport endpoint_list;
  endpoint_list.upstreams = {{.name = "a", .zone = "z", .kind = "k"}};
  planners[0]->Report(endpoint_list, now);
  // What of the view one has to say goes to the other, and the other way round.
  const std::function<void(int, Actions)> pass = [&](int from, Actions actions) {
    for (const Action& step : std::vector<Action>(actions.begin(), actions.end())) {
      const auto* tell = std::get_if<SendMembershipDatagram>(&step);
      if (tell == nullptr || tell->peer == static_cast<std::uint64_t>(from)) continue;
      pass(1 - from, planners[1 - from]->Report(PeerReport{from, tell->bytes}, now));
    }
  };
  const auto run = [&] {
    for (int i = 0; i < 30; ++i, now += milliseconds(100)) {
      for (const int rank : {0, 1}) pass(rank, planners[rank]->Tick(now));
    }
  };
  // Whether work under a new key begins at once, with nobody to ask.
  const auto begins_alone = [&](const char* key) {
    const Planner::PickResult picked = planners[0]->Pick({.class_name = "lookup",
                                                          .plan = "team",
                                                          .customer = "0000000000000001",
                                                          .timeout = seconds(2),
                                                          .units = 1,
                                                          .spread = 2,
                                                          .is_write = true,
                                                          .key = key},
                                                         now);
    return std::any_of(picked.actions.begin(), picked.actions.end(),
                       [](const Action& s) { return std::holds_alternative<StartAttempt>(s); });
  };
  run();
  CHECK_FALSE(begins_alone("k1"));
  pass(1, planners[1]->Leave(now));
  CHECK(begins_alone("k2"));
  planners[1] = start(1, seconds(1'000'100));
  run();
  CHECK_FALSE(begins_alone("k3"));
}

TEST_CASE(
    "a gatekeeper of many uses its part of the next hops, and a place that falls empty is filled at once") {
  Settings settings = Site(false);
  settings.group_size = 100;
  PlannerOptions extras;
  extras.subsetting.subsets = true;
  Clock::time_point now{seconds(50)};
  Planner planner(settings, 1, seconds(1'000'000), now, extras);
  EndpointListReport endpoint_list;
  for (int i = 0; i < 60; ++i)
    endpoint_list.upstreams.push_back({.name = "s-" + std::to_string(i), .zone = "z", .kind = "k"});
  planner.Report(endpoint_list, now);
  const auto used = [&] {  // by requests that are all under way at once
    std::set<std::string> out;
    std::vector<AttemptReport> ended;
    for (int i = 0; i < 60; ++i) {
      const std::string customer = std::to_string(i);
      const Planner::PickResult picked = planner.Pick(Lookup(customer), now);
      for (const Action& step : picked.actions) {
        const auto* deliver = std::get_if<StartAttempt>(&step);
        if (deliver == nullptr) continue;
        out.insert(deliver->upstream);
        ended.push_back(
            {.request = picked.number, .upstream = deliver->upstream, .elapsed = milliseconds(5)});
      }
    }
    now += milliseconds(5);
    for (const AttemptReport& report : ended) planner.Report(report, now);
    now += seconds(2);
    return out;
  };
  const std::set<std::string> before = used();
  CHECK(before.size() >= 4);
  CHECK(before.size() <= 8);
  // All of these drain, by a list of changes: others are used from the next request on.
  EndpointListReport changes{.kind = EndpointUpdateKind::kChanges, .index = 1, .upstreams = {}};
  for (const std::string& name : before) {
    changes.upstreams.push_back({.name = name, .zone = "z", .kind = "k", .state = UpstreamState::kDraining});
  }
  planner.Report(changes, now);
  const std::set<std::string> after = used();
  CHECK(after.size() >= 4);
  for (const std::string& name : after) CHECK_FALSE(before.contains(name));
}

TEST_CASE("an envelope is delivered, and a failed attempt goes to another next hop") {
  Bench bench;
  const RequestId number = bench.Pick();
  const auto first = bench.Only<StartAttempt>();
  REQUIRE(first);
  CHECK(first->request == number);
  CHECK(first->attempt == 0);
  CHECK(first->timeout == milliseconds(1990));
  bench.Report(
      AttemptReport{number, 0, first->upstream, AttemptResult::kConnectFailed, microseconds(9), {}});
  const auto second = bench.Only<StartAttempt>();
  REQUIRE(second);
  CHECK(second->attempt == 1);
  CHECK(second->upstream != first->upstream);
  bench.Report(AttemptReport{number, 1, second->upstream, AttemptResult::kSucceeded, microseconds(9), {}});
  CHECK(bench.last.empty());
  CHECK(bench.Pick() != number);
}

TEST_CASE("the counter is asked once, and its answer opens the way") {
  Bench bench(/*has_counter=*/true);
  bench.Pick(2);
  const auto ask = bench.Only<CallCounter>();
  REQUIRE(ask);
  CHECK(ask->amount == 2);
  CHECK(ask->name.find("0000000000000001") == 0);
  bench.Report(CounterReport{ask->name, CounterResult::kAdded, 2, microseconds(900)});
  CHECK(bench.Only<StartAttempt>());
}

TEST_CASE("a full quota defers at once, and says when to come back") {
  Bench bench(/*has_counter=*/true);
  bench.Pick(4);
  bench.Report(CounterReport{bench.Only<CallCounter>()->name, CounterResult::kAdded, 60, microseconds(900)});
  const auto defer = bench.Only<RejectWithRetryAfter>();
  REQUIRE(defer);
  CHECK(defer->retry_after > microseconds(0));
}

TEST_CASE("an envelope without an answer ends before its sender gives up") {
  Bench bench;
  const auto begun = bench.now;
  const RequestId number = bench.Pick();
  bool ended = false;
  while (!ended && bench.planner.NextTick() && *bench.planner.NextTick() <= begun + seconds(3)) {
    bench.TickUntil(begun + seconds(3));
    for (const Action& step : bench.last) {
      const auto* defer = std::get_if<RejectWithRetryAfter>(&step);
      ended |= defer != nullptr && defer->request == number;
    }
  }
  CHECK(ended);
  CHECK(bench.now - begun <= milliseconds(1990));  // the answer still has its way before it
}

TEST_CASE("a sender that has gone ends its attempts") {
  Bench bench;
  const RequestId number = bench.Pick();
  bench.Report(ClientDisconnected{number});
  const auto abandon = bench.Only<CancelAttempt>();
  REQUIRE(abandon);
  CHECK(abandon->request == number);
  bench.Report(AttemptReport{number, 0, "a", AttemptResult::kCancelled, microseconds(9), {}});
  CHECK(bench.last.empty());
}

TEST_CASE("each Tick ends, and the next one is wanted later") {
  Bench bench;
  REQUIRE(bench.planner.NextTick());
  for (int i = 0; i < 20; ++i) {
    const auto wanted = *bench.planner.NextTick();
    bench.planner.Tick(wanted);
    CHECK(*bench.planner.NextTick() > wanted);
  }
  const auto wanted = *bench.planner.NextTick();
  bench.planner.Tick(wanted - seconds(9));  // a clock that went back changes nothing
  CHECK(*bench.planner.NextTick() == wanted);
}

TEST_CASE("classes that come and go take no more places than there were at once, other plans are left") {
  Bench bench;
  Settings next = Site(false);
  next.classes.push_back(next.classes[0]);
  for (int round = 0; round < 50; ++round) {
    next.classes[1].name = "class" + std::to_string(round);
    CHECK_FALSE(bench.planner.Reconfigure(next));
  }
  CHECK(bench.planner.class_slots() == 2);
  const Planner::PickResult picked = bench.planner.Pick({.class_name = "class49",
                                                         .plan = "team",
                                                         .customer = "0000000000000002",
                                                         .timeout = milliseconds(2000)},
                                                        bench.now);
  CHECK(std::holds_alternative<StartAttempt>(picked.actions[0]));
  next.plans[0].name = "crew";
  CHECK(bench.planner.Reconfigure(next));
  bench.Pick();
  CHECK(std::holds_alternative<StartAttempt>(bench.last.at(0)));
}

// How many of 100 requests at once go to upstream `b`, whose restart has just been told `off` by the wall
// clock.
int SentToRestarted(std::chrono::microseconds off) {
  Settings settings = Site(false);
  settings.cold_capacity = 0.1;
  settings.slow_start_duration = seconds(60);
  settings.overload_multiple = 2;
  settings.overload_window = seconds(2);
  Clock::time_point now{seconds(50)};
  const seconds wall(1'000'000);
  Planner planner(settings, 1, wall, now);
  EndpointListReport endpoint_list{.kind = EndpointUpdateKind::kSnapshot, .index = 1, .upstreams = {}};
  endpoint_list.upstreams = {{.name = "a", .zone = "z", .kind = "k"},
                             {.name = "b", .zone = "z", .kind = "k"}};
  planner.Report(endpoint_list, now);
  now += seconds(10);
  endpoint_list.index = 2;
  endpoint_list.upstreams[1].started = std::chrono::duration_cast<milliseconds>(wall + seconds(9) + off);
  planner.Report(endpoint_list, now);
  int out = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string customer = std::to_string(i);
    const Planner::PickResult picked = planner.Pick(Lookup(customer), now);
    for (const Action& step : picked.actions) {
      const auto* deliver = std::get_if<StartAttempt>(&step);
      out += deliver != nullptr && deliver->upstream == "b";
    }
  }
  return out;
}

TEST_CASE("a restarted next hop is started slowly, however far the wall clocks are apart") {
  const int usual = SentToRestarted(seconds(0));
  CHECK(usual < 25);
  for (const seconds off : {seconds(1), seconds(60), seconds(3'600)}) {
    CHECK(SentToRestarted(off) <= usual);
    CHECK(SentToRestarted(-off) <= usual + 1);
  }
}

}  // namespace
}  // namespace postspread::planner
