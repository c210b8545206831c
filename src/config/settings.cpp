// Each Decode function below maps the member names of one JSON object to fields of Settings.
#include "config/settings.h"

#include <algorithm>
#include <utility>

namespace postspread {
namespace {

using namespace json_reader;

ClassSettings DecodeClass(const json& from) {
  ClassSettings out;
  out.name = Text(from, "Name");
  out.latency_objective = Time(from, "Aim");
  out.deadline = Time(from, "HardLimit");
  if (out.deadline.count() == 0) ThrowJsonError("member \"HardLimit\" is not above 0");
  out.retry_safety = Enum<RetrySafety>(from, "Effect",
                                       {{"safe", RetrySafety::kIdempotent},
                                        {"keyed", RetrySafety::kIdempotencyKey},
                                        {"unsafe", RetrySafety::kNotIdempotent}});
  out.scope = EnumOr(from, "DedupScope", KeyScope::kAll,
                     {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}});
  out.key_ttl = TimeOr(from, "KeyTtl");
  out.stream = BoolOr(from, "Stream");
  out.priority_weight = NumberOr(from, "Importance", 1);
  out.late_weight = NumberOr(from, "LateShare", 0);
  return out;
}

PlanSettings DecodePlan(const json& from) {
  PlanSettings out;
  out.name = Text(from, "Name");
  out.rate = NumberOr(from, "PerSecond", 0);
  out.burst = NumberOr(from, "Depth", 0);
  out.max_concurrent = NumberOr(from, "AtOnce", 0);
  out.ceiling_rate = NumberOr(from, "CapRate", 0);
  out.ceiling_burst = NumberOr(from, "HardBurst", 0);
  out.ceiling_slack = NumberOr(from, "CeilingSlack", 0);
  out.price = NumberOr(from, "Pays", 1);
  out.over_quota_weight = NumberOr(from, "ExcessWorth", 0);
  out.over_quota_cost = NumberOr(from, "ExcessCost", 0);
  if (out.rate < 0) ThrowJsonError("member \"PerSecond\" of \"" + out.name + "\" is below 0");
  // A token bucket without a burst admits nothing, and its period would be zero.
  if (out.rate > 0 && out.burst <= 0)
    ThrowJsonError("member \"Depth\" of \"" + out.name + "\" is not above 0");
  return out;
}

// Classes and plans are identified by their names, so a duplicate name is an error.
template <typename Named>
void CheckUniqueName(const std::vector<Named>& earlier, const std::string& name, const char* kind) {
  const bool taken =
      std::any_of(earlier.begin(), earlier.end(), [&name](const Named& other) { return other.name == name; });
  if (taken) ThrowJsonError(std::string("two ") + kind + " are named \"" + name + "\"");
}

std::vector<ClassSettings> DecodeClasses(const json& from) {
  std::vector<ClassSettings> out;
  for (const json& entry : Array(from, "Classes")) {
    ClassSettings decoded = DecodeClass(entry);
    if (decoded.name.empty()) ThrowJsonError("member \"Name\" of a class is empty");
    CheckUniqueName(out, decoded.name, "classes");
    out.push_back(std::move(decoded));
  }
  return out;
}

std::vector<PlanSettings> DecodePlans(const json& from) {
  std::vector<PlanSettings> out;
  for (const json& entry : Array(from, "Contracts")) {
    PlanSettings decoded = DecodePlan(entry);
    CheckUniqueName(out, decoded.name, "plans");
    out.push_back(std::move(decoded));
  }
  return out;
}

// Decodes the gateway's zone and its rank in its group.
void DecodeIdentity(const json& from, Settings& out) {
  if (Find(from, "Zones") != nullptr) {
    for (const json& zone : Array(from, "Zones")) out.zones.push_back(ToText(zone, "Zones"));
  }
  out.zone = TextOr(from, "MyZone");
  out.rank = static_cast<int>(IntegerOr(from, "Rank", 0));
  out.group_size = static_cast<int>(IntegerOr(from, "GroupSize", 1));
  // Ranks start at 0. If the group size is absent, the rank can't be checked.
  if (Find(from, "GroupSize") != nullptr && (out.rank < 0 || out.rank >= out.group_size)) {
    ThrowJsonError("members \"Rank\" and \"GroupSize\" contradict one another: " + std::to_string(out.rank) +
                   " of " + std::to_string(out.group_size));
  }
}

void DecodeDiscovery(const json& from, Settings& out) {
  out.discovery_mode =
      EnumOr(from, "MembershipMode", DiscoveryMode::kPushed,
             {{"automatic", DiscoveryMode::kPushed}, {"subscribe", DiscoveryMode::kSubscribe}});
  out.weights = EnumOr(from, "Weights", WeightAccuracy::kNone,
                       {{"none", WeightAccuracy::kNone},
                        {"nominal", WeightAccuracy::kNominal},
                        {"rough", WeightAccuracy::kRough},
                        {"live", WeightAccuracy::kLive}});
  out.report_source = EnumOr(ObjectOr(from, "LoadReport"), "Source", ReportSource::kNone,
                             {{"none", ReportSource::kNone},
                              {"answers", ReportSource::kResponses},
                              {"probe", ReportSource::kProbes}});
}

// Decodes what the gateways share: the counter, the metering period and messages to peers.
void DecodeSharedState(const json& domain, Settings& out) {
  out.has_counter = BoolOr(domain, "SharedCounter");
  out.counter_timeout = TimeOr(domain, "CountLimit");
  if (out.has_counter && out.counter_timeout.count() <= 0) {
    ThrowJsonError("member \"CountLimit\" is not above 0");
  }
  out.counter_price = NumberOr(domain, "CallPrice", 0);
  out.settles_after_response = BoolOr(domain, "CostAfter");
  out.max_units = NumberOr(domain, "MaxUnits", 1);
  if (out.max_units <= 0) ThrowJsonError("member \"MaxUnits\" is not above 0");
  out.meter_period = TimeOr(domain, "MeterPeriod");
  out.peer_messages_per_second = NumberOr(domain, "MailPerS", 0);
}

void DecodeLimits(const json& limits, Settings& out) {
  constexpr std::int64_t kMaxAttempts = 1'000;
  if (Find(limits, "MostTries") != nullptr) {
    out.max_attempts = static_cast<int>(Integer(limits, "MostTries", 1, kMaxAttempts));
  }
  out.hedging_allowed = BoolOr(limits, "SecondCopies");
  out.can_cancel = BoolOr(limits, "Cancelling");
  out.can_probe = BoolOr(limits, "Probes");
  out.can_message_peers = BoolOr(limits, "MayTell");
  out.retry_after = BoolOr(limits, "RetryAfter");
  out.max_retry_after = TimeOr(limits, "MaxRetryAfter");
  out.dial_timeout = TimeOr(limits, "DialTimeout");
}

void DecodePrices(const json& prices, Settings& out) {
  out.probe_price = NumberOr(prices, "Probe", 0);
  out.zone_cross_price = NumberOr(prices, "CrossZone", 0);
  out.waste_price = NumberOr(prices, "Waste", 0);
  out.late_fail_price = NumberOr(prices, "LateFail", 0);
}

void DecodeSafety(const json& safety, Settings& out) {
  out.response_slack = TimeOr(safety, "AnswerSlack");
  out.drain_grace = TimeOr(safety, "DrainGrace");
  out.subscribe_within = TimeOr(safety, "AskWithin");
  out.initial_capacity = NumberOr(safety, "ColdShare", 1);
  if (out.initial_capacity < 0 || out.initial_capacity > 1) {
    ThrowJsonError("member \"ColdShare\" is not between 0 and 1");
  }
  out.slow_start_duration = TimeOr(safety, "WarmWithin");
  out.overload_multiple = NumberOr(safety, "FallMultiple", 0);
  out.overload_window = TimeOr(safety, "Fall");
}

void DecodeGoal(const json& goal, Settings& out) {
  out.goal_total = NumberOr(goal, "Whole", 1);
  out.goal_worst_window = NumberOr(goal, "WorstWindow", 0);
  out.goal_worst_class = NumberOr(goal, "WorstClass", 0);
  out.goal_worst_plan = NumberOr(goal, "WorstTenant", 0);
}

}  // namespace

Settings DecodeSettings(const json& from) {
  if (!from.is_object()) ThrowJsonError("member \"Info\" is not an object");
  Settings out;
  out.classes = DecodeClasses(from);
  out.plans = DecodePlans(from);
  DecodeIdentity(from, out);
  DecodeDiscovery(from, out);
  out.tick = TimeOr(from, "Tick");
  DecodeSharedState(ObjectOr(from, "Domain"), out);
  DecodeLimits(ObjectOr(from, "Limits"), out);
  DecodePrices(ObjectOr(from, "Prices"), out);
  DecodeSafety(ObjectOr(from, "Safety"), out);
  DecodeGoal(ObjectOr(from, "Goal"), out);
  return out;
}

}  // namespace postspread
