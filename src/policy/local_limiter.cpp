#include "policy/local_limiter.h"

#include <algorithm>

#include "statistics/float_seconds.h"

namespace postspread::policy {

void LocalLimiter::Activate(const PlanSettings& plan, int gateways, double deficit, double max_units,
                            TimePoint now) {
  if (!active_) slice_ = TokenBucket(std::max(0.0, plan.burst - deficit) / gateways, now);
  active_ = true;
  // The slice must be able to hold the units of the largest request.
  slice_.Fill(now, plan.rate / gateways, std::max(plan.burst / gateways, max_units));
}

Duration LocalLimiter::WaitFor(const PlanSettings& plan, int gateways, double units) const {
  return ToDuration(FloatSeconds((units - slice_.level()) / (plan.rate / gateways)));
}

bool LocalLimiter::TryTakeFromCeiling(const PlanSettings& plan, int gateways, double units, TimePoint now) {
  const double burst = std::max(0.0, plan.ceiling_burst + plan.ceiling_slack - 2 * plan.burst) / gateways;
  ceiling_.Fill(now, std::max(0.0, plan.ceiling_rate - plan.rate) / gateways, burst);
  if (!ceiling_.Has(units)) return false;
  ceiling_.Take(units);
  return true;
}

}  // namespace postspread::policy
