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
// itself (kProgramBytes). The sum stays under the limit. docs/memory.md lists what each part holds and what
// happens when it is used up.
struct ResourcePartition {
  // Requests in flight, without the large ones, may use this many bytes.
  std::size_t request_bytes = 0;
  // Large requests may use this many bytes, while they are read and while they are in flight.
  std::size_t large_request_bytes = 0;
  // Commands that are longer than the read-ahead, without large requests, may use this many bytes while they
  // are read.
  std::size_t command_bytes = 0;
  // Replies of upstreams that are longer than the read-ahead, and responses that clients have not read, may
  // use this many bytes.
  std::size_t response_bytes = 0;
  // Values that are being streamed may use this many bytes, at the client and the upstream together.
  std::size_t streaming_bytes = 0;
  // The endpoint list may use this many bytes.
  std::size_t endpoint_bytes = 0;
  // The accounts of customers may use this many bytes.
  std::size_t customer_bytes = 0;
  std::size_t client_connections = 0;
  std::size_t upstream_connections = 0;
  // Each connection reads this many bytes ahead without a reservation.
  std::size_t client_read_ahead = 0;
  std::size_t upstream_read_ahead = 0;

  // Returns how many bytes of each value may be buffered for its client while `streams` are streamed.
  [[nodiscard]] std::size_t StreamWindow(std::size_t streams) const;
  // Returns how many values may be streamed at one time. The other connections to upstreams are left for
  // other requests.
  [[nodiscard]] std::size_t MaxStreams() const { return upstream_connections * 2 / 3; }
  [[nodiscard]] std::size_t MaxCustomers() const;
  [[nodiscard]] std::size_t MaxEndpoints() const;
  // Returns the maximum size of one response of discovery.
  [[nodiscard]] std::size_t MaxDiscoveryResponse() const;
  // Return the memory of one connection with its read-ahead.
  [[nodiscard]] std::size_t ClientBytes() const;
  [[nodiscard]] std::size_t UpstreamBytes() const;
  // Returns the memory of all parts together.
  [[nodiscard]] std::size_t TotalBytes() const;
};

ResourcePartition PartitionResources(const ResourceLimits& limits);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_RESOURCE_PARTITION_H_
