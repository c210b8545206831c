#include "config/roster.h"

#include <limits>
#include <optional>
#include <string>

#include "json_read.h"

namespace postspread::config {
namespace {

using namespace json_read;

planner::HopState ToState(const std::string& status) {
  if (status == "Ready") return planner::HopState::kReady;
  if (status == "Gone") return planner::HopState::kGone;
  return planner::HopState::kDraining;  // also what is not known: it is not said to be ready
}

RosterEntry DecodeEntry(const json& from) {
  RosterEntry out;
  out.hop.name = Text(from, "name");
  out.hop.zone = TextOr(from, "zone");
  out.hop.kind = TextOr(from, "type");
  out.hop.cell = IntegerOr(from, "group", 0);
  out.hop.state = ToState(Text(from, "status"));
  out.hop.weight = NumberOr(from, "weight", 1);
  out.hop.started = std::chrono::milliseconds(IntegerOr(from, "since_ms", 0));
  const std::string address = TextOr(from, "address");
  if (const std::optional<Address> parsed = Address::Parse(address)) {
    out.address = *parsed;
  } else if (out.hop.state != planner::HopState::kGone) {
    Bad("member \"address\" is not ADDRESS:PORT: \"" + address + "\"");
  }
  return out;
}

}  // namespace

Roster DecodeRoster(const json& from) {
  if (!from.is_object()) Bad("not a JSON object");
  Roster out;
  out.index = static_cast<std::uint64_t>(Integer(from, "index", 0, std::numeric_limits<std::int64_t>::max()));
  out.full = FlagOr(from, "snapshot");
  const json& entries = Array(from, "endpoints");
  out.entries.reserve(entries.size());
  for (const json& entry : entries) out.entries.push_back(DecodeEntry(entry));
  return out;
}

}  // namespace postspread::config
