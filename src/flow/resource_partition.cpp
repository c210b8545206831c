#include "flow/resource_partition.h"

#include <algorithm>

#include "config/sockets.h"

namespace postspread::flow {
namespace {

constexpr std::size_t kMinWindowBytes = std::size_t{8} * 1024;
constexpr std::size_t kMaxWindowBytes = std::size_t{64} * 1024;

}  // namespace

std::size_t ResourcePartition::StreamWindow(std::size_t streams) const {
  const std::size_t per_end = streaming_bytes / 2;
  return std::clamp(per_end / std::max<std::size_t>(1, streams), kMinWindowBytes, kMaxWindowBytes);
}

ResourcePartition PartitionResources(const ResourceLimits& limits) {
  const std::size_t processes = limits.is_shared ? 2 : 1;
  const std::size_t memory = limits.memory_bytes / processes;
  const std::size_t admin_sockets = limits.has_admin_server ? config::kAdminSockets : 0;
  const std::size_t sockets = limits.sockets / processes - config::kOtherSockets - admin_sockets;
  // Clients get the larger fraction: connections to upstreams are reused, while clients may be slow and may
  // open a new connection for each request.
  const std::size_t clients = sockets * 5 / 8;
  return {.request_bytes = memory / 8,
          .large_request_bytes = std::max(limits.max_command_bytes, memory / 4),
          .streaming_bytes = memory / 8,
          .client_connections = clients,
          .upstream_connections = sockets - clients};
}

}  // namespace postspread::flow
