// This module chooses the client connection that is evicted when descriptors are scarce. It prevents clients
// that never complete a request from locking out those that do. It has no clock and does no I/O: the caller
// passes in all times.
#ifndef POSTSPREAD_FLOW_EVICTION_H_
#define POSTSPREAD_FLOW_EVICTION_H_

#include <chrono>
#include <compare>
#include <optional>

namespace postspread::flow {

// Describes a client connection for the decision whether and when it is evicted.
struct ConnectionState {
  // The client has acknowledged all responses, and the connection lingers until the client closes it.
  bool is_delivered = false;
  // A response is pending, or the client is reading it; such a connection is never evicted.
  bool is_pending = false;
  // The client has sent a valid request over this connection before.
  bool has_requested = false;
  // A command has begun to arrive and is incomplete.
  bool has_partial = false;
  std::chrono::milliseconds since_command{0};  // time since the last command, or since the client connected
  std::chrono::milliseconds since_partial{0};  // time since the first byte of the incomplete command
  std::chrono::milliseconds since_byte{0};     // time since the last byte
};

// The connection with the lowest rank is evicted first.
struct EvictionRank {
  int order = 0;
  // The age is negative, so that among connections of one order the oldest is evicted first.
  std::chrono::milliseconds age{0};
  auto operator<=>(const EvictionRank&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};

// Returns the rank of a connection, or nothing where the connection must not be evicted.
std::optional<EvictionRank> RankForEviction(const ConnectionState& connection);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_EVICTION_H_
