// Slow start: an upstream that has just started, or has returned from an ejection, has only part of its
// capacity.
#ifndef POSTSPREAD_POLICY_SLOW_START_H_
#define POSTSPREAD_POLICY_SLOW_START_H_

#include "policy/upstream.h"
#include "postspread/control.h"

namespace postspread::policy {

enum class SlowStartCause { kStart, kStartOrEjection };

// Returns the fraction of its capacity that an upstream surely has now. It rises linearly to 1 over the
// slow-start duration.
[[nodiscard]] double SlowStartWeight(const Settings& settings, const Upstream& upstream, SlowStartCause cause,
                                     TimePoint now);

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_SLOW_START_H_
