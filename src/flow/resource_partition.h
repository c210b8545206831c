// Divides the memory and the descriptors of the process among its parts. No I/O.
#ifndef POSTSPREAD_FLOW_RESOURCE_PARTITION_H_
#define POSTSPREAD_FLOW_RESOURCE_PARTITION_H_

#include <cstddef>

namespace postspread::flow {

struct ResourceLimits {
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;  // descriptors
  // Another process may run beside this one: the limits are for both together, and each keeps to half.
  bool is_shared = false;
  bool has_admin_server = false;
  std::size_t max_command_bytes = 0;
};

// The rest of the memory is the program's own, and one copy of a command of the maximum size as it is taken
// over from its connection's buffer: all together stays under the limit.
struct ResourcePartition {
  std::size_t request_bytes = 0;        // of requests in flight, but for the large ones
  std::size_t large_request_bytes = 0;  // of large ones, while they are read and while they are in flight
  std::size_t streaming_bytes = 0;      // of large responses being streamed, at both ends
  std::size_t client_connections = 0;
  std::size_t upstream_connections = 0;

  // How many bytes of each of `streams` responses may be buffered for its client.
  [[nodiscard]] std::size_t StreamWindow(std::size_t streams) const;
};

ResourcePartition PartitionResources(const ResourceLimits& limits);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_RESOURCE_PARTITION_H_
