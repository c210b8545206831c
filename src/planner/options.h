// What an installation enables beside the controller.
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
  bool has_peers = false;  // datagrams can be sent to the other gateways
  membership::Limits membership{};
  subsetting::Limits subsetting{};
  std::string name{};           // this gateway's, in membership
  membership::PeerId peer = 0;  // this gateway's, of the same kind as `seeds`
  std::vector<membership::PeerId> seeds{};
  bool may_be_succeeded = false;  // another process may take over from this one
  membership::DisabledDefense disabled = membership::DisabledDefense::kNothing;  // tests only
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_OPTIONS_H_
