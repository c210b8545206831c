#include "settings.h"

namespace postspread {
namespace {

using namespace json_read;

ClassSettings DecodeClass(const json& from) {
  ClassSettings out;
  out.name = Text(from, "Name");
  out.latency_objective = Time(from, "Aim");
  out.deadline = Time(from, "HardLimit");
  if (out.deadline.count() == 0) Bad("member \"HardLimit\" is not above 0");
  out.retry_safety = Word<RetrySafety>(from, "Effect",
                                       {{"safe", RetrySafety::kIdempotent},
                                        {"keyed", RetrySafety::kIdempotencyKey},
                                        {"unsafe", RetrySafety::kNotIdempotent}});
  out.scope = WordOr(from, "DedupScope", KeyScope::kAll,
                     {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}});
  out.key_ttl = TimeOr(from, "KeyTtl");
  out.stream = FlagOr(from, "Stream");
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
  if (out.rate < 0) Bad("member \"PerSecond\" of \"" + out.name + "\" is below 0");
  // A store that holds nothing lets nothing in, and its period would have no length.
  if (out.rate > 0 && out.burst <= 0) Bad("member \"Depth\" of \"" + out.name + "\" is not above 0");
  return out;
}

}  // namespace

Settings DecodeSettings(const json& from) {
  if (!from.is_object()) Bad("member \"Info\" is not an object");
  Settings out;
  for (const json& entry : Array(from, "Classes")) {
    const ClassSettings& cls = out.classes.emplace_back(DecodeClass(entry));
    if (cls.name.empty()) Bad("member \"Name\" of a class is empty");
    for (std::size_t i = 0; i + 1 < out.classes.size(); ++i) {
      if (out.classes[i].name == cls.name) Bad("two classes are named \"" + cls.name + "\"");
    }
  }
  for (const json& entry : Array(from, "Contracts")) {
    PlanSettings plan = DecodePlan(entry);
    for (const PlanSettings& other : out.plans) {
      if (other.name == plan.name) Bad("two plans are named \"" + plan.name + "\"");
    }
    out.plans.push_back(std::move(plan));
  }
  if (Find(from, "Zones") != nullptr) {
    for (const json& zone : Array(from, "Zones")) out.zones.push_back(ToText(zone, "Zones"));
  }
  out.zone = TextOr(from, "MyZone");
  out.rank = static_cast<int>(IntegerOr(from, "Rank", 0));
  out.group_size = static_cast<int>(IntegerOr(from, "GroupSize", 1));
  // Numbers count from 0. Where the group is not told there is nothing to hold the number against.
  if (Find(from, "GroupSize") != nullptr && (out.rank < 0 || out.rank >= out.group_size)) {
    Bad("members \"Rank\" and \"GroupSize\" contradict one another: " + std::to_string(out.rank) + " of " +
        std::to_string(out.group_size));
  }
  out.discovery_mode =
      WordOr(from, "MembershipMode", DiscoveryMode::kPushed,
             {{"automatic", DiscoveryMode::kPushed}, {"subscribe", DiscoveryMode::kSubscribe}});
  out.weights = WordOr(from, "Weights", WeightMeaning::kNone,
                       {{"none", WeightMeaning::kNone},
                        {"nominal", WeightMeaning::kNominal},
                        {"rough", WeightMeaning::kRough},
                        {"live", WeightMeaning::kLive}});
  out.tick = TimeOr(from, "Tick");

  const json& domain = Part(from, "Domain");
  out.has_counter = FlagOr(domain, "SharedCounter");
  out.counter_timeout = TimeOr(domain, "CountLimit");
  // Each call would be out of time at once.
  if (out.has_counter && out.counter_timeout.count() <= 0) Bad("member \"CountLimit\" is not above 0");
  out.counter_price = NumberOr(domain, "CallPrice", 0);
  out.settles_after_response = FlagOr(domain, "CostAfter");
  out.max_units = NumberOr(domain, "MaxUnits", 1);
  if (out.max_units <= 0) Bad("member \"MaxUnits\" is not above 0");
  out.meter_period = TimeOr(domain, "MeterPeriod");
  out.peer_messages_per_second = NumberOr(domain, "MailPerS", 0);

  const json& limits = Part(from, "Limits");
  out.max_attempts =
      Find(limits, "MostTries") == nullptr ? 1 : static_cast<int>(Integer(limits, "MostTries", 1, 1000));
  out.hedging_allowed = FlagOr(limits, "SecondCopies");
  out.can_cancel = FlagOr(limits, "Cancelling");
  out.can_probe = FlagOr(limits, "Probes");
  out.can_message_peers = FlagOr(limits, "MayTell");
  out.retry_after = FlagOr(limits, "RetryAfter");
  out.max_retry_after = TimeOr(limits, "MaxRetryAfter");
  out.dial_timeout = TimeOr(limits, "DialTimeout");

  const json& prices = Part(from, "Prices");
  out.probe_price = NumberOr(prices, "Probe", 0);
  out.zone_cross_price = NumberOr(prices, "CrossZone", 0);
  out.waste_price = NumberOr(prices, "Waste", 0);
  out.late_fail_price = NumberOr(prices, "LateFail", 0);

  out.report_source = WordOr(
      Part(from, "LoadReport"), "Source", ReportSource::kNone,
      {{"none", ReportSource::kNone}, {"answers", ReportSource::kAnswers}, {"probe", ReportSource::kProbes}});

  const json& safety = Part(from, "Safety");
  out.answer_slack = TimeOr(safety, "AnswerSlack");
  out.drain_grace = TimeOr(safety, "DrainGrace");
  out.subscribe_within = TimeOr(safety, "AskWithin");
  out.cold_capacity = NumberOr(safety, "ColdShare", 1);
  if (out.cold_capacity < 0 || out.cold_capacity > 1) Bad("member \"ColdShare\" is not between 0 and 1");
  out.slow_start_duration = TimeOr(safety, "WarmWithin");
  out.overload_multiple = NumberOr(safety, "FallMultiple", 0);
  out.overload_window = TimeOr(safety, "Fall");

  const json& goal = Part(from, "Goal");
  out.goal_whole = NumberOr(goal, "Whole", 1);
  out.goal_worst_window = NumberOr(goal, "WorstWindow", 0);
  out.goal_worst_class = NumberOr(goal, "WorstClass", 0);
  out.goal_worst_plan = NumberOr(goal, "WorstTenant", 0);
  return out;
}

}  // namespace postspread
