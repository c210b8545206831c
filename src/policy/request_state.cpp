#include "policy/request_state.h"

#include <algorithm>

namespace postspread::policy {

const ClassSettings& RequestState::Class() const {
  static const ClassSettings kUnknown{"", Duration(1), Duration(1), RetrySafety::kNotIdempotent};
  return class_settings == nullptr ? kUnknown : *class_settings;
}

bool RequestState::HasOpenAttempt() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.open; });
}

TimePoint RequestState::RetryableUntil() const {
  const bool ran_before = key_binding && key_binding->may_have_run;
  TimePoint until = ran_before ? std::min(deadline, key_expiry) : deadline;
  if (Class().retry_safety != RetrySafety::kIdempotencyKey) return until;
  for (const Attempt& attempt : attempts) {
    if (attempt.may_have_run) until = std::min(until, attempt.sent + Class().key_ttl);
  }
  return until;
}

bool RequestState::IsSafeToRetry() const {
  const ClassSettings& rules = Class();
  if (rules.retry_safety == RetrySafety::kIdempotent) return true;
  if (rules.retry_safety == RetrySafety::kIdempotencyKey && rules.scope == KeyScope::kAll) return true;
  const bool ran_before = key_binding && key_binding->may_have_run;
  return !ran_before && std::none_of(attempts.begin(), attempts.end(),
                                     [](const Attempt& attempt) { return attempt.may_have_run; });
}

}  // namespace postspread::policy
