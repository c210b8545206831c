// Slow start: a server that has just started, or returned from an ejection, can do only part of its work.
#ifndef POSTSPREAD_POLICY_SLOW_START_H_
#define POSTSPREAD_POLICY_SLOW_START_H_

#include "policy/upstream.h"
#include "postspread/control.h"

namespace postspread::policy {

enum class SlowStartCause { kStart, kStartOrEjection };

// The fraction of its full work that a server can surely do now: rises evenly to 1 over the slow-start
// duration.
[[nodiscard]] double SlowStartWeight(const Settings& settings, const Upstream& upstream, SlowStartCause cause,
                                     TimePoint now);

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_SLOW_START_H_
