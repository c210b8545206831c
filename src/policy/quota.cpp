// The decisions of Quota; its calls to the counter are in quota_counter.cpp.
#include "policy/quota.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

#include "statistics/float_seconds.h"
#include "statistics/random.h"

namespace postspread::policy {
namespace {

// Maximum delay as a fraction of the time left; the rest has to suffice for a slow response, not only for a
// typical one.
constexpr double kMaxDelayFraction = 0.4;
// Multiple of the typical latency that a delay also leaves for the response.
constexpr double kReservedTypicalLatencies = 1.5;
// Fraction of the burst that client retries leave to first attempts, which earn more.
constexpr double kClientRetryReserve = 0.35;
// Weight of one counted request in the admitted fractions.
constexpr double kAdmittedFractionWeight = 0.1;
// Weight of the shed fraction in the decision on uncounted requests: during lasting overload they are
// rejected first.
constexpr double kShedFractionWeight = 2;
// Retry-After as a fraction of the latency objective: a request rejected at random may still succeed in time.
constexpr double kRandomRejectRetryFraction = 0.1;
// Time beyond two refill times after which a customer without requests is removed, and its demand with it.
constexpr FloatSeconds kCustomerMemory{30};
// The fraction of the customers that is removed when their number has reached its limit.
constexpr std::size_t kRemovedCustomersDivisor = 4;

}  // namespace

AdmissionDecision Quota::OnRequest(RequestState& request, const RequestEvent& event) {
  Customer& customer = UpdateCustomer(request, event);
  const PlanSettings& plan = PlanOf(customer);
  if (plan.rate <= 0) return SendWithinConcurrency(request, customer);
  // This saves the counter a call for client retries and, while calls are limited, for any request.
  if ((request.is_client_retry || counter_.IsLimited()) && IsKnownFull(request, customer)) {
    return AdmissionDecision::Reject(ToDuration(FloatSeconds(KnownExcess(request, customer) / plan.rate)));
  }
  const CallNeed need = plan.ceiling_rate > 0 ? CallNeed::kRequired : CallNeed::kOptional;
  if (!context_.settings().has_counter || !counter_.MayCall(need)) {
    return DecideLocally(request, customer, CounterCharge::kNone);
  }
  StartCounterCall(request, customer);
  return AdmissionDecision::Pending();
}

AdmissionDecision Quota::OnCounterTimeout(RequestState& request) {
  Customer* customer = FindCustomer(request.customer);
  if (customer == nullptr) return AdmissionDecision::Pending();
  return DecideLocally(request, *customer, CounterCharge::kPossible);
}

AdmissionDecision Quota::ReleaseDelayed(const RequestState& request) {
  const Customer* customer = FindCustomer(request.customer);
  return customer == nullptr ? AdmissionDecision::Pending() : SendWithinConcurrency(request, *customer);
}

void Quota::OnAttemptStarted(const RequestState& request) {
  if (Customer* customer = FindCustomer(request.customer)) ++customer->in_flight;
}

void Quota::OnAttemptFinished(RequestState& request, double true_units) {
  Customer* customer = FindCustomer(request.customer);
  if (customer == nullptr) return;
  customer->in_flight = std::max(0, customer->in_flight - 1);
  const bool is_charged = request.grant == QuotaGrant::kCounted || request.grant == QuotaGrant::kLocal;
  if (true_units <= 0 || !is_charged) return;
  AddDebt(*customer, true_units - request.units);
  request.grant = QuotaGrant::kNone;  // a hedged request's second response reports the same units
}

void Quota::RefundUnsent(const RequestState& request) {
  if (request.grant != QuotaGrant::kCounted) return;
  Customer* customer = FindCustomer(request.customer);
  if (customer == nullptr) return;
  const std::int64_t current = customer->account.Periods(PlanOf(*customer)).At(context_.now());
  if (request.borrowed_period > current && customer->borrowed.period() == request.borrowed_period) {
    customer->borrowed.Return(request.units);
  } else {
    AddDebt(*customer, -request.units);
  }
}

void Quota::RunMaintenance() {
  const TimePoint now = context_.now();
  for (auto it = customers_.begin(); it != customers_.end();) {
    Customer& customer = it->second;
    const PlanSettings& plan = PlanOf(customer);
    const Duration refill_time = plan.rate > 0 ? customer.account.Periods(plan).length() : Duration(0);
    ChargeDeferred(it->first, customer);
    if (customer.account.deferred() > 0 && customer.account.DeferredAge(now) > refill_time) {
      customer.account.LimitDeferredToDeficit(plan, now);
    }
    const Duration idle = now - customer.last_request;
    if (idle > refill_time) customer.limiter.Deactivate();
    const bool expired = customer.in_flight == 0 && idle > 2 * refill_time + ToDuration(kCustomerMemory);
    it = expired ? customers_.erase(it) : std::next(it);
  }
}

AdmissionDecision Quota::DecideByTotal(RequestState& request, Customer& customer, const CounterCall& call,
                                       double total) {
  const PlanSettings& plan = PlanOf(customer);
  // A call may also add units for requests that did not call; those are not charged to this request.
  const double others = request.units * (request.charge_multiplier - 1);
  const double usable_burst = plan.burst * (request.is_client_retry ? 1 - kClientRetryReserve : 1);
  const bool has_capacity = customer.account.deficit() - others <= usable_burst;
  const double admitted = has_capacity ? 1.0 : 0.0;
  customer.admitted_fraction += (admitted - customer.admitted_fraction) * kAdmittedFractionWeight;
  if (!call.known_over_rate) {
    double& fraction = admitted_fractions_.Of(request);
    fraction += (admitted - fraction) * kAdmittedFractionWeight;
  }
  const bool within_ceiling =
      plan.ceiling_rate <= 0 || total <= plan.burst || TryTakeFromCeiling(request, customer);
  if (has_capacity && within_ceiling) {
    request.grant = QuotaGrant::kCounted;
    return SendWithinConcurrency(request, customer);
  }
  if (TrySendOverQuota(request, customer)) {
    AddDebt(customer, -request.units - others);
    request.grant = QuotaGrant::kOverQuota;
    return SendWithinConcurrency(request, customer);
  }
  request.grant = QuotaGrant::kCounted;
  return DelayOrReject(request, customer, others, within_ceiling ? Delayable::kYes : Delayable::kNo);
}

AdmissionDecision Quota::DelayOrReject(const RequestState& request, Customer& customer, double others,
                                       Delayable delayable) {
  const PlanSettings& plan = PlanOf(customer);
  const TimePoint now = context_.now();
  const double excess = std::max(0.0, customer.account.deficit() - others - plan.burst);
  const Duration delay = ToDuration(FloatSeconds(excess / plan.rate));
  const QuotaPeriods periods = customer.account.Periods(plan);
  const std::int64_t period = periods.At(now + delay);
  const bool can_delay =
      !request.is_client_retry && delay <= MaxDelay(request) && delayable == Delayable::kYes;
  if (can_delay && period == periods.At(now)) return AdmissionDecision::Delay(now + delay);
  // Capacity becomes available in a later period: the units are refunded here and charged there.
  AddDebt(customer, -request.units - others);
  // No call is made if the last known total shows that other requests have filled that period.
  const double borrowed_total = customer.borrowed.TotalOf(period) + request.units;
  if (!can_delay || customer.account.WaitInPeriod(plan, now, period, borrowed_total) > MaxDelay(request)) {
    return AdmissionDecision::Reject(std::max(delay, context_.settings().tick));
  }
  CallCounter(customer, CounterCall{.kind = CounterCallKind::kBorrow,
                                    .request = request.id,
                                    .customer = request.customer,
                                    .period = period,
                                    .amount = request.units});
  return AdmissionDecision::Pending();
}

AdmissionDecision Quota::DecideBorrowed(RequestState& request, Customer& customer, const CounterCall& call,
                                        double total) {
  const PlanSettings& plan = PlanOf(customer);
  const Duration delay = customer.account.WaitInPeriod(plan, context_.now(), call.period, total);
  customer.borrowed.ObserveTotal(call.period, total);
  if (delay <= MaxDelay(request) && total <= plan.burst) {
    request.borrowed_period = call.period;
    return AdmissionDecision::Delay(context_.now() + delay);
  }
  customer.borrowed.Return(call.amount);
  return AdmissionDecision::Reject(std::max(delay, context_.settings().tick));
}

AdmissionDecision Quota::DecideLocally(RequestState& request, Customer& customer, CounterCharge charge) {
  const PlanSettings& plan = PlanOf(customer);
  const TimePoint now = context_.now();
  const bool has_ceiling = plan.ceiling_rate > 0;
  const bool at_random = HasSubRequestSlice(customer) && !has_ceiling;
  const double deficit = customer.account.Refill(plan, now);
  customer.limiter.Activate(plan, customer.gateways, deficit, context_.settings().max_units, now);
  const double probability = LocalAdmissionProbability(request, customer);
  const bool fits_now = at_random ? context_.Random() < probability : customer.limiter.Has(request.units);
  const Duration delay =
      at_random ? ToDuration(kRandomRejectRetryFraction * FloatSeconds(request.Class().latency_objective))
                : customer.limiter.WaitFor(plan, customer.gateways, request.units);
  const bool fits_later = !at_random && !has_ceiling && delay <= MaxDelay(request);
  if (fits_later || (fits_now && (!has_ceiling || TryTakeFromCeiling(request, customer)))) {
    customer.limiter.Take(request.units);
    if (charge == CounterCharge::kPossible || at_random || counter_.IsDown()) {
      customer.account.Charge(request.units);
    } else {
      AddDebt(customer, request.units, DeferredCharge::kUncounted);
    }
    request.grant = QuotaGrant::kLocal;
    return fits_now ? SendWithinConcurrency(request, customer) : AdmissionDecision::Delay(now + delay);
  }
  if (!TrySendOverQuota(request, customer)) return AdmissionDecision::Reject(delay);
  request.grant = QuotaGrant::kOverQuota;
  return SendWithinConcurrency(request, customer);
}

AdmissionDecision Quota::SendWithinConcurrency(const RequestState& request, const Customer& customer) const {
  const double max_concurrent = context_.Plan(request.plan_index).max_concurrent;
  const double slice = std::max(1.0, std::floor(max_concurrent / customer.gateways));
  if (max_concurrent > 0 && customer.in_flight >= slice) {
    return AdmissionDecision::Reject(ToDuration(latency_.RecentMean(request.class_index)));
  }
  return AdmissionDecision::Send();
}

// Many are removed at a time, since finding the longest idle ones takes a look at all.
void Quota::LimitCustomers() {
  const std::size_t limit = context_.settings().max_customers;
  if (limit == 0 || customers_.size() < limit) return;
  std::vector<std::map<std::string, Customer>::iterator> idle;
  for (auto it = customers_.begin(); it != customers_.end(); ++it) {
    if (it->second.in_flight == 0) idle.push_back(it);
  }
  const auto removed =
      idle.begin() + static_cast<std::ptrdiff_t>(std::min(idle.size(), limit / kRemovedCustomersDivisor + 1));
  std::nth_element(idle.begin(), removed, idle.end(), [](const auto& left, const auto& right) {
    return left->second.last_request < right->second.last_request;
  });
  for (auto it = idle.begin(); it != removed; ++it) {
    ChargeDeferred((*it)->first, (*it)->second);
    customers_.erase(*it);
  }
}

Quota::Customer& Quota::UpdateCustomer(const RequestState& request, const RequestEvent& event) {
  const TimePoint now = context_.now();
  if (!customers_.contains(request.customer)) LimitCustomers();
  Customer& customer = customers_[request.customer];
  if (customer.plan_index != request.plan_index || customer.last_request.count() == 0) {
    customer = Customer{.plan_index = request.plan_index,
                        .account = CustomerAccount(statistics::HashText(request.customer), now),
                        .limiter = LocalLimiter(now)};
  }
  customer.gateways = std::clamp(event.spread, 1, std::max(1, context_.settings().group_size));
  customer.last_request = now;
  if (event.demand >= 0) customer.account.set_demand(event.demand);
  return customer;
}

Quota::Customer* Quota::FindCustomer(const std::string& name) {
  const auto found = customers_.find(name);
  return found == customers_.end() ? nullptr : &found->second;
}

const PlanSettings& Quota::PlanOf(const Customer& customer) const {
  return context_.Plan(customer.plan_index);
}

double Quota::KnownExcess(const RequestState& request, const Customer& customer) const {
  return customer.account.deficit() + request.units - PlanOf(customer).burst;
}

bool Quota::IsKnownFull(const RequestState& request, Customer& customer) {
  const PlanSettings& plan = PlanOf(customer);
  customer.account.Refill(plan, context_.now());
  const double excess = KnownExcess(request, customer);
  return excess > 0 && plan.over_quota_weight <= plan.over_quota_cost &&
         ToDuration(FloatSeconds(excess / plan.rate)) > MaxDelay(request);
}

bool Quota::HasSubRequestSlice(const Customer& customer) const {
  return PlanOf(customer).burst < context_.settings().max_units * customer.gateways;
}

double Quota::LocalAdmissionProbability(const RequestState& request, const Customer& customer) {
  // On average this admits the quota, however unevenly requests are spread over the gateways.
  const double demand = customer.account.demand();
  const double fraction =
      demand > 0 ? std::min(customer.admitted_fraction, 1 / demand) : admitted_fractions_.Of(request);
  // Under pressure, uncounted requests are rejected before any request is shed: only they may exceed a quota.
  const double pressure = admission_.Pressure(request.Class()) / kTargetPressure;
  return fraction * std::clamp(2 - pressure - kShedFractionWeight * admission_.shed_fraction(), 0.0, 1.0);
}

Duration Quota::MaxDelay(const RequestState& request) const {
  if (request.is_client_retry) return Duration(0);
  const FloatSeconds left(std::min(request.objective_at, request.deadline) - context_.now());
  return ToDuration(left * kMaxDelayFraction -
                    kReservedTypicalLatencies * latency_.RecentMean(request.class_index));
}

bool Quota::TrySendOverQuota(const RequestState& request, Customer& customer) {
  const PlanSettings& plan = PlanOf(customer);
  if (request.is_client_retry || plan.over_quota_weight <= plan.over_quota_cost) return false;
  // Such a request earns more than it costs only while upstreams have spare capacity.
  if (admission_.Pressure(request.Class()) > kSparePressure) return false;
  return plan.ceiling_rate <= 0 || TryTakeFromCeiling(request, customer);
}

bool Quota::TryTakeFromCeiling(const RequestState& request, Customer& customer) {
  return customer.limiter.TryTakeFromCeiling(PlanOf(customer), customer.gateways, request.units,
                                             context_.now());
}

void Quota::AddDebt(Customer& customer, double units, DeferredCharge kind) {
  customer.account.AddDebt(PlanOf(customer), context_.now(), units, kind);
}

}  // namespace postspread::policy
