// The units that one customer has used over all gateways, as far as this gateway knows.
//
// The deficit is the number of units missing from a full burst; it shrinks at the plan's rate and continues
// from period to period as the counter reports totals. A deferred charge is a charge or a refund of this
// gateway that the counter has not received yet.
#ifndef POSTSPREAD_POLICY_CUSTOMER_ACCOUNT_H_
#define POSTSPREAD_POLICY_CUSTOMER_ACCOUNT_H_

#include <cstdint>

#include "policy/counter_client.h"
#include "policy/quota_periods.h"
#include "postspread/control.h"

namespace postspread::policy {

// The reason of a deferred charge: a correction of counted units, or units that were admitted without a
// counter call.
enum class DeferredCharge { kCorrection, kUncounted };

class CustomerAccount {
 public:
  CustomerAccount() = default;
  // `phase` shifts the customer's quota periods; it is the same in all gateways.
  CustomerAccount(std::uint64_t phase, TimePoint now) : phase_(phase), refilled_at_(now) {}

  [[nodiscard]] QuotaPeriods Periods(const PlanSettings& plan) const;

  // ---- The deficit ----
  // Refills the burst up to `now` and returns the deficit.
  double Refill(const PlanSettings& plan, TimePoint now);
  [[nodiscard]] double deficit() const { return deficit_; }
  void Charge(double units) { deficit_ += units; }
  void Credit(double units);

  // ---- Totals of the counter ----
  // Updates the deficit and the demand from the total in a reply to `call`, as if the units had been added at
  // `now`. A total below the units that this gateway added shows that the counter lost its data: returns the
  // units to add again, else 0.
  double ObserveTotal(const PlanSettings& plan, TimePoint now, const CounterCall& call, double total);
  // Returns whether the current period's last total and the deferred units leave capacity in the burst.
  [[nodiscard]] bool HasCapacityInPeriod(const PlanSettings& plan, TimePoint now) const;
  // Returns how long a request has to wait whose units are the last ones in a later period's `total`.
  [[nodiscard]] Duration WaitInPeriod(const PlanSettings& plan, TimePoint now, std::int64_t period,
                                      double total) const;
  // Returns the requested units as a multiple of the plan's rate; 0 while unknown.
  [[nodiscard]] double demand() const { return demand_; }
  void set_demand(double demand) { demand_ = demand; }

  // ---- Deferred charges ----
  // Charges the deficit now and the counter in a later call; negative units are a refund.
  void AddDebt(const PlanSettings& plan, TimePoint now, double units, DeferredCharge kind);
  // Defers `units` again after a call that should have charged them failed.
  void RestoreDeferred(double units) { deferred_ += units; }
  // Drops a refund that belongs to an earlier period.
  void DropStaleRefund(const PlanSettings& plan, TimePoint now);
  // Drops deferred units that the burst has refilled since.
  void LimitDeferredToDeficit(const PlanSettings& plan, TimePoint now);
  // Returns all deferred units for a counter call and clears them.
  double TakeDeferred();
  [[nodiscard]] double deferred() const { return deferred_; }
  [[nodiscard]] Duration DeferredAge(TimePoint now) const { return now - deferred_since_; }
  // Returns whether deferred units were admitted without a counter call.
  [[nodiscard]] bool has_uncounted() const { return has_uncounted_; }

 private:
  static constexpr std::int64_t kNoPeriod = -1;

  std::uint64_t phase_ = 0;
  double deficit_ = 0.0;
  TimePoint refilled_at_{0};

  std::int64_t period_ = kNoPeriod;  // the period of the totals
  double last_total_ = 0.0;
  double own_units_ = 0.0;  // units in the total that this gateway added
  double demand_ = 0.0;

  double deferred_ = 0.0;
  TimePoint deferred_since_{0};
  bool has_uncounted_ = false;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_CUSTOMER_ACCOUNT_H_
