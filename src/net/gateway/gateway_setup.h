// What the configuration and the operator file mean for the parts of the gateway.
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

// What clients' commands are checked against.
resp::Vocabulary ToVocabulary(const Settings& settings);

// The gateways of this group; nothing where no datagram is sent to them.
std::optional<config::Peers> ToPeerGroup(const config::Config& config,
                                         const operator_file::OperatorFile& operators);

planner::PlannerOptions ToPlannerOptions(const config::Config& config,
                                         const operator_file::OperatorFile& operators,
                                         membership::DisabledDefense disabled);

flow::ResourcePartition ToResourcePartition(const config::Config& config);

// Of all classes.
std::chrono::microseconds LongestDeadline(const Settings& settings);

// Whether what was loaded differs from what is running in anything that only a restart applies. The names of
// the plans are compared by the planner.
bool NeedsRestart(const config::Config& running, const config::Config& loaded);
bool NeedsRestart(const operator_file::OperatorFile& running, const operator_file::OperatorFile& loaded);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_GATEWAY_SETUP_H_
