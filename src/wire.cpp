#include "wire.h"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace postspread::wire {
namespace {

using nlohmann::json;

[[noreturn]] void Bad(const std::string& what) { throw WireError(what); }

const json* Find(const json& from, const char* key) {
  if (!from.is_object()) return nullptr;
  const auto it = from.find(key);
  return it == from.end() || it->is_null() ? nullptr : &*it;
}

const json& Need(const json& from, const char* key) {
  const json* value = Find(from, key);
  if (value == nullptr) Bad(std::string("missing member \"") + key + "\"");
  return *value;
}

std::int64_t ToInteger(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      Bad(std::string("member \"") + key + "\" is out of range");
    }
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (value.is_number_float() && std::abs(value.get<double>()) < 9e15 &&
      value.get<double>() == std::floor(value.get<double>())) {
    return static_cast<std::int64_t>(value.get<double>());
  }
  Bad(std::string("member \"") + key + "\" is not a whole number");
}

std::int64_t Integer(const json& from, const char* key, std::int64_t least, std::int64_t most) {
  const std::int64_t number = ToInteger(Need(from, key), key);
  if (number < least || number > most) Bad(std::string("member \"") + key + "\" is out of range");
  return number;
}

std::int64_t IntegerOr(const json& from, const char* key, std::int64_t absent) {
  const json* value = Find(from, key);
  return value == nullptr ? absent : ToInteger(*value, key);
}

double ToNumber(const json& value, const char* key) {
  if (!value.is_number()) Bad(std::string("member \"") + key + "\" is not a number");
  return value.get<double>();
}

double NumberOr(const json& from, const char* key, double absent) {
  const json* value = Find(from, key);
  return value == nullptr ? absent : ToNumber(*value, key);
}

bool FlagOr(const json& from, const char* key, bool absent = false) {
  const json* value = Find(from, key);
  if (value == nullptr) return absent;
  if (!value->is_boolean()) Bad(std::string("member \"") + key + "\" is not true or false");
  return value->get<bool>();
}

std::string ToText(const json& value, const char* key) {
  if (!value.is_string()) Bad(std::string("member \"") + key + "\" is not text");
  return value.get<std::string>();
}

std::string Text(const json& from, const char* key) { return ToText(Need(from, key), key); }

std::string TextOr(const json& from, const char* key, std::string absent = "") {
  const json* value = Find(from, key);
  return value == nullptr ? std::move(absent) : ToText(*value, key);
}

Duration Time(const json& from, const char* key) {
  return Duration(Integer(from, key, 0, std::numeric_limits<std::int64_t>::max()));
}

Duration TimeOr(const json& from, const char* key) { return Duration(IntegerOr(from, key, 0)); }

template <typename T>
T Word(const json& from, const char* key, std::initializer_list<std::pair<const char*, T>> words) {
  const std::string word = Text(from, key);
  for (const auto& [name, value] : words) {
    if (word == name) return value;
  }
  Bad("member \"" + std::string(key) + "\" has the unknown value \"" + word + "\"");
}

template <typename T>
T WordOr(const json& from, const char* key, T absent,
         std::initializer_list<std::pair<const char*, T>> words) {
  return Find(from, key) == nullptr ? absent : Word(from, key, words);
}

const json& Array(const json& from, const char* key) {
  const json& value = Need(from, key);
  if (!value.is_array()) Bad(std::string("member \"") + key + "\" is not a list");
  return value;
}

const json& Part(const json& from, const char* key) {
  static const json kNone = json::object();
  const json* value = Find(from, key);
  if (value != nullptr && !value->is_object()) Bad(std::string("member \"") + key + "\" is not an object");
  return value == nullptr ? kNone : *value;
}

ClassSettings DecodeClass(const json& from) {
  ClassSettings out;
  out.name = Text(from, "Name");
  out.aim = Time(from, "Aim");
  out.deadline = Time(from, "HardLimit");
  out.repeat = Word<Repeat>(
      from, "Effect", {{"safe", Repeat::kSafe}, {"keyed", Repeat::kKeyed}, {"unsafe", Repeat::kUnsafe}});
  out.scope = WordOr(from, "DedupScope", Scope::kAll,
                     {{"all", Scope::kAll}, {"zone", Scope::kZone}, {"cell", Scope::kCell}});
  out.key_ttl = TimeOr(from, "KeyTtl");
  out.stream = FlagOr(from, "Stream");
  out.worth = NumberOr(from, "Importance", 1);
  out.late_worth = NumberOr(from, "LateShare", 0);
  return out;
}

