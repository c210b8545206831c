// One customer's limits for requests that are decided without the counter: this gateway's slices of the quota
// and of the hard ceiling. The slices of all gateways are equal.
#ifndef POSTSPREAD_POLICY_LOCAL_LIMITER_H_
#define POSTSPREAD_POLICY_LOCAL_LIMITER_H_

#include "policy/token_bucket.h"
#include "postspread/control.h"

namespace postspread::policy {

class LocalLimiter {
 public:
  LocalLimiter() = default;
  // The slice of the ceiling starts empty, because this gateway does not know what others have sent.
  explicit LocalLimiter(TimePoint now) : ceiling_(0, now) {}

  // Makes the slice replace the counter from now on, and fills it. If it was inactive, it starts with this
  // gateway's part of the units that the customer's deficit leaves of the burst.
  void Activate(const PlanSettings& plan, int gateways, double deficit, double max_units, TimePoint now);
  // Makes the counter decide again.
  void Deactivate() { active_ = false; }

  // These may be called while the slice is active.
  [[nodiscard]] bool Has(double units) const { return slice_.Has(units); }
  [[nodiscard]] Duration WaitFor(const PlanSettings& plan, int gateways, double units) const;
  void Take(double units) { slice_.Take(units); }

  // Takes units from this gateway's slice of the capacity between the counted quota and the ceiling. Returns
  // false and takes nothing if the slice has too few.
  bool TryTakeFromCeiling(const PlanSettings& plan, int gateways, double units, TimePoint now);

 private:
  bool active_ = false;
  TokenBucket slice_;
  TokenBucket ceiling_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_LOCAL_LIMITER_H_
