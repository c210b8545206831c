// Settings of the planner's subsystems: idempotency, usage broadcast, membership and subsetting.
#ifndef POSTSPREAD_PLANNER_OPTIONS_H_
#define POSTSPREAD_PLANNER_OPTIONS_H_

#include <string>
#include <vector>

#include "idempotency/limits.h"
#include "membership/membership.h"
#include "subsetting/subset.h"
#include "usage/limits.h"

namespace postspread::planner {

struct PlannerOptions {
  idempotency::Limits idempotency;
  usage::Limits usage;
  bool has_peers = false;  // This gateway can send datagrams to the other gateways.
  membership::Limits membership{};
  subsetting::Limits subsetting{};
  std::string name{};           // This gateway's name in membership.
  membership::PeerId peer = 0;  // This gateway's own id, of the same kind as `seeds`.
  std::vector<membership::PeerId> seeds{};
  bool may_have_successor = false;  // A successor process may take over from this one.
  // Only tests disable a defense of membership.
  membership::DisabledDefense disabled = membership::DisabledDefense::kNothing;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_OPTIONS_H_
