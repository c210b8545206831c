// Decides when the gateway stops reading commands from a client connection, when it may shut down its side of
// the connection, and when it may close the socket. Every path that ends connections checks these rules: an
// operator's drain, a graceful shutdown, idle and write timeouts, eviction, a protocol error. This module
// reads no clock and does no I/O.
#ifndef POSTSPREAD_SAFETY_CONNECTION_RULES_H_
#define POSTSPREAD_SAFETY_CONNECTION_RULES_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "safety/rules.h"

namespace postspread::safety {

using Clock = std::chrono::steady_clock;

// The state of a client connection now.
struct ConnectionFacts {
  std::size_t pending = 0;         // requests that were read from it and have no response yet
  std::size_t unwritten = 0;       // bytes of responses that are not yet written to its socket
  std::size_t unacknowledged = 0;  // bytes that are written and that the client has not acknowledged
  bool partial_command = false;    // a command has begun to arrive and is incomplete
  bool unread = false;             // bytes have arrived that the gateway has not handled
};

// Whether the gateway may shut down its side of the connection. It has handled every command that arrived
// before it stopped reading. It doesn't read later commands, and the client retries them elsewhere.
constexpr bool MayShutDown(const ConnectionFacts& facts) {
  return facts.pending == 0 && facts.unwritten == 0;
}

// Whether the gateway may close the connection without cause from the client. It may do so only between
// requests, when nothing is pending or arriving.
constexpr bool MayCloseIdle(const ConnectionFacts& facts) {
  return MayShutDown(facts) && !facts.partial_command && !facts.unread;
}

// The state of a lingering close, which starts when the gateway has shut down its side of the connection.
struct LingerFacts {
  std::size_t unacknowledged = 0;
  std::chrono::milliseconds since_shutdown{0};
  std::chrono::milliseconds since_progress{0};  // time since the client last acknowledged or sent bytes
};
struct LingerLimits {
  std::chrono::milliseconds linger{1'000};      // a client that has all responses has this long to close
  std::chrono::milliseconds timeout{10'000};    // a client may make no progress in reading for this long
  std::chrono::milliseconds max_linger{2'000};  // a client that has all responses may send for this long
};
// Whether the gateway may close the socket. Bytes that arrive after the close reset the connection, and a
// reset discards responses that the client has not read.
constexpr bool MayClose(const LingerFacts& facts, const LingerLimits& limits) {
  if (facts.unacknowledged > 0) return facts.since_progress >= limits.timeout;
  // A client that still sends has not yet read the end of the gateway's stream.
  const bool quiet = facts.since_progress >= limits.linger || facts.since_shutdown >= limits.max_linger;
  return facts.since_shutdown >= limits.linger && quiet;
}

// Returns the rule that closing the connection now would violate, or nullopt.
constexpr std::optional<Rule> RuleViolatedByClose(const ConnectionFacts& facts) {
  if (facts.pending > 0) return Rule::kResponseBeforeClose;
  if (facts.unwritten > 0 || facts.unacknowledged > 0) return Rule::kResponseDelivered;
  return std::nullopt;
}

// Which commands the gateway still reads from a connection that is scheduled to close.
enum class Reading {
  kAcceptAll,      // all commands, because the scheduled time has not come
  kFinishArrived,  // those that had arrived by the scheduled time, and the rest of a partial command
  kStop,           // none
};

struct ReadingFacts {
  Clock::time_point close_at;
  Clock::time_point command_deadline;  // a partial command must be complete by this time
  std::size_t bytes_to_process = 0;    // bytes that had arrived by close_at and are not handled yet
  bool partial_command = false;        // a command that began within these bytes is incomplete
};
constexpr Reading ReadingAt(const ReadingFacts& facts, Clock::time_point now) {
  if (now < facts.close_at) return Reading::kAcceptAll;
  if (facts.bytes_to_process == 0 && !facts.partial_command) return Reading::kStop;
  if (facts.partial_command && now >= facts.command_deadline) return Reading::kStop;
  return Reading::kFinishArrived;
}

// The deadline of a drain, after the operator's call.
inline constexpr std::chrono::milliseconds kDrainDeadline{4'000};
// No request that arrived within this time before the deadline may be pending at the deadline.
inline constexpr std::chrono::milliseconds kRecentRequest{2'000};

struct DrainFacts {
  std::size_t pending = 0;
  std::chrono::milliseconds since_request{0};  // time since the last complete command
};
// Whether a connection that is still open at the deadline of a drain violates the deadline.
constexpr bool ViolatesDrainDeadline(const DrainFacts& facts) {
  return facts.pending == 0 || facts.since_request < kRecentRequest;
}

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_CONNECTION_RULES_H_
