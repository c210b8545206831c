// What the gateway counts, each where it happens and once. Plain numbers: one thread counts and reads.
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

// Requests by their final answer.
struct ClassMetrics {
  std::uint64_t completed = 0;  // served: the value's last byte was handed to the client's connection
  std::uint64_t rejected = 0;   // refused: trying again is harmless
  std::uint64_t failed = 0;
};

// Why a client's connection ended.
enum class CloseReason {
  kClientClosed,   // the client closed or reset it
  kDrained,        // between requests, in an operator's drain
  kStopping,       // between requests, after SIGTERM
  kIdle,           // it stood unused, or said nothing at all
  kEvicted,        // its descriptor was needed
  kProtocolError,  // the framing was lost, or a command was not finished in time
  kUntaken,        // the client took nothing of its answers
  kBrokenValue,    // a value broke off on its way
  kTurnedAway,     // no room for it
};
inline constexpr std::size_t kCloseReasons = 9;
std::string_view Name(CloseReason reason);

// Why a request was refused before any decision on its quota or upstream.
enum class RefusalReason {
  kTooManyHeld,  // requests
  kNoMemory,     // the byte budget of commands is used up
  kDecision,     // the decision module: quota, overload, no upstream
  kLeaving,      // late in a drain, or at the end of a stop
  kNoTimeLeft,   // its client's time was over when it was read
};
inline constexpr std::size_t kRefusalReasons = 5;
std::string_view Name(RefusalReason reason);

struct Metrics {
  // By class, from when it was first configured for as long as the process lives: there are as many as the
  // configurations have named. An entry's address never changes.
  std::map<std::string, ClassMetrics, std::less<>> classes;
  std::uint64_t upstream_requests = 0;  // attempts whose last byte has gone to an upstream's socket
  std::uint64_t repeated_attempts = 0;  // further attempts of requests
  std::map<std::string, std::uint64_t> attempts_ended;  // by result
  std::array<std::uint64_t, kCloseReasons> connections_closed{};
  std::array<std::uint64_t, kRefusalReasons> refusals{};
  safety::RuleCounts rules;
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
  std::uint64_t over_quota_answers = 0;  // told that their customer used more than its quota of late
  std::uint64_t odd_use = 0;             // answers whose figures on use could not be read

  void Closed(CloseReason reason) { ++connections_closed[static_cast<std::size_t>(reason)]; }
  void Refused(RefusalReason reason) { ++refusals[static_cast<std::size_t>(reason)]; }
  ClassMetrics& Of(std::string_view name) {
    const auto found = classes.find(name);
    return found != classes.end() ? found->second : classes.try_emplace(std::string(name)).first->second;
  }
};

// Of the membership view, where it is on.
struct MembershipMetrics {
  std::map<std::string, std::size_t> members;    // by state
  std::map<std::string, std::uint64_t> dropped;  // datagrams, by cause
  std::uint64_t suspicions_raised = 0, suspicions_refuted = 0, deaths_declared = 0, view_changes = 0;
  std::uint64_t datagrams_sent = 0, bytes_sent = 0, name_conflicts = 0, held_back = 0;
};

// What is not counted but looked at, at the call.
struct Levels {
  std::size_t pending = 0;              // requests taken and not ended
  std::size_t client_connections = 0;   // open, those included whose end is awaited
  std::size_t members = 0;              // upstreams in the list
  std::size_t members_unavailable = 0;  // of these: avoided now
  std::optional<MembershipMetrics> membership{};
};

// In the text format of Prometheus.
std::string Render(const Metrics& metrics, const Levels& levels);

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_METRICS_H_
