// Which client connection is evicted when descriptors are scarce, so that many clients that never complete a
// request do not lock out those that do. No clock, no I/O: times are handed in.
#ifndef POSTSPREAD_FLOW_EVICTION_H_
#define POSTSPREAD_FLOW_EVICTION_H_

#include <chrono>
#include <compare>
#include <optional>

namespace postspread::flow {

// A connection as eviction sees it.
struct ConnectionState {
  bool is_delivered = false;   // all responses are acknowledged; lingers until its client closes
  bool is_pending = false;     // a response is pending or being read by its client: never evicted
  bool has_requested = false;  // a valid request has come over it before
  bool has_partial = false;    // a command has begun to arrive
  std::chrono::milliseconds since_command{0};  // since its last command, or since it connected
  std::chrono::milliseconds since_partial{0};  // since the first byte of the command that has begun
  std::chrono::milliseconds since_byte{0};     // since its last byte
};

// The lowest rank is evicted first.
struct EvictionRank {
  int order = 0;
  std::chrono::milliseconds age{0};  // negated: within one order the oldest goes first
  auto operator<=>(const EvictionRank&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};

// Nothing: the connection is not evicted.
std::optional<EvictionRank> RankForEviction(const ConnectionState& connection);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_EVICTION_H_
