#include "policy/slow_start.h"

#include <algorithm>

#include "statistics/float_seconds.h"

namespace postspread::policy {

double SlowStartWeight(const Settings& settings, const Upstream& upstream, SlowStartCause cause,
                       TimePoint now) {
  const TimePoint since = cause == SlowStartCause::kStartOrEjection
                              ? std::max(upstream.info.started, upstream.readmitted_at)
                              : upstream.info.started;
  if (since.count() <= 0 || settings.slow_start_duration.count() <= 0) return 1.0;
  const double progress =
      std::clamp(FloatSeconds(now - since) / FloatSeconds(settings.slow_start_duration), 0.0, 1.0);
  return settings.initial_capacity + (1 - settings.initial_capacity) * progress;
}

}  // namespace postspread::policy