PlanSettings DecodePlan(const json& from) {
  PlanSettings out;
  out.name = Text(from, "Name");
  out.rate = NumberOr(from, "PerSecond", 0);
  out.burst = NumberOr(from, "Depth", 0);
  out.max_open = NumberOr(from, "AtOnce", 0);
  out.ceiling_rate = NumberOr(from, "CapRate", 0);
  out.ceiling_burst = NumberOr(from, "HardBurst", 0);
  out.ceiling_slack = NumberOr(from, "CeilingSlack", 0);
  out.price = NumberOr(from, "Pays", 1);
  out.excess_worth = NumberOr(from, "ExcessWorth", 0);
  out.excess_cost = NumberOr(from, "ExcessCost", 0);
  return out;
}

Settings DecodeSettings(const json& from) {
  if (!from.is_object()) Bad("member \"Info\" is not an object");
  Settings out;
  for (const json& entry : Array(from, "Classes")) out.classes.push_back(DecodeClass(entry));
  for (const json& entry : Array(from, "Contracts")) out.plans.push_back(DecodePlan(entry));
  if (Find(from, "Zones") != nullptr) {
    for (const json& zone : Array(from, "Zones")) out.zones.push_back(ToText(zone, "Zones"));
  }
  out.zone = TextOr(from, "MyZone");
  out.rank = static_cast<int>(IntegerOr(from, "Rank", 0));
  out.group_size = static_cast<int>(IntegerOr(from, "GroupSize", 1));
  out.roster_mode = WordOr(from, "MembershipMode", RosterMode::kPushed,
                           {{"automatic", RosterMode::kPushed}, {"subscribe", RosterMode::kSubscribe}});
  out.weights = WordOr(from, "Weights", WeightMeaning::kNone,
                       {{"none", WeightMeaning::kNone},
                        {"nominal", WeightMeaning::kNominal},
                        {"rough", WeightMeaning::kRough},
                        {"live", WeightMeaning::kLive}});
  out.tick = TimeOr(from, "Tick");

  const json& domain = Part(from, "Domain");
  out.has_counter = FlagOr(domain, "SharedCounter");
  out.counter_timeout = TimeOr(domain, "CountLimit");
  out.counter_price = NumberOr(domain, "CallPrice", 0);
  out.cost_after = FlagOr(domain, "CostAfter");
  out.max_units = NumberOr(domain, "MaxUnits", 1);
  out.meter_period = TimeOr(domain, "MeterPeriod");

  const json& limits = Part(from, "Limits");
  out.max_attempts = static_cast<int>(IntegerOr(limits, "MostTries", 1));
  out.second_copies = FlagOr(limits, "SecondCopies");
  out.can_cancel = FlagOr(limits, "Cancelling");
  out.can_probe = FlagOr(limits, "Probes");
  out.can_tell = FlagOr(limits, "MayTell");
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
  out.cold_share = NumberOr(safety, "ColdShare", 1);
  out.warm_within = TimeOr(safety, "WarmWithin");
  out.fall_multiple = NumberOr(safety, "FallMultiple", 0);
  out.fall_window = TimeOr(safety, "Fall");

  const json& goal = Part(from, "Goal");
  out.goal_whole = NumberOr(goal, "Whole", 1);
  out.goal_worst_window = NumberOr(goal, "WorstWindow", 0);
  out.goal_worst_class = NumberOr(goal, "WorstClass", 0);
  out.goal_worst_plan = NumberOr(goal, "WorstTenant", 0);
  return out;
}

ServerInfo DecodeServer(const json& from) {
  ServerInfo out;
  out.id = Text(from, "Backend");
  out.zone = TextOr(from, "Campus");
  out.kind = TextOr(from, "Shape");
  out.cell = IntegerOr(from, "Group", 0);
  out.state = WordOr(from, "Availability", ServerState::kUp,
                     {{"in_service", ServerState::kUp},
                      {"terminating", ServerState::kDraining},
                      {"terminated", ServerState::kGone}});
  out.weight = NumberOr(from, "Size", 1);
  out.started = TimePoint(IntegerOr(from, "OnlineSince", 0));
  return out;
}

