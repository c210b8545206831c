#include "policy/customer_account.h"

#include <algorithm>
#include <utility>

#include "statistics/float_seconds.h"

namespace postspread::policy {
namespace {

constexpr Duration kMinPeriod = std::chrono::milliseconds(1);
constexpr double kRoundingError = 1e-6;  // maximum error of a total, in units

}  // namespace

QuotaPeriods CustomerAccount::Periods(const PlanSettings& plan) const {
  const Duration refill_time = ToDuration(FloatSeconds(plan.burst / plan.rate));
  return {std::clamp(refill_time, kMinPeriod, kMaxCountLifetime / 2), phase_};
}

double CustomerAccount::Refill(const PlanSettings& plan, TimePoint now) {
  const FloatSeconds passed(std::max(Duration(0), now - refilled_at_));
  deficit_ = std::max(0.0, deficit_ - plan.rate * passed.count());
  refilled_at_ = std::max(refilled_at_, now);
  return deficit_;
}

void CustomerAccount::Credit(double units) { deficit_ = std::max(0.0, deficit_ - units); }

double CustomerAccount::ObserveTotal(const PlanSettings& plan, TimePoint now, const CounterCall& call,
                                     double total) {
  const QuotaPeriods periods = Periods(plan);
  const bool is_later = call.period > period_;
  // Borrowed units are charged when their period begins.
  if (is_later && periods.Start(call.period) > now) return 0;
  Refill(plan, now);
  if (is_later) {
    period_ = call.period;
    last_total_ = 0;
    own_units_ = 0;
  }
  double added = total - last_total_;
  double lost_units = 0;
  if (call.period < period_) {
    added = call.amount;  // a late reply for an earlier period
  } else if (total + kRoundingError < own_units_ + call.amount && own_units_ > 0) {
    lost_units = own_units_;
    added = call.amount;
    own_units_ = call.amount;
    last_total_ = total;
  } else {
    own_units_ += call.amount;
    last_total_ = total;
    // A total in the first half of a period covers little time: it may raise the demand but not lower it.
    const Duration half = periods.length() / 2;
    const Duration passed = now - periods.Start(period_);
    const double demand = total / plan.rate / FloatSeconds(std::max(half, passed)).count();
    demand_ = passed < half ? std::max(demand_, demand) : demand;
  }
  deficit_ = std::max(0.0, deficit_ + added - call.precharged);
  return lost_units;
}

bool CustomerAccount::HasCapacityInPeriod(const PlanSettings& plan, TimePoint now) const {
  return period_ == Periods(plan).At(now) && last_total_ + deferred_ < plan.burst;
}

Duration CustomerAccount::WaitInPeriod(const PlanSettings& plan, TimePoint now, std::int64_t period,
                                       double total) const {
  const Duration until_start = std::max(Duration(0), Periods(plan).Start(period) - now);
  const double carried = std::max(0.0, deficit_ - plan.rate * FloatSeconds(until_start).count());
  return until_start + ToDuration(FloatSeconds(std::max(0.0, carried + total - plan.burst) / plan.rate));
}

void CustomerAccount::AddDebt(const PlanSettings& plan, TimePoint now, double units, DeferredCharge kind) {
  has_uncounted_ |= kind == DeferredCharge::kUncounted;
  if (deferred_ == 0) deferred_since_ = now;
  deferred_ += units;
  deficit_ = std::max(0.0, Refill(plan, now) + units);
}

void CustomerAccount::DropStaleRefund(const PlanSettings& plan, TimePoint now) {
  if (deferred_ < 0 && period_ != Periods(plan).At(now)) deferred_ = 0;
}

void CustomerAccount::LimitDeferredToDeficit(const PlanSettings& plan, TimePoint now) {
  deferred_ = std::min(deferred_, Refill(plan, now));
}

double CustomerAccount::TakeDeferred() {
  has_uncounted_ = false;
  return std::exchange(deferred_, 0.0);
}

}  // namespace postspread::policy
