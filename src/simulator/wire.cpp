#include "simulator/wire.h"

#include <charconv>
#include <limits>
#include <utility>

#include "settings.h"

namespace postspread::simulator {
namespace {

using namespace json_read;

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
                        {"no_room", Outcome::kRejected},
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
  json operator()(const Reject& a) const {
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
  json operator()(const ObservedUsage&) const { return nullptr; }
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
    EndpointListEvent endpoint_list;
    endpoint_list.kind = Word<EndpointListKind>(from, "Mode",
                                                {{"Partial", EndpointListKind::kPartial},
                                                 {"Complete", EndpointListKind::kComplete},
                                                 {"Persisted", EndpointListKind::kPersisted},
                                                 {"Error", EndpointListKind::kError}});
    endpoint_list.version = static_cast<std::uint64_t>(IntegerOr(from, "Index", 0));
    if (endpoint_list.kind != EndpointListKind::kError) {
      const auto list = lists_.find(IntegerOr(from, "Buffer", 0));
      if (list == lists_.end()) Bad("member \"Buffer\" names a list that was not given");
      endpoint_list.servers = list->second;
    }
    return InstanceEvent{instance, std::move(endpoint_list)};
  }
  Bad("unknown event_type \"" + type + "\"");
}

std::string Encode(std::int64_t instance, const Action& action) {
  const json message = std::visit(ActionEncoder{instance}, action);
  return message.is_null() ? std::string() : Line(message);
}

std::string EncodeReplyEnd() { return R"({"event_type":"End"})"; }

}  // namespace postspread::simulator
