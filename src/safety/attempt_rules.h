// Decides whether an attempt may start now, whether the rest of its message may still be sent, and whether a
// request may be retried. The gateway checks these rules when it decides on an attempt, again before it sends
// the first byte, and again before each further piece until the upstream has the last byte: an upstream
// executes a request when its last byte arrives. This module reads no clock and does no I/O.
#ifndef POSTSPREAD_SAFETY_ATTEMPT_RULES_H_
#define POSTSPREAD_SAFETY_ATTEMPT_RULES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

#include "postspread/control.h"
#include "safety/rules.h"

namespace postspread::safety {

using Clock = std::chrono::steady_clock;

// What the gateway knows about an attempt now.
struct AttemptFacts {
  bool client_waits = false;        // the client still waits, according to its socket
  bool upstream_ready = false;      // the newest endpoint list has the upstream as ready
  bool connection_current = false;  // the connection goes to the process and address in that list
  std::chrono::microseconds max_transit_time{0};  // a byte takes at most this long to arrive
  Clock::time_point arrive_by;                    // the last byte must arrive before this time
  Clock::time_point deadline;                     // the deadline of the request
};

// Returns the rule that forbids starting the attempt, or nullopt if it may start.
std::optional<Rule> MayBegin(const AttemptFacts& facts, Clock::time_point now);

// Returns the rule that forbids a health check, or nullopt. A health check belongs to no request, so only the
// rules on the upstream apply.
std::optional<Rule> MayProbe(const AttemptFacts& facts);

// What the gateway knows about an attempt that has begun and whose last byte has not been acknowledged.
struct DeliveryFacts {
  bool client_waits = false;
  std::size_t unsent = 0;          // bytes of the message that have not left this machine
  std::size_t unacknowledged = 0;  // bytes that the upstream's machine has not acknowledged, unsent ones too
  std::chrono::microseconds max_transit_time{0};
  std::chrono::microseconds stated_timeout{0};  // the time left that the message's head states
  Clock::time_point arrive_by;
  Clock::time_point deadline;
};

// Returns the time left that the head of a message of `message_size` bytes states. It is less than
// `time_left` for a long message, since the time goes on while the rest of it is sent.
std::chrono::microseconds TimeoutToState(std::chrono::microseconds time_left, std::size_t message_size);

// Returns the rule that forbids delivering the rest of the message, or nullopt. If a rule forbids it, the
// connection must be reset, because the system would still send what its socket holds.
std::optional<Rule> MayDeliver(const DeliveryFacts& facts, Clock::time_point now);

// Returns when MayDeliver must be checked again if nothing else changes.
Clock::time_point NextDeliveryCheck(const DeliveryFacts& facts, Clock::time_point now);

// An earlier attempt of the same request.
struct EarlierAttempt {
  bool in_flight = false;     // the attempt has not ended
  bool may_have_run = false;  // the attempt has ended, and the upstream may have executed it
};

// Returns the rule that forbids retrying a request whose class has this retry safety, or nullopt. For a
// request with an idempotency key the planner decides which upstreams may receive the retry, and MayBegin and
// MayDeliver check until when they may.
std::optional<Rule> MayRetry(RetrySafety retry_safety, std::span<const EarlierAttempt> earlier);

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_ATTEMPT_RULES_H_
