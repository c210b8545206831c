// Each Decode function maps the simulator's names in one message to the types of control.h. Each
// ActionEncoder overload does the reverse.
#include "simulator/wire.h"

#include <charconv>
#include <limits>
#include <utility>

#include "config/settings.h"

namespace postspread::simulator {
namespace {

using namespace json_reader;

EndpointInfo DecodeEndpoint(const json& from) {
  EndpointInfo out;
  out.id = Text(from, "Backend");
  out.zone = TextOr(from, "Campus");
  out.kind = TextOr(from, "Shape");
  out.cell = IntegerOr(from, "Group", 0);
  out.state = EnumOr(from, "Availability", EndpointState::kUp,
                     {{"in_service", EndpointState::kUp},
                      {"terminating", EndpointState::kDraining},
                      {"terminated", EndpointState::kRemoved}});
  out.weight = NumberOr(from, "Size", 1);
  out.started = TimePoint(IntegerOr(from, "OnlineSince", 0));
  return out;
}

LoadReport DecodeLoad(const json& from) {
  LoadReport out;
  const json& gauge = ObjectOr(from, "Gauge");
  out.outstanding = NumberOr(gauge, "outstanding", -1);
  out.queue = NumberOr(gauge, "backlog", -1);
  out.utilization = NumberOr(gauge, "utilization", -1);
  out.latency_ms = NumberOr(gauge, "recent_ms", -1);
  out.per_second = NumberOr(gauge, "throughput", -1);
  out.errors_per_second = NumberOr(gauge, "errors_per_s", -1);
  return out;
}

Outcome DecodeOutcome(const json& from) {
  return Enum<Outcome>(from, "Reason",
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
  int bit_count = 0;
  for (const char c : text) {
    if (c == '=') break;
    const auto digit = kDigits.find(c);
    if (digit == std::string_view::npos) ThrowJsonError("member \"Content\" is not base64");
    bits = (bits << 6 | static_cast<unsigned>(digit)) & 0xffffU;
    bit_count += 6;
    if (bit_count >= 8) {
      bit_count -= 8;
      out.push_back(static_cast<char>(bits >> bit_count & 0xffU));
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
  out.retry = BoolOr(from, "IsRetry");
  out.write = BoolOr(from, "Update");
  return out;
}

OutcomeEvent DecodeOutcomeEvent(const json& from) {
  OutcomeEvent out;
  out.id = DecodeId(from);
  out.attempt = DecodeAttempt(from);
  out.upstream = Text(from, "Backend");
  out.outcome = DecodeOutcome(from);
  out.elapsed = TimeOr(from, "Elapsed");
  out.final = BoolOr(from, "Last");
  out.metered = IntegerOr(from, "Metered", 0);
  out.true_units = NumberOr(from, "TrueUnits", 0);
  out.load = DecodeLoad(from);
  return out;
}

TimerEvent DecodeTimer(const json& from) {
  const std::string text = Text(from, "Cookie");
  TimerEvent out;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out.token);
  if (error != std::errc() || end != text.data() + text.size())
    out.token = 0;  // no token of this program: matches no timer
  return out;
}

CounterEvent DecodeCounter(const json& from) {
  CounterEvent out;
  out.name = Text(from, "Book");
  out.result = Enum<CounterResult>(from, "Reason",
                                   {{"pass", CounterResult::kOk},
                                    {"no_room", CounterResult::kRefused},
                                    {"no_route", CounterResult::kUnreachable},
                                    {"too_slow", CounterResult::kTimeout}});
  out.total = NumberOr(from, "Level", 0);
  out.elapsed = TimeOr(from, "Elapsed");
  return out;
}

StreamStartedEvent DecodeStreamStarted(const json& from) {
  return {.id = DecodeId(from),
          .attempt = DecodeAttempt(from),
          .upstream = Text(from, "Backend"),
          .elapsed = TimeOr(from, "Elapsed")};
}

ProbeEvent DecodeProbe(const json& from) {
  return {.upstream = Text(from, "Backend"),
          .outcome = DecodeOutcome(from),
          .elapsed = TimeOr(from, "Elapsed"),
          .load = DecodeLoad(from)};
}

PeerMessageEvent DecodePeerMessage(const json& from) {
  return {.sender = static_cast<int>(IntegerOr(from, "Sender", 0)),
          .bytes = DecodeBase64(TextOr(from, "Content"))};
}

InstanceStart DecodeInstanceStart(std::int64_t instance, const json& from) {
  const json& seed = Require(from, "Seed");
  if (!seed.is_number_integer()) ThrowJsonError("member \"Seed\" is not a whole number");
  return {instance, seed.get<std::uint64_t>(), DecodeSettings(Require(from, "Info"))};
}

std::string Serialize(const json& message) {
  return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

json NewMessage(std::int64_t instance, const char* type) { return {{"event_type", type}, {"I", instance}}; }

struct ActionEncoder {
  std::int64_t instance;

  json operator()(const Send& action) const {
    json out = NewMessage(instance, "CallOut");
    out["Corr"] = action.id;
    out["Backend"] = action.upstream;
    if (action.timeout.count() != 0) out["Limit"] = action.timeout.count();
    return out;
  }
  json operator()(const Reject& action) const {
    json out = NewMessage(instance, "Shed");
    out["Corr"] = action.id;
    if (action.retry_after.count() > 0) out["HoldOff"] = action.retry_after.count();
    return out;
  }
  json operator()(const Fail& action) const {
    json out = NewMessage(instance, "GiveUp");
    out["Corr"] = action.id;
    return out;
  }
  json operator()(const Cancel& action) const {
    json out = NewMessage(instance, "Revoke");
    out["Corr"] = action.id;
    out["Try"] = action.attempt;
    return out;
  }
  json operator()(const SetTimer& action) const {
    json out = NewMessage(instance, "Schedule");
    out["After"] = action.after.count();
    out["Cookie"] = std::to_string(action.token);
    return out;
  }
  json operator()(const CounterAdd& action) const {
    json out = NewMessage(instance, "Incr");
    out["Book"] = action.name;
    out["Delta"] = action.amount;
    out["Ttl"] = action.ttl.count();
    return out;
  }
  json operator()(const Probe& action) const {
    json out = NewMessage(instance, "Sample");
    out["Backend"] = action.upstream;
    return out;
  }
  json operator()(const Subscribe&) const {
    json out = NewMessage(instance, "Watch");
    out["Enable"] = true;
    return out;
  }
  json operator()(const ObservedUsage&) const { return nullptr; }
  json operator()(const Log& action) const {
    json out = NewMessage(instance, "Emit");
    out["Line"] = action.line;
    return out;
  }
};

}  // namespace

namespace {

using EventDecoder = Event (*)(const json& from);

struct EventType {
  std::string_view name;  // the value of event_type
  EventDecoder decode;
};

// Events of an instance that are decoded from their own line alone.
constexpr EventType kEventTypes[] = {
    {"Order", [](const json& from) -> Event { return DecodeRequest(from); }},
    {"Response", [](const json& from) -> Event { return DecodeOutcomeEvent(from); }},
    {"Wakeup", [](const json& from) -> Event { return DecodeTimer(from); }},
    {"LedgerReply", [](const json& from) -> Event { return DecodeCounter(from); }},
    {"CancelledByClient", [](const json& from) -> Event { return ClientDisconnectedEvent{DecodeId(from)}; }},
    {"HeadReceived", [](const json& from) -> Event { return DecodeStreamStarted(from); }},
    {"Checked", [](const json& from) -> Event { return DecodeProbe(from); }},
    {"Mail", [](const json& from) -> Event { return DecodePeerMessage(from); }},
};

}  // namespace

Message Decoder::Decode(std::string_view line) {
  const json from = json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (from.is_discarded()) ThrowJsonError("not valid JSON");
  if (!from.is_object()) ThrowJsonError("not a JSON object");
  const std::string type = Text(from, "event_type");
  if (type == "Batch") return BatchStart{Time(from, "Ts")};
  if (type == "EofBatch") return BatchEnd{};
  if (type == "Inventory") return StoreEndpointList(from);

  const std::int64_t instance = Integer(from, "I", 0, std::numeric_limits<std::int32_t>::max());
  if (type == "Init") return DecodeInstanceStart(instance, from);
  if (type == "Kill") return InstanceStop{instance};
  if (type == "PeersKnown") return InstanceEvent{instance, DecodeEndpointList(from)};
  for (const EventType& known : kEventTypes) {
    if (type == known.name) return InstanceEvent{instance, known.decode(from)};
  }
  ThrowJsonError("unknown event_type \"" + type + "\"");
}

NothingToHandle Decoder::StoreEndpointList(const json& from) {
  auto endpoints = std::make_shared<std::vector<EndpointInfo>>();
  for (const json& entry : Array(from, "Rows")) endpoints->push_back(DecodeEndpoint(entry));
  lists_[IntegerOr(from, "Buffer", 0)] = std::move(endpoints);
  return {};
}

EndpointListEvent Decoder::DecodeEndpointList(const json& from) const {
  EndpointListEvent out;
  out.kind = Enum<EndpointListKind>(from, "Mode",
                                    {{"Partial", EndpointListKind::kPartial},
                                     {"Complete", EndpointListKind::kComplete},
                                     {"Persisted", EndpointListKind::kPersisted},
                                     {"Error", EndpointListKind::kError}});
  out.version = static_cast<std::uint64_t>(IntegerOr(from, "Index", 0));
  if (out.kind == EndpointListKind::kError) return out;
  const auto list = lists_.find(IntegerOr(from, "Buffer", 0));
  if (list == lists_.end()) ThrowJsonError("member \"Buffer\" names a list that was not given");
  out.upstreams = list->second;
  return out;
}

std::string Encode(std::int64_t instance, const Action& action) {
  const json message = std::visit(ActionEncoder{instance}, action);
  return message.is_null() ? std::string() : Serialize(message);
}

std::string EncodeReplyEnd() { return R"({"event_type":"End"})"; }

}  // namespace postspread::simulator
