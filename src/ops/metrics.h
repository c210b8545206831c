// This module defines the metrics of the gateway. The values are plain integers, since one thread writes and
// reads them.
#ifndef POSTSPREAD_OPS_METRICS_H_
#define POSTSPREAD_OPS_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "safety/rules.h"

namespace postspread::ops {

// Counts the requests of one class by their final response.
struct ClassMetrics {
  // Counts requests whose value was handed to the client's connection up to its last byte.
  std::uint64_t completed = 0;
  // Counts requests that the gateway rejected; a retry by the client is harmless.
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

// Names the reason why a client connection ended.
enum class CloseReason {
  kClientClosed,   // The client closed or reset the connection.
  kDrained,        // An operator's drain closed the connection between requests.
  kStopping,       // A shutdown closed the connection between requests.
  kIdle,           // The connection was unused, or the client never sent anything over it.
  kEvicted,        // Another connection needed the descriptor.
  kProtocolError,  // The framing was lost, or the client did not finish a command in time.
  kWriteTimeout,   // The client did not read its responses.
  kStreamAborted,  // A streamed response broke off.
  kRejected,       // Too many connections were open.
};
inline constexpr std::size_t kCloseReasons = 9;
// Returns the label value of a reason; label values must not change.
std::string_view Name(CloseReason reason);

// Names the reason why a request was rejected.
enum class RejectReason {
  kTooManyInFlight,
  kNoMemory,          // The byte budget of requests is used up.
  kDecision,          // The planner rejected the request: quota, overload or no upstream.
  kDraining,          // The request arrived late in a drain or at the end of a shutdown.
  kDeadlineExceeded,  // The request's timeout had passed when the request was read.
};
inline constexpr std::size_t kRejectReasons = 5;
// Returns the label value of a reason; label values must not change.
std::string_view Name(RejectReason reason);

// Contains the counters of the process; the parts of the gateway increment them.
struct Metrics {
  // The key is the class name. An entry is created when a configuration first names the class, and stays
  // until the process exits; its address never changes.
  std::map<std::string, ClassMetrics, std::less<>> classes;
  // Counts attempts whose last byte was written to an upstream's socket.
  std::uint64_t upstream_requests = 0;
  // Counts retries and hedged requests.
  std::uint64_t repeated_attempts = 0;
  // The key is the name of the attempt's result.
  std::map<std::string, std::uint64_t> attempts_ended;
  std::array<std::uint64_t, kCloseReasons> connections_closed{};
  std::array<std::uint64_t, kRejectReasons> rejections{};
  safety::RuleCounts rules;
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
  // Counts responses of upstreams that report a customer over its quota.
  std::uint64_t over_quota_responses = 0;
  // Counts responses of upstreams whose usage report is malformed.
  std::uint64_t unreadable_usage_reports = 0;

  void CountClosed(CloseReason reason) { ++connections_closed[static_cast<std::size_t>(reason)]; }
  void CountRejected(RejectReason reason) { ++rejections[static_cast<std::size_t>(reason)]; }
  // Returns the entry of the class `name`, and creates it if there is none.
  ClassMetrics& ForClass(std::string_view name) {
    const auto found = classes.find(name);
    return found != classes.end() ? found->second : classes.try_emplace(std::string(name)).first->second;
  }
};

// Contains the metrics of the membership view.
struct MembershipMetrics {
  // Counts the members of the view; the key is the name of their state.
  std::map<std::string, std::size_t> members;
  // Counts received datagrams that changed nothing; the key is the name of the cause.
  std::map<std::string, std::uint64_t> dropped;
  std::uint64_t suspicions_raised = 0;
  std::uint64_t suspicions_refuted = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t view_changes = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t name_conflicts = 0;
  // Counts datagrams that were not sent, since the budget was used up.
  std::uint64_t throttled = 0;
};

// Contains the values that are sampled at each scrape.
struct Gauges {
  // Counts requests that are in flight or whose response is being streamed.
  std::size_t pending = 0;
  // Counts open connections of clients, including those that linger.
  std::size_t client_connections = 0;
  // The bytes that are reserved for large requests while they are read and while they are in flight.
  std::size_t large_request_bytes = 0;
  // Counts large requests that wait for memory before more of them is read.
  std::size_t large_requests_waiting = 0;
  // The memory of each part of the gateway, by its name: what it uses, and its maximum.
  std::map<std::string, std::size_t> memory_bytes{};
  std::map<std::string, std::size_t> memory_limit_bytes{};
  // The memory of the process, of which the parts are estimates.
  std::size_t resident_bytes = 0;
  // Counts upstreams in the endpoint list.
  std::size_t members = 0;
  // Counts upstreams in the endpoint list that the planner avoids now.
  std::size_t members_unavailable = 0;
  // This is empty if membership is disabled.
  std::optional<MembershipMetrics> membership{};
};

// Returns all metrics in the text format of Prometheus.
std::string Render(const Metrics& metrics, const Gauges& gauges);

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_METRICS_H_
