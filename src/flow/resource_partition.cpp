#include "flow/resource_partition.h"

#include <algorithm>
#include <bit>

#include "config/sockets.h"
#include "flow/memory_costs.h"

namespace postspread::flow {
namespace {

constexpr std::size_t kMinWindowBytes = std::size_t{2} * kKibibyte;
constexpr std::size_t kMaxWindowBytes = std::size_t{64} * kKibibyte;
constexpr std::size_t kMaxReadAheadBytes = std::size_t{128} * kKibibyte;
constexpr std::size_t kMinConnections = 4;
constexpr std::size_t kMaxDiscoveryResponseBytes = std::size_t{8} * 1024 * kKibibyte;
// While a list is decoded, its text and its entries exist beside the list in use.
constexpr std::size_t kDiscoveryResponseDivisor = 4;

// The parts of the memory that the program and the large requests leave. The first two are for
// connections with their read-ahead.
constexpr std::size_t kParts = 32;
constexpr std::size_t kClientParts = 7;
constexpr std::size_t kUpstreamParts = 5;
constexpr std::size_t kRequestParts = 4;
constexpr std::size_t kCommandParts = 4;
constexpr std::size_t kResponseParts = 4;
constexpr std::size_t kStreamingParts = 3;
constexpr std::size_t kEndpointParts = 3;
constexpr std::size_t kCustomerParts = 2;
static_assert(kClientParts + kUpstreamParts + kRequestParts + kCommandParts + kResponseParts +
                  kStreamingParts + kEndpointParts + kCustomerParts ==
              kParts);

// The number of connections, and what each reads ahead.
struct ConnectionCapacity {
  std::size_t connections = 0;
  std::size_t read_ahead = 0;
};

ConnectionCapacity PartitionConnections(std::size_t bytes, std::size_t sockets,
                                        std::size_t connection_bytes) {
  const std::size_t affordable = bytes / (connection_bytes + kMinBufferBytes);
  ConnectionCapacity capacity;
  capacity.connections = std::min(sockets, std::max(affordable, kMinConnections));
  const std::size_t each = bytes / std::max<std::size_t>(1, capacity.connections);
  const std::size_t buffer = std::bit_floor(each - std::min(each, connection_bytes));
  capacity.read_ahead = BufferCapacity(std::clamp(buffer, kMinBufferBytes, kMaxReadAheadBytes));
  return capacity;
}

// Large requests get a quarter, but at least one command of the maximum size, unless too little would be left
// for everything else.
std::size_t LargeRequestBytes(std::size_t memory, std::size_t available, std::size_t max_command) {
  const std::size_t preferred = std::max(max_command, memory / 4);
  return available >= preferred + preferred / 4 ? preferred : available / 3;
}

}  // namespace

std::size_t ResourcePartition::StreamWindow(std::size_t streams) const {
  const std::size_t per_end = streaming_bytes / 2;
  return std::clamp(per_end / std::max<std::size_t>(1, streams), kMinWindowBytes, kMaxWindowBytes);
}

std::size_t ResourcePartition::MaxCustomers() const { return customer_bytes / kCustomerBytes; }

std::size_t ResourcePartition::MaxEndpoints() const { return endpoint_bytes / kEndpointBytes; }

std::size_t ResourcePartition::MaxDiscoveryResponse() const {
  return std::min(endpoint_bytes / kDiscoveryResponseDivisor, kMaxDiscoveryResponseBytes);
}

std::size_t ResourcePartition::ClientBytes() const {
  return kClientConnectionBytes + BufferAllocation(client_read_ahead);
}

std::size_t ResourcePartition::UpstreamBytes() const {
  return kUpstreamConnectionBytes + BufferAllocation(upstream_read_ahead);
}

std::size_t ResourcePartition::TotalBytes() const {
  return client_connections * ClientBytes() + upstream_connections * UpstreamBytes() + request_bytes +
         large_request_bytes + command_bytes + response_bytes + streaming_bytes + endpoint_bytes +
         customer_bytes;
}

ResourcePartition PartitionResources(const ResourceLimits& limits) {
  const std::size_t processes = limits.is_shared ? 2 : 1;
  const std::size_t memory = limits.memory_bytes / processes;
  const std::size_t available = memory - std::min(memory, kProgramBytes);
  const std::size_t large_request_bytes = LargeRequestBytes(memory, available, limits.max_command_bytes);
  const std::size_t part = (available - large_request_bytes) / kParts;

  const std::size_t admin_sockets = limits.has_admin_server ? config::kAdminSockets : 0;
  const std::size_t sockets = limits.sockets / processes - config::kOtherSockets - admin_sockets;
  // Clients get the larger fraction: connections to upstreams are reused, while clients may be slow and may
  // open a new connection for each request.
  const std::size_t client_sockets = sockets * 5 / 8;
  const ConnectionCapacity clients =
      PartitionConnections(part * kClientParts, client_sockets, kClientConnectionBytes);
  const ConnectionCapacity upstreams =
      PartitionConnections(part * kUpstreamParts, sockets - client_sockets, kUpstreamConnectionBytes);
  return {.request_bytes = part * kRequestParts,
          .large_request_bytes = large_request_bytes,
          .command_bytes = part * kCommandParts,
          .response_bytes = part * kResponseParts,
          .streaming_bytes = part * kStreamingParts,
          .endpoint_bytes = part * kEndpointParts,
          .customer_bytes = part * kCustomerParts,
          .client_connections = clients.connections,
          .upstream_connections = upstreams.connections,
          .client_read_ahead = clients.read_ahead,
          .upstream_read_ahead = upstreams.read_ahead};
}

}  // namespace postspread::flow
