// The gateway's metrics. Plain numbers: one thread counts and reads them.
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

// Requests by their final response.
struct ClassMetrics {
  std::uint64_t completed = 0;  // the value's last byte was handed to the client's connection
  std::uint64_t rejected = 0;   // a retry is harmless
  std::uint64_t failed = 0;
};

// Why a client connection ended.
enum class CloseReason {
  kClientClosed,   // the client closed or reset it
  kDrained,        // between requests, in an operator's drain
  kStopping,       // between requests, after SIGTERM
  kIdle,           // it was unused, or nothing was ever sent over it
  kEvicted,        // its descriptor was needed for another
  kProtocolError,  // the framing was lost, or a command was not finished in time
  kWriteTimeout,   // the client read nothing of its responses
  kStreamAborted,  // a streamed response broke off
  kRejected,       // too many were open
};
inline constexpr std::size_t kCloseReasons = 9;
std::string_view Name(CloseReason reason);

// Why a request was rejected.
enum class RejectReason {
  kTooManyInFlight,
  kNoMemory,          // the byte budget of requests is used up
  kDecision,          // by the planner: quota, overload, no upstream
  kDraining,          // late in a drain, or at the end of a shutdown
  kDeadlineExceeded,  // its time-out had passed when it was read
};
inline constexpr std::size_t kRejectReasons = 5;
std::string_view Name(RejectReason reason);

struct Metrics {
  // By class name, from when a configuration first names it to the end of the process. An entry's address
  // never changes.
  std::map<std::string, ClassMetrics, std::less<>> classes;
  std::uint64_t upstream_requests = 0;  // attempts whose last byte was written to an upstream's socket
  std::uint64_t repeated_attempts = 0;  // retries and hedged requests
  std::map<std::string, std::uint64_t> attempts_ended;  // by result
  std::array<std::uint64_t, kCloseReasons> connections_closed{};
  std::array<std::uint64_t, kRejectReasons> rejections{};
  safety::RuleCounts rules;
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
  std::uint64_t over_quota_responses = 0;      // that report a customer over its quota
  std::uint64_t unreadable_usage_reports = 0;  // in responses

  void CountClosed(CloseReason reason) { ++connections_closed[static_cast<std::size_t>(reason)]; }
  void CountRejected(RejectReason reason) { ++rejections[static_cast<std::size_t>(reason)]; }
  ClassMetrics& Of(std::string_view name) {
    const auto found = classes.find(name);
    return found != classes.end() ? found->second : classes.try_emplace(std::string(name)).first->second;
  }
};

// Of the membership view, where it is enabled.
struct MembershipMetrics {
  std::map<std::string, std::size_t> members;    // by state
  std::map<std::string, std::uint64_t> dropped;  // datagrams, by cause
  std::uint64_t suspicions_raised = 0;
  std::uint64_t suspicions_refuted = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t view_changes = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t name_conflicts = 0;
  std::uint64_t throttled = 0;  // datagrams beyond the budget
};

// What is sampled at a scrape.
struct Gauges {
  std::size_t pending = 0;              // requests in flight or with a response being streamed
  std::size_t client_connections = 0;   // open, the lingering ones included
  std::size_t members = 0;              // upstreams in the endpoint list
  std::size_t members_unavailable = 0;  // of these, the ones that are avoided now
  std::optional<MembershipMetrics> membership{};
};

// In the text format of Prometheus.
std::string Render(const Metrics& metrics, const Gauges& gauges);

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_METRICS_H_
