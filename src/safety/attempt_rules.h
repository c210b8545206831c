// Whether a delivery attempt may start now, and whether a request may be retried. Asked when an attempt is
// decided, and again when its first byte is about to be sent. No clock, no I/O.
#ifndef POSTSPREAD_SAFETY_ATTEMPT_RULES_H_
#define POSTSPREAD_SAFETY_ATTEMPT_RULES_H_

#include <chrono>
#include <optional>
#include <span>

#include "postspread/control.h"
#include "safety/rules.h"

namespace postspread::safety {

using Clock = std::chrono::steady_clock;

// What is known of an attempt at this moment.
struct AttemptFacts {
  bool client_waits = false;         // as its socket says now
  bool upstream_ready = false;       // by the newest endpoint list
  bool connection_current = false;   // to the process and address that the list names
  std::chrono::microseconds way{0};  // maximum time for the first byte to arrive
  Clock::time_point begin_by;        // the first byte must arrive by then
  Clock::time_point deadline;        // of its request
};

// The rule that prevents it; nothing: it may start.
std::optional<Rule> MayBegin(const AttemptFacts& facts, Clock::time_point now);

// The same for a health check, which belongs to no request.
std::optional<Rule> MayProbe(const AttemptFacts& facts);

// An earlier attempt of the same request.
struct EarlierAttempt {
  bool in_flight = false;     // it has not ended
  bool may_have_run = false;  // it has ended, and the upstream may have executed it
};

// The rule that prevents a retry of a request whose class has this retry safety; nothing: it may be sent.
// Which upstreams may retry a request with an idempotency key is the planner's decision; until when,
// MayBegin's.
std::optional<Rule> MayRetry(RetrySafety retry_safety, std::span<const EarlierAttempt> earlier);

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_ATTEMPT_RULES_H_
