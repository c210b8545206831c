// This module divides the memory and the descriptors of the process among its parts. It does no I/O.
#ifndef POSTSPREAD_FLOW_RESOURCE_PARTITION_H_
#define POSTSPREAD_FLOW_RESOURCE_PARTITION_H_

#include <cstddef>

namespace postspread::flow {

// Describes the limits of the process and the properties that determine how they are divided.
struct ResourceLimits {
  std::size_t memory_bytes = 0;
  // The process may open this many descriptors.
  std::size_t sockets = 0;
  // Another process may run beside this one. The limits are then for both together, and each gets half.
  bool is_shared = false;
  bool has_admin_server = false;
  std::size_t max_command_bytes = 0;
};

// Contains the maximum that each part of the gateway may use. The rest of the memory is for the program
// itself and for one copy of a command of the maximum size, which is made when the command is taken from its
// connection's buffer. The sum stays under the limit.
struct ResourcePartition {
  // Requests in flight, without the large ones, may use this many bytes.
  std::size_t request_bytes = 0;
  // Large requests may use this many bytes, while they are read and while they are in flight.
  std::size_t large_request_bytes = 0;
  // Large responses that are being streamed may use this many bytes, at the client and the upstream together.
  std::size_t streaming_bytes = 0;
  std::size_t client_connections = 0;
  std::size_t upstream_connections = 0;

  // Returns how many bytes of each response may be buffered for its client while `streams` are streamed.
  [[nodiscard]] std::size_t StreamWindow(std::size_t streams) const;
};

ResourcePartition PartitionResources(const ResourceLimits& limits);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_RESOURCE_PARTITION_H_
