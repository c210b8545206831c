#include "net/gateway/gateway_setup.h"

#include <netinet/in.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/peer_link.h"

namespace postspread::net {
namespace {

constexpr std::size_t kBytesPerMegabyte = 1 << 20;

std::uint64_t ParsePeerId(const std::string& text) {
  const std::optional<config::Address> address = config::Address::Parse(text);
  return PeerLink::PeerIdOf(*reinterpret_cast<const sockaddr_in*>(address->get()));
}

}  // namespace

resp::Vocabulary ToVocabulary(const Settings& settings) {
  resp::Vocabulary vocabulary;
  for (const ClassSettings& cls : settings.classes) {
    vocabulary.classes.push_back({.name = cls.name,
                                  .is_safe = cls.retry_safety == RetrySafety::kIdempotent,
                                  .is_keyed = cls.retry_safety == RetrySafety::kIdempotencyKey});
  }
  for (const PlanSettings& plan : settings.plans) vocabulary.plans.push_back(plan.name);
  vocabulary.gateways = settings.group_size;
  vocabulary.max_units = settings.max_units;
  return vocabulary;
}

std::optional<config::Peers> ToPeerGroup(const config::Config& config,
                                         const operator_file::OperatorFile& operator_config) {
  const bool membership = operator_config.membership.enabled && operator_config.membership.listen.empty();
  if (!operator_config.idempotency.enabled && !operator_config.usage.broadcast && !membership)
    return std::nullopt;
  return config::ToPeers(config);
}

planner::PlannerOptions ToPlannerOptions(const config::Config& config,
                                         const operator_file::OperatorFile& operator_config,
                                         membership::DisabledDefense disabled) {
  const std::optional<config::Peers> peers = ToPeerGroup(config, operator_config);
  planner::PlannerOptions options;
  options.idempotency = operator_config.idempotency;
  options.usage = operator_config.usage;
  options.has_peers = peers.has_value();
  options.membership = operator_config.membership;
  options.subsetting = operator_config.subsetting;
  options.name = config.name;
  options.may_have_successor = config.inherited.has_value();
  options.disabled = disabled;
  if (!operator_config.membership.enabled) return options;
  if (!operator_config.membership.listen.empty()) {
    options.peer = ParsePeerId(operator_config.membership.listen);
    for (const std::string& seed : operator_config.membership.seeds)
      options.seeds.push_back(ParsePeerId(seed));
  } else if (peers) {
    options.peer = static_cast<membership::PeerId>(config.settings.rank);
    for (std::size_t rank = 0; rank < peers->by_rank.size(); ++rank) options.seeds.push_back(rank);
  }
  return options;
}

flow::ResourcePartition ToResourcePartition(const config::Config& config) {
  return flow::PartitionResources({.memory_bytes = config.memory_mb * kBytesPerMegabyte,
                                   .sockets = config.sockets,
                                   .is_shared = config.inherited.has_value(),
                                   .has_admin_server = config.ops.has_value(),
                                   .max_command_bytes = resp::kMaxCommand});
}

std::chrono::microseconds LongestDeadline(const Settings& settings) {
  std::chrono::microseconds longest{0};
  for (const ClassSettings& cls : settings.classes) longest = std::max(longest, cls.deadline);
  return longest;
}

bool NeedsRestart(const config::Config& running, const config::Config& loaded) {
  return loaded.name != running.name || !(loaded.listen == running.listen) ||
         loaded.memory_mb != running.memory_mb || loaded.sockets != running.sockets ||
         loaded.settings.dial_timeout != running.settings.dial_timeout ||
         loaded.settings.counter_timeout != running.settings.counter_timeout ||
         loaded.upstream_idle != running.upstream_idle || loaded.max_in_flight != running.max_in_flight;
}

bool NeedsRestart(const operator_file::OperatorFile& running, const operator_file::OperatorFile& loaded) {
  return loaded.idempotency.enabled != running.idempotency.enabled ||
         loaded.idempotency.memory != running.idempotency.memory ||
         loaded.membership.enabled != running.membership.enabled ||
         loaded.membership.name != running.membership.name ||
         loaded.membership.seeds != running.membership.seeds ||
         loaded.membership.listen != running.membership.listen || loaded.subsetting != running.subsetting;
}

}  // namespace postspread::net
