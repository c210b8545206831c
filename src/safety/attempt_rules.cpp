#include "safety/attempt_rules.h"

#include <algorithm>

namespace postspread::safety {

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
  if (facts.unsent > 0 && !facts.client_waits) return Rule::kClientWaits;
  return std::nullopt;
}

Clock::time_point NextDeliveryCheck(const DeliveryFacts& facts, Clock::time_point now) {
  if (facts.unacknowledged == 0) return facts.deadline;
  const auto send_by = facts.arrive_by - facts.max_transit_time;
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
