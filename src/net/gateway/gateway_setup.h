// This module translates the configuration and the operator file into the options of the gateway's parts.
#ifndef POSTSPREAD_NET_GATEWAY_GATEWAY_SETUP_H_
#define POSTSPREAD_NET_GATEWAY_GATEWAY_SETUP_H_

#include <chrono>
#include <optional>

#include "config/config.h"
#include "config/settings.h"
#include "flow/resource_partition.h"
#include "operator/operator_file.h"
#include "planner/planner.h"
#include "resp/request.h"

namespace postspread::net {

// Returns the names and bounds that clients' commands are checked against.
resp::Vocabulary ToVocabulary(const Settings& settings);

// Returns the gateways of this group, or nothing if no feature that sends datagrams to them is enabled.
std::optional<config::Peers> ToPeerGroup(const config::Config& config,
                                         const operator_file::OperatorFile& operator_config);

planner::PlannerOptions ToPlannerOptions(const config::Config& config,
                                         const operator_file::OperatorFile& operator_config,
                                         membership::DisabledDefense disabled);

flow::ResourcePartition ToResourcePartition(const config::Config& config);

// Returns the longest deadline of all classes.
std::chrono::microseconds LongestDeadline(const Settings& settings);

// These return whether the loaded file differs from the running one in a setting that only a restart applies.
// The planner compares the names of the plans.
bool NeedsRestart(const config::Config& running, const config::Config& loaded);
bool NeedsRestart(const operator_file::OperatorFile& running, const operator_file::OperatorFile& loaded);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_GATEWAY_SETUP_H_
