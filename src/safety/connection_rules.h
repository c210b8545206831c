// When a client's connection takes no more commands, when our side of it may be shut, and when the socket may
// be closed. Every path that ends connections asks here: an operator's drain, SIGTERM, idle close, eviction,
// a protocol error. No clock, no I/O.
#ifndef POSTSPREAD_SAFETY_CONNECTION_RULES_H_
#define POSTSPREAD_SAFETY_CONNECTION_RULES_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "safety/rules.h"

namespace postspread::safety {

using Clock = std::chrono::steady_clock;

// What is known of a client's connection at this moment.
struct ConnectionFacts {
  std::size_t pending = 0;         // requests taken from it and not answered
  std::size_t unwritten = 0;       // bytes of answers that its socket has not taken
  std::size_t unacknowledged = 0;  // bytes that its socket has taken and the client's has not
  bool half_command = false;       // a command has begun to come and is not whole
  bool unread = false;             // bytes have come that are not handled
};

// Between requests: nothing is owed, nothing has begun to come.
constexpr bool IsIdle(const ConnectionFacts& facts) {
  return facts.pending == 0 && facts.unwritten == 0 && !facts.half_command && !facts.unread;
}

// Our side may be shut. What has come by the end of reading has been taken before; what comes after that has
// not been read, and its client sends it again elsewhere.
constexpr bool MayShutDown(const ConnectionFacts& facts) {
  return facts.pending == 0 && facts.unwritten == 0;
}

// A client may be closed between requests of our own accord.
constexpr bool MayCloseIdle(const ConnectionFacts& facts) { return IsIdle(facts); }

// The socket may be closed after our side was shut. Bytes that come behind the close reset the connection,
// and the reset takes answers with it that have not arrived: `patience` is how long a client that makes no
// progress in taking them is waited for, and `linger` how long one that has them all may take to close.
struct LingerFacts {
  std::size_t unacknowledged = 0;
  std::chrono::milliseconds since_shutdown{0};
  std::chrono::milliseconds since_progress{0};  // since the client last acknowledged or sent something
};
struct LingerLimits {
  std::chrono::milliseconds linger{1'000};
  std::chrono::milliseconds timeout{10'000};
  std::chrono::milliseconds most{2'000};  // for one that has all answers and goes on sending
};
constexpr bool MayClose(const LingerFacts& facts, const LingerLimits& limits) {
  if (facts.unacknowledged > 0) return facts.since_progress >= limits.timeout;
  // Who still sends has not come to the end of what it reads.
  const bool quiet = facts.since_progress >= limits.linger || facts.since_shutdown >= limits.most;
  return facts.since_shutdown >= limits.linger && quiet;
}

// The rule that the end of a connection by us breaks; nothing: none.
constexpr std::optional<Rule> BrokenByClose(const ConnectionFacts& facts) {
  if (facts.pending > 0) return Rule::kAnswerBeforeClose;
  if (facts.unwritten > 0 || facts.unacknowledged > 0) return Rule::kAnswerDelivered;
  return std::nullopt;
}

// How far a connection that is to be closed still takes commands.
enum class Reading {
  kTakesAll,  // its time to be closed has not come
  kFinishes,  // what had come by that time is taken, and a command that had begun may end
  kStops,     // nothing more is taken
};

struct ReadingFacts {
  Clock::time_point close_at;        // from when on it is to be closed
  Clock::time_point commands_until;  // by when a command that had begun must be whole
  std::size_t bytes_to_take = 0;     // of what had come at close_at: not yet handled
  bool half_command = false;         // which began within these
};
constexpr Reading ReadingAt(const ReadingFacts& facts, Clock::time_point now) {
  if (now < facts.close_at) return Reading::kTakesAll;
  if (facts.bytes_to_take == 0 && !facts.half_command) return Reading::kStops;
  if (facts.half_command && now >= facts.commands_until) return Reading::kStops;
  return Reading::kFinishes;
}

// In an operator's drain, once its time is over: whether a connection is still held against the rule.
inline constexpr std::chrono::milliseconds kDrainAllowed{4'000};  // after the call
inline constexpr std::chrono::milliseconds kRecentRequest{
    2'000};  // younger than this, none may be pending then
struct HeldFacts {
  std::size_t pending = 0;
  std::chrono::milliseconds since_request{0};  // since the last whole command
};
constexpr bool HeldAgainstDrain(const HeldFacts& facts) {
  return facts.pending == 0 || facts.since_request < kRecentRequest;
}

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_CONNECTION_RULES_H_
