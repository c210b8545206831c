#include "safety/attempt_rules.h"

#include <algorithm>

namespace postspread::safety {

std::optional<Rule> MayBegin(const AttemptFacts& facts, Clock::time_point now) {
  if (const std::optional<Rule> broken = MayProbe(facts)) return broken;
  if (now >= facts.deadline) return Rule::kDeadline;
  if (now + facts.way >= facts.begin_by) return Rule::kRepeatWindow;
  if (!facts.client_waits) return Rule::kClientWaits;
  return std::nullopt;
}

std::optional<Rule> MayProbe(const AttemptFacts& facts) {
  if (!facts.upstream_ready || !facts.connection_current) return Rule::kUpstreamReady;
  return std::nullopt;
}

std::optional<Rule> MayRetry(RetrySafety effect, std::span<const EarlierAttempt> earlier) {
  if (effect != RetrySafety::kNotIdempotent) return std::nullopt;
  const bool runs = std::any_of(earlier.begin(), earlier.end(),
                                [](const EarlierAttempt& a) { return a.out || a.may_have_run; });
  if (runs) return Rule::kRunsOnce;
  return std::nullopt;
}

}  // namespace postspread::safety