LoadReport DecodeLoad(const json& from) {
  LoadReport out;
  const json& gauge = Part(from, "Gauge");
  out.outstanding = NumberOr(gauge, "outstanding", -1);
  out.queue = NumberOr(gauge, "backlog", -1);
  out.utilization = NumberOr(gauge, "utilization", -1);
  out.latency_ms = NumberOr(gauge, "recent_ms", -1);
  out.per_second = NumberOr(gauge, "throughput", -1);
  out.errors_per_second = NumberOr(gauge, "errors_per_s", -1);
  return out;
}

Outcome DecodeOutcome(const json& from) {
  return Word<Outcome>(from, "Reason",
                       {{"pass", Outcome::kOk},
                        {"fault", Outcome::kError},
                        {"no_room", Outcome::kFull},
                        {"too_slow", Outcome::kTimeout},
                        {"no_route", Outcome::kConnectFailed},
                        {"cut", Outcome::kReset},
                        {"undone", Outcome::kCancelled},
                        {"stale_send", Outcome::kNotSent}});
}

RequestId DecodeId(const json& from) {
  return static_cast<RequestId>(Integer(from, "Corr", 0, std::numeric_limits<std::uint32_t>::max()));
}

int DecodeAttempt(const json& from) {
  return static_cast<int>(Find(from, "Try") == nullptr ? 0 : Integer(from, "Try", 0, 1'000'000));
}

std::string DecodeBase64(const std::string& text) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned bits = 0;
  int held = 0;
  for (const char c : text) {
    if (c == '=') break;
    const auto digit = kDigits.find(c);
    if (digit == std::string_view::npos) Bad("member \"Content\" is not base64");
    bits = (bits << 6 | static_cast<unsigned>(digit)) & 0xffffU;
    held += 6;
    if (held >= 8) {
      held -= 8;
      out.push_back(static_cast<char>(bits >> held & 0xffU));
    }
  }
  return out;
}

RequestEvent DecodeRequest(const json& from) {
  RequestEvent out;
  out.id = DecodeId(from);
  out.class_name = Text(from, "Service");
  out.plan = TextOr(from, "Terms");
  out.customer = TextOr(from, "ApiKey");
  out.time_left = TimeOr(from, "ExpiresIn");
  out.units = NumberOr(from, "CostUnits", 1);
  out.spread = static_cast<int>(IntegerOr(from, "Width", 1));
  out.first_gateway = static_cast<int>(IntegerOr(from, "FirstDoor", 0));
  out.retry = FlagOr(from, "IsRetry");
  out.write = FlagOr(from, "Update");
  return out;
}

OutcomeEvent DecodeOutcomeEvent(const json& from) {
  OutcomeEvent out;
  out.id = DecodeId(from);
  out.attempt = DecodeAttempt(from);
  out.server = Text(from, "Backend");
  out.outcome = DecodeOutcome(from);
  out.elapsed = TimeOr(from, "Elapsed");
  out.final = FlagOr(from, "Last");
  out.metered = IntegerOr(from, "Metered", 0);
  out.true_units = NumberOr(from, "TrueUnits", 0);
  out.load = DecodeLoad(from);
  return out;
}

TimerEvent DecodeTimer(const json& from) {
  const std::string text = Text(from, "Cookie");
  TimerEvent out;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out.token);
  if (error != std::errc() || end != text.data() + text.size()) out.token = 0;  // not one of ours: nobody's
  return out;
}

CounterEvent DecodeCounter(const json& from) {
  CounterEvent out;
  out.name = Text(from, "Book");
  out.result = Word<CounterResult>(from, "Reason",
                                   {{"pass", CounterResult::kOk},
                                    {"no_room", CounterResult::kRefused},
                                    {"no_route", CounterResult::kUnreachable},
                                    {"too_slow", CounterResult::kTimeout}});
  out.total = NumberOr(from, "Level", 0);
  out.elapsed = TimeOr(from, "Elapsed");
  return out;
}

std::string Line(const json& message) { return message.dump(-1, ' ', false, json::error_handler_t::replace); }

json Begin(std::int64_t instance, const char* type) { return {{"event_type", type}, {"I", instance}}; }

struct ActionEncoder {
  std::int64_t instance;

