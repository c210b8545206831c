#include "config/endpoint_list.h"

#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "config/json_reader.h"

namespace postspread::config {
namespace {

using namespace json_reader;

UpstreamState ToState(const std::string& status) {
  if (status == "Ready") return UpstreamState::kReady;
  if (status == "Gone") return UpstreamState::kRemoved;
  return UpstreamState::kDraining;  // also for an unknown status, as the upstream may not be ready
}

Endpoint DecodeEntry(const json& from) {
  Endpoint out;
  out.upstream.name = Text(from, "name");
  out.upstream.zone = TextOr(from, "zone");
  out.upstream.kind = TextOr(from, "type");
  out.upstream.cell = IntegerOr(from, "group", 0);
  out.upstream.state = ToState(Text(from, "status"));
  out.upstream.weight = NumberOr(from, "weight", 1);
  out.upstream.started = std::chrono::milliseconds(IntegerOr(from, "since_ms", 0));
  const std::string address = TextOr(from, "address");
  if (const std::optional<Address> parsed = Address::Parse(address)) {
    out.address = *parsed;
  } else if (out.upstream.state != UpstreamState::kRemoved) {
    ThrowJsonError("member \"address\" is not ADDRESS:PORT: \"" + address + "\"");
  }
  return out;
}

EndpointList DecodeListHead(const json& from) {
  EndpointList out;
  out.index = static_cast<std::uint64_t>(Integer(from, "index", 0, std::numeric_limits<std::int64_t>::max()));
  out.is_snapshot = BoolOr(from, "snapshot");
  return out;
}

}  // namespace

EndpointList DecodeEndpointList(const json& from) {
  if (!from.is_object()) ThrowJsonError("not a JSON object");
  EndpointList out = DecodeListHead(from);
  const json& entries = Array(from, "endpoints");
  out.entries.reserve(entries.size());
  for (const json& entry : entries) out.entries.push_back(DecodeEntry(entry));
  return out;
}

EndpointList ParseEndpointList(std::string_view text) {
  constexpr int kMemberDepth = 1;
  constexpr int kEntryDepth = 2;
  std::vector<Endpoint> entries;
  bool in_endpoints = false;
  // Each entry is decoded when it is complete, and then removed from the tree.
  const auto take_entry = [&](int depth, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::key && depth == kMemberDepth) in_endpoints = parsed == "endpoints";
    if (event != json::parse_event_t::object_end || depth != kEntryDepth || !in_endpoints) return true;
    entries.push_back(DecodeEntry(parsed));
    return false;
  };
  const json rest = json::parse(text, take_entry, /*allow_exceptions=*/false);
  if (rest.is_discarded()) ThrowJsonError("not valid JSON");
  EndpointList out = DecodeEndpointList(rest);  // fails if an element is no object
  out.entries = std::move(entries);
  return out;
}

}  // namespace postspread::config
