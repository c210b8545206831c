// One customer's limits where the counter does not decide: this gateway's even slices of the quota and of the
// hard ceiling.
#ifndef POSTSPREAD_POLICY_LOCAL_LIMITER_H_
#define POSTSPREAD_POLICY_LOCAL_LIMITER_H_

#include "policy/token_bucket.h"
#include "postspread/control.h"

namespace postspread::policy {

class LocalLimiter {
 public:
  LocalLimiter() = default;
  // The slice of the ceiling starts empty: this gateway can't know what others have sent.
  explicit LocalLimiter(TimePoint now) : ceiling_(0, now) {}

  // The slice stands in for the counter from now on. Unless it did so before, it starts with an even part of
  // what the customer's deficit leaves of the burst.
  void Activate(const PlanSettings& plan, int gateways, double deficit, double max_units, TimePoint now);
  // The counter decides again.
  void Deactivate() { active_ = false; }

  // For an active slice.
  [[nodiscard]] bool Has(double units) const { return slice_.Has(units); }
  [[nodiscard]] Duration WaitFor(const PlanSettings& plan, int gateways, double units) const;
  void Take(double units) { slice_.Take(units); }

  // Takes units from the slice of what the ceiling leaves beside the counted quota, if it holds them.
  bool TryTakeFromCeiling(const PlanSettings& plan, int gateways, double units, TimePoint now);

 private:
  bool active_ = false;
  TokenBucket slice_;
  TokenBucket ceiling_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_LOCAL_LIMITER_H_