  json operator()(const Send& a) const {
    json out = Begin(instance, "CallOut");
    out["Corr"] = a.id;
    out["Backend"] = a.server;
    if (a.timeout.count() != 0) out["Limit"] = a.timeout.count();
    return out;
  }
  json operator()(const Refuse& a) const {
    json out = Begin(instance, "Shed");
    out["Corr"] = a.id;
    if (a.retry_after.count() > 0) out["HoldOff"] = a.retry_after.count();
    return out;
  }
  json operator()(const Fail& a) const {
    json out = Begin(instance, "GiveUp");
    out["Corr"] = a.id;
    return out;
  }
  json operator()(const Cancel& a) const {
    json out = Begin(instance, "Revoke");
    out["Corr"] = a.id;
    out["Try"] = a.attempt;
    return out;
  }
  json operator()(const SetTimer& a) const {
    json out = Begin(instance, "Schedule");
    out["After"] = a.after.count();
    out["Cookie"] = std::to_string(a.token);
    return out;
  }
  json operator()(const CounterAdd& a) const {
    json out = Begin(instance, "Incr");
    out["Book"] = a.name;
    out["Delta"] = a.amount;
    out["Ttl"] = a.ttl.count();
    return out;
  }
  json operator()(const Probe& a) const {
    json out = Begin(instance, "Sample");
    out["Backend"] = a.server;
    return out;
  }
  json operator()(const Subscribe&) const {
    json out = Begin(instance, "Watch");
    out["Enable"] = true;
    return out;
  }
  json operator()(const Log& a) const {
    json out = Begin(instance, "Emit");
    out["Line"] = a.line;
    return out;
  }
};

}  // namespace

Message Decoder::Decode(std::string_view line) {
  const json from = json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (from.is_discarded()) Bad("not valid JSON");
  if (!from.is_object()) Bad("not a JSON object");
  const std::string type = Text(from, "event_type");
  if (type == "Batch") return BatchStart{Time(from, "Ts")};
  if (type == "EofBatch") return BatchEnd{};
  if (type == "Inventory") {
    auto servers = std::make_shared<std::vector<ServerInfo>>();
    for (const json& entry : Array(from, "Rows")) servers->push_back(DecodeServer(entry));
    lists_[IntegerOr(from, "Buffer", 0)] = std::move(servers);
    return Nothing{};
  }
  const std::int64_t instance = Integer(from, "I", 0, std::numeric_limits<std::int32_t>::max());
  if (type == "Init") {
    const json& seed = Need(from, "Seed");
    if (!seed.is_number_integer()) Bad("member \"Seed\" is not a whole number");
    return InstanceStart{instance, seed.get<std::uint64_t>(), DecodeSettings(Need(from, "Info"))};
  }
  if (type == "Kill") return InstanceStop{instance};
  if (type == "Order") return InstanceEvent{instance, DecodeRequest(from)};
  if (type == "Response") return InstanceEvent{instance, DecodeOutcomeEvent(from)};
  if (type == "Wakeup") return InstanceEvent{instance, DecodeTimer(from)};
  if (type == "LedgerReply") return InstanceEvent{instance, DecodeCounter(from)};
  if (type == "CancelledByClient") return InstanceEvent{instance, ClientGoneEvent{DecodeId(from)}};
  if (type == "HeadReceived") {
    return InstanceEvent{instance, StreamStartedEvent{DecodeId(from), DecodeAttempt(from),
                                                      Text(from, "Backend"), TimeOr(from, "Elapsed")}};
  }
  if (type == "Checked") {
    return InstanceEvent{instance, ProbeEvent{Text(from, "Backend"), DecodeOutcome(from),
                                              TimeOr(from, "Elapsed"), DecodeLoad(from)}};
  }
  if (type == "Mail") {
    return InstanceEvent{instance, PeerMessageEvent{static_cast<int>(IntegerOr(from, "Sender", 0)),
                                                    DecodeBase64(TextOr(from, "Content"))}};
  }
  if (type == "PeersKnown") {
    RosterEvent roster;
    roster.kind = Word<RosterKind>(from, "Mode",
                                   {{"Partial", RosterKind::kPartial},
                                    {"Complete", RosterKind::kComplete},
                                    {"Persisted", RosterKind::kPersisted},
                                    {"Error", RosterKind::kError}});
    roster.version = static_cast<std::uint64_t>(IntegerOr(from, "Index", 0));
    if (roster.kind != RosterKind::kError) {
      const auto list = lists_.find(IntegerOr(from, "Buffer", 0));
      if (list == lists_.end()) Bad("member \"Buffer\" names a list that was not given");
      roster.servers = list->second;
    }
    return InstanceEvent{instance, std::move(roster)};
  }
  Bad("unknown event_type \"" + type + "\"");
}

std::string Encode(std::int64_t instance, const Action& action) {
  return Line(std::visit(ActionEncoder{instance}, action));
}

std::string EncodeReplyEnd() { return R"({"event_type":"End"})"; }

}  // namespace postspread::wire
