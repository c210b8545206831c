// The units that one customer has used, over all gateways, as far as this gateway sees.
//
// The deficit is what is missing from a full burst; it refills at the plan's rate. The counter's totals carry
// it on from period to period. A deferred charge is what this gateway has used, or not used, and the counter
// does not know yet.
#ifndef POSTSPREAD_POLICY_CUSTOMER_ACCOUNT_H_
#define POSTSPREAD_POLICY_CUSTOMER_ACCOUNT_H_

#include <cstdint>

#include "policy/counter_client.h"
#include "policy/quota_periods.h"
#include "postspread/control.h"

namespace postspread::policy {

// A correction of what was counted, or units that were admitted without a counter call.
enum class DeferredCharge { kCorrection, kUncounted };

class CustomerAccount {
 public:
  CustomerAccount() = default;
  // `phase` is a number that belongs to the customer.
  CustomerAccount(std::uint64_t phase, TimePoint now) : phase_(phase), refilled_at_(now) {}

  [[nodiscard]] QuotaPeriods Periods(const PlanSettings& plan) const;

  // ---- The deficit ----
  // Brings the deficit up to now, and returns it.
  double Refill(const PlanSettings& plan, TimePoint now);
  [[nodiscard]] double deficit() const { return deficit_; }
  void Charge(double units) { deficit_ += units; }
  void Credit(double units);

  // ---- Totals of the counter ----
  // Takes the total as added just now. A total that lacks what this gateway added shows that the counter was
  // emptied: returns the units to be added again, else 0.
  double ObserveTotal(const PlanSettings& plan, TimePoint now, const CounterCall& call, double total);
  // Whether the period's last total, and what is deferred, leave capacity.
  [[nodiscard]] bool HasCapacityInPeriod(const PlanSettings& plan, TimePoint now) const;
  // How long a request waits whose units are the last of `total` in a later period's count.
  [[nodiscard]] Duration WaitInPeriod(const PlanSettings& plan, TimePoint now, std::int64_t period,
                                      double total) const;
  // What the customer asks for, over its rate; 0 while unknown.
  [[nodiscard]] double demand() const { return demand_; }
  void set_demand(double demand) { demand_ = demand; }

  // ---- Deferred charges ----
  // Charges the deficit now and the counter with a later call; negative units are a refund.
  void AddDebt(const PlanSettings& plan, TimePoint now, double units, DeferredCharge kind);
  // A call failed: its deferred part is still to be charged.
  void RestoreDeferred(double units) { deferred_ += units; }
  // Drops a refund that belongs to an earlier period.
  void DropStaleRefund(const PlanSettings& plan, TimePoint now);
  // Drops what the burst has refilled since.
  void LimitDeferredToDeficit(const PlanSettings& plan, TimePoint now);
  // Hands over what is deferred, for a counter call.
  double TakeDeferred();
  [[nodiscard]] double deferred() const { return deferred_; }
  [[nodiscard]] Duration DeferredAge(TimePoint now) const { return now - deferred_since_; }
  // Whether some of it was admitted without a counter call.
  [[nodiscard]] bool has_uncounted() const { return has_uncounted_; }

 private:
  static constexpr std::int64_t kNoPeriod = -1;

  std::uint64_t phase_ = 0;
  double deficit_ = 0.0;
  TimePoint refilled_at_{0};

  std::int64_t period_ = kNoPeriod;  // that the totals belong to
  double last_total_ = 0.0;
  double own_units_ = 0.0;  // this gateway's part of the total
  double demand_ = 0.0;

  double deferred_ = 0.0;
  TimePoint deferred_since_{0};
  bool has_uncounted_ = false;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_CUSTOMER_ACCOUNT_H_
