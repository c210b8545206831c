// Whether a delivery attempt may begin now, and whether a request may be sent again. Asked when an attempt is
// decided and again in the moment in which its first byte leaves. No clock, no I/O.
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
  bool client_waits = false;         // looked at now, at its socket
  bool upstream_ready = false;       // by the newest list
  bool connection_current = false;   // it leads to the process and address that the list names
  std::chrono::microseconds way{0};  // how long the first byte takes to arrive, at most
  Clock::time_point begin_by;        // its first byte may not arrive later
  Clock::time_point deadline;        // by which its client wants the answer
};

// The rule that forbids to begin it; nothing: it may begin.
std::optional<Rule> MayBegin(const AttemptFacts& facts, Clock::time_point now);

// The same for a probe, which belongs to no request.
std::optional<Rule> MayProbe(const AttemptFacts& facts);

// An attempt that was made for the request before.
struct EarlierAttempt {
  bool out = false;           // it has not ended
  bool may_have_run = false;  // it has ended, and may have been carried out
};

// The rule that forbids a further attempt of a request whose class has this effect; nothing: it may be sent.
// Where repeats of keyed requests may go is the decision module's; how long is MayBegin's.
std::optional<Rule> MayRetry(RetrySafety effect, std::span<const EarlierAttempt> earlier);

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_ATTEMPT_RULES_H_
