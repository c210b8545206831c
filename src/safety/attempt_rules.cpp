#include "safety/attempt_rules.h"

#include <algorithm>
#include <cstdint>

namespace postspread::safety {
namespace {

using std::chrono::microseconds;

// By this much the stated timeout of a message may exceed the time left at its arrival. The slack of the
// protocol is larger, and leaves room for a process that is suspended before it writes the head.
constexpr std::chrono::milliseconds kStatedTimeoutSlack{100};
// Bytes that an upstream's machine accepts before the upstream reads.
constexpr std::size_t kReceiveWindow = std::size_t{64} * 1024;
constexpr microseconds kMaxTransferTimePerByte{4};  // beyond the receive window

// Returns when the stated timeout of a message that has not left this machine is too long.
Clock::time_point StaleAt(const DeliveryFacts& facts) {
  return facts.deadline + kStatedTimeoutSlack - facts.stated_timeout;
}

// Returns when the last byte must have left this machine.
Clock::time_point SendBy(const DeliveryFacts& facts) {
  return std::min(StaleAt(facts), facts.arrive_by - facts.max_transit_time);
}

}  // namespace

microseconds TimeoutToState(microseconds time_left, std::size_t message_size) {
  const std::size_t excess = message_size - std::min(message_size, kReceiveWindow);
  const microseconds transfer_time = kMaxTransferTimePerByte * static_cast<std::int64_t>(excess);
  return time_left - std::min(time_left / 2, transfer_time);
}

std::optional<Rule> MayBegin(const AttemptFacts& facts, Clock::time_point now) {
  if (const std::optional<Rule> violated = MayProbe(facts)) return violated;
  if (now >= facts.deadline) return Rule::kDeadline;
  if (now + facts.max_transit_time >= facts.arrive_by) return Rule::kRetryWindow;
  if (!facts.client_waits) return Rule::kClientWaits;
  return std::nullopt;
}

std::optional<Rule> MayProbe(const AttemptFacts& facts) {
  if (!facts.upstream_ready || !facts.connection_current) return Rule::kUpstreamReady;
  return std::nullopt;
}

std::optional<Rule> MayDeliver(const DeliveryFacts& facts, Clock::time_point now) {
  if (facts.unacknowledged == 0) return std::nullopt;
  if (now >= facts.deadline) return Rule::kDeadline;
  // What has left this machine arrives within the transit time, unless the network has lost it.
  const auto arrives_at = facts.unsent > 0 ? now + facts.max_transit_time : now;
  if (arrives_at >= facts.arrive_by) return Rule::kRetryWindow;
  if (facts.unsent > 0 && now >= StaleAt(facts)) return Rule::kDeadline;
  if (facts.unsent > 0 && !facts.client_waits) return Rule::kClientWaits;
  return std::nullopt;
}

Clock::time_point NextDeliveryCheck(const DeliveryFacts& facts, Clock::time_point now) {
  if (facts.unacknowledged == 0) return facts.deadline;
  const auto send_by = SendBy(facts);
  if (now < send_by) return std::min(facts.deadline, send_by);
  return facts.unsent > 0 ? now : std::min(facts.deadline, facts.arrive_by);
}

std::optional<Rule> MayRetry(RetrySafety retry_safety, std::span<const EarlierAttempt> earlier) {
  if (retry_safety != RetrySafety::kNotIdempotent) return std::nullopt;
  const bool may_run = std::any_of(earlier.begin(), earlier.end(), [](const EarlierAttempt& attempt) {
    return attempt.in_flight || attempt.may_have_run;
  });
  if (may_run) return Rule::kRunsOnce;
  return std::nullopt;
}

}  // namespace postspread::safety
