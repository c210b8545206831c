// Discovery's list of next hops, decoded once.
#ifndef POSTSPREAD_CONFIG_ROSTER_H_
#define POSTSPREAD_CONFIG_ROSTER_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "config/address.h"
#include "planner/types.h"

namespace postspread::config {

struct RosterEntry {
  planner::NextHop hop;
  Address address;
};

struct Roster {
  std::uint64_t index = 0;
  bool full = true;  // else the entries that changed
  std::vector<RosterEntry> entries;
};

// Throws json_read::JsonError, which names the faulty member.
Roster DecodeRoster(const nlohmann::json& from);

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_ROSTER_H_
