// When a client connection takes no more commands, when our side of it may be shut down, and when its socket
// may be closed. Every path that ends connections asks here: an operator's drain, a graceful shutdown, idle
// and write time-outs, eviction, a protocol error. No clock, no I/O.
#ifndef POSTSPREAD_SAFETY_CONNECTION_RULES_H_
#define POSTSPREAD_SAFETY_CONNECTION_RULES_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "safety/rules.h"

namespace postspread::safety {

using Clock = std::chrono::steady_clock;

// What is known of a client connection at this moment.
struct ConnectionFacts {
  std::size_t pending = 0;         // requests taken from it without a response
  std::size_t unwritten = 0;       // bytes of responses that its socket has not taken
  std::size_t unacknowledged = 0;  // bytes that its socket has taken and the client's has not acknowledged
  bool partial_command = false;    // a command has begun to arrive and is incomplete
  bool unread = false;             // bytes have arrived that are not handled
};

// Our side may be shut down. What has arrived by the end of reading has been taken before; what arrives later
// is not read, and its client sends it again elsewhere.
constexpr bool MayShutDown(const ConnectionFacts& facts) {
  return facts.pending == 0 && facts.unwritten == 0;
}

// A connection may be closed of our own accord: between requests, with nothing pending or arriving.
constexpr bool MayCloseIdle(const ConnectionFacts& facts) {
  return MayShutDown(facts) && !facts.partial_command && !facts.unread;
}

// The lingering close, after our side was shut down.
struct LingerFacts {
  std::size_t unacknowledged = 0;
  std::chrono::milliseconds since_shutdown{0};
  std::chrono::milliseconds since_progress{0};  // since the client last acknowledged or sent something
};
struct LingerLimits {
  std::chrono::milliseconds linger{1'000};      // for a client that has all responses to close
  std::chrono::milliseconds timeout{10'000};    // for one that makes no progress in reading them
  std::chrono::milliseconds max_linger{2'000};  // for one that has all responses and goes on sending
};
// The socket may be closed. Bytes that arrive after the close reset the connection, and a reset discards
// responses that the client has not read.
constexpr bool MayClose(const LingerFacts& facts, const LingerLimits& limits) {
  if (facts.unacknowledged > 0) return facts.since_progress >= limits.timeout;
  // A client that still sends has not read up to our end of the stream.
  const bool quiet = facts.since_progress >= limits.linger || facts.since_shutdown >= limits.max_linger;
  return facts.since_shutdown >= limits.linger && quiet;
}

// The rule that closing the connection now would violate; nothing: none.
constexpr std::optional<Rule> RuleViolatedByClose(const ConnectionFacts& facts) {
  if (facts.pending > 0) return Rule::kAnswerBeforeClose;
  if (facts.unwritten > 0 || facts.unacknowledged > 0) return Rule::kAnswerDelivered;
  return std::nullopt;
}

// How far a connection that is scheduled to close still takes commands.
enum class Reading {
  kTakesAll,  // before its time
  kFinishes,  // takes what had arrived by its time; a command that had begun may be completed
  kStops,     // takes nothing more
};

struct ReadingFacts {
  Clock::time_point close_at;
  Clock::time_point commands_until;  // by when a command that had begun must be complete
  std::size_t bytes_to_take = 0;     // of what had arrived by close_at: not yet handled
  bool partial_command = false;      // which began within these
};
constexpr Reading ReadingAt(const ReadingFacts& facts, Clock::time_point now) {
  if (now < facts.close_at) return Reading::kTakesAll;
  if (facts.bytes_to_take == 0 && !facts.partial_command) return Reading::kStops;
  if (facts.partial_command && now >= facts.commands_until) return Reading::kStops;
  return Reading::kFinishes;
}

inline constexpr std::chrono::milliseconds kDrainDeadline{4'000};  // after an operator's call
// At the deadline no request that came within so long before it may be pending.
inline constexpr std::chrono::milliseconds kRecentRequest{2'000};

struct DrainFacts {
  std::size_t pending = 0;
  std::chrono::milliseconds since_request{0};  // since the last complete command
};
// Whether a connection that is open at the deadline of a drain violates it.
constexpr bool ViolatesDrainDeadline(const DrainFacts& facts) {
  return facts.pending == 0 || facts.since_request < kRecentRequest;
}

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_CONNECTION_RULES_H_
