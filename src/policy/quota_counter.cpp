// The calls of Quota to the shared counter, and the handling of their replies.
#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/quota.h"
#include "policy/timer_token.h"

namespace postspread::policy {
namespace {

// Minimum of deferred units, as a fraction of the burst, for a call of their own.
constexpr double kMinDeferredBurstFraction = 0.25;
// Absolute minimum; it alone applies to units that other gateways cannot know of otherwise.
constexpr double kMinDeferredUnits = 1;
// A deferred charge waits for the call of a request for the refill time divided by this value.
constexpr int kDeferredRefillDivisor = 4;

std::string CountName(const CounterCall& call, int plan_index) {
  return call.customer + ":" + std::to_string(plan_index) + ":" + std::to_string(call.period);
}

}  // namespace

Quota::ReplyDecision Quota::OnCounterReply(const CounterEvent& event) {
  const std::optional<CounterCall> call = counter_.OnReply(event);
  if (!call) return {};
  Customer* customer = FindCustomer(call->customer);
  RequestState* request = context_.FindRequest(call->request);
  if (request != nullptr && request->stage == RequestStage::kFinished) request = nullptr;
  if (event.result != CounterResult::kOk) {
    return {request, OnCounterFailure(*call, event.result, request, customer)};
  }
  if (customer == nullptr) return {request, AdmissionDecision::Pending()};
  return {request, OnCounterTotal(*call, event.total, request, *customer)};
}

void Quota::CallCounter(const Customer& customer, CounterCall call) {
  const QuotaPeriods periods = customer.account.Periods(PlanOf(customer));
  const Duration ttl =
      std::min(kMaxCountLifetime, periods.Start(call.period) + 2 * periods.length() - context_.now());
  call.known_over_rate = customer.account.demand() > 1;
  const std::string name = CountName(call, customer.plan_index);
  counter_.Add(name, std::max(ttl, periods.length()), std::move(call));
}

void Quota::StartCounterCall(RequestState& request, Customer& customer) {
  const PlanSettings& plan = PlanOf(customer);
  const TimePoint now = context_.now();
  const bool sub_request = HasSubRequestSlice(customer);
  // If slices are smaller than a request, the call also charges for the requests that do not call. Otherwise
  // units that were admitted uncounted have been deferred, and the call adds them.
  request.charge_multiplier = plan.ceiling_rate > 0 || !sub_request ? 1 : 1 / counter_.call_fraction();
  if (sub_request) customer.account.DropStaleRefund(plan, now);
  const double deferred = customer.account.TakeDeferred();
  const std::int64_t period = customer.account.Periods(plan).At(now);
  const double units = request.units * request.charge_multiplier - customer.borrowed.TakeReturned(period);
  CallCounter(customer, CounterCall{.kind = CounterCallKind::kCharge,
                                    .request = request.id,
                                    .customer = request.customer,
                                    .period = period,
                                    .amount = units + deferred,
                                    .precharged = deferred});
  context_.Emit(SetTimer{counter_.MaxDelay(), TimerToken(TimerKind::kCounterTimeout, request.id)});
}

AdmissionDecision Quota::OnCounterFailure(const CounterCall& call, CounterResult result,
                                          RequestState* request, Customer* customer) {
  if (customer == nullptr) return AdmissionDecision::Pending();
  const bool may_be_added = result == CounterResult::kTimeout;
  const bool is_deferred = call.kind == CounterCallKind::kDeferredCharge;
  // Units that were certainly not added remain to be charged; units that may have been added count as added.
  if (!may_be_added) customer->account.RestoreDeferred(is_deferred ? call.amount : call.precharged);
  if (request == nullptr || request->stage != RequestStage::kAwaitingCounter || is_deferred) {
    return AdmissionDecision::Pending();
  }
  return DecideLocally(*request, *customer, may_be_added ? CounterCharge::kPossible : CounterCharge::kNone);
}

AdmissionDecision Quota::OnCounterTotal(const CounterCall& call, double total, RequestState* request,
                                        Customer& customer) {
  customer.limiter.Deactivate();
  const double lost_units = customer.account.ObserveTotal(PlanOf(customer), context_.now(), call, total);
  if (lost_units > 0) ChargeToCounter(customer, call.customer, call.period, lost_units);
  switch (call.kind) {
    case CounterCallKind::kCharge:
      return OnChargeTotal(call, total, request, customer);
    case CounterCallKind::kBorrow:
      return OnBorrowTotal(call, total, request, customer);
    case CounterCallKind::kDeferredCharge:
      break;
  }
  return AdmissionDecision::Pending();
}

AdmissionDecision Quota::OnChargeTotal(const CounterCall& call, double total, RequestState* request,
                                       Customer& customer) {
  // Gateways that do not call for every request learn the demand from the replies to others' calls.
  if (counter_.call_fraction() < 1) context_.Emit(ObservedUsage{call.customer, customer.account.demand()});
  if (request != nullptr && request->stage == RequestStage::kAwaitingCounter) {
    return DecideByTotal(*request, customer, call, total);
  }
  // The local limiter has decided meanwhile: a request that was sent is already charged, another is refunded.
  const double units = call.amount - call.precharged;
  if (request == nullptr || request->grant != QuotaGrant::kLocal) {
    AddDebt(customer, -units);
  } else {
    customer.account.Credit(units);
  }
  return AdmissionDecision::Pending();
}

AdmissionDecision Quota::OnBorrowTotal(const CounterCall& call, double total, RequestState* request,
                                       Customer& customer) {
  if (request != nullptr && request->stage == RequestStage::kAwaitingCounter) {
    return DecideBorrowed(*request, customer, call, total);
  }
  customer.borrowed.ObserveTotal(call.period, total);
  if (request != nullptr) {
    customer.account.Credit(call.amount);  // it was sent and charged meanwhile
  } else {
    customer.borrowed.Return(call.amount);
  }
  return AdmissionDecision::Pending();
}

void Quota::ChargeDeferred(const std::string& name, Customer& customer) {
  const PlanSettings& plan = PlanOf(customer);
  if (plan.rate <= 0 || !context_.settings().has_counter || counter_.call_fraction() < 1) return;
  const TimePoint now = context_.now();
  const bool sub_request = HasSubRequestSlice(customer);
  // If slices are smaller than a request, the call is made only if it leaves capacity in the period's count.
  if (sub_request && !customer.account.HasCapacityInPeriod(plan, now)) return;
  const bool any_unit = sub_request || customer.account.has_uncounted();
  const double min_units =
      any_unit ? kMinDeferredUnits : std::max(kMinDeferredUnits, plan.burst * kMinDeferredBurstFraction);
  const QuotaPeriods periods = customer.account.Periods(plan);
  if (std::abs(customer.account.deferred()) < min_units ||
      customer.account.DeferredAge(now) <= periods.length() / kDeferredRefillDivisor) {
    return;
  }
  ChargeToCounter(customer, name, periods.At(now), customer.account.TakeDeferred());
}

void Quota::ChargeToCounter(const Customer& customer, const std::string& name, std::int64_t period,
                            double units) {
  CallCounter(customer, CounterCall{.kind = CounterCallKind::kDeferredCharge,
                                    .customer = name,
                                    .period = period,
                                    .amount = units,
                                    .precharged = units});
}

}  // namespace postspread::policy
