#include "safety/attempt_rules.h"

#include <algorithm>

namespace postspread::safety {

std::optional<Rule> MayBegin(const AttemptFacts& facts, Clock::time_point now) {
  if (const std::optional<Rule> violated = MayProbe(facts)) return violated;
  if (now >= facts.deadline) return Rule::kDeadline;
  if (now + facts.max_transit_time >= facts.begin_by) return Rule::kRetryWindow;
  if (!facts.client_waits) return Rule::kClientWaits;
  return std::nullopt;
}

std::optional<Rule> MayProbe(const AttemptFacts& facts) {
  if (!facts.upstream_ready || !facts.connection_current) return Rule::kUpstreamReady;
  return std::nullopt;
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
