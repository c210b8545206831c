// The quota's calls to the shared counter and what their replies lead to.
#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/quota.h"
#include "policy/timer_token.h"

namespace postspread::policy {
namespace {

constexpr double kMinDeferredOfBurst = 0.25;  // what is deferred and worth a call of its own
constexpr double kMinDeferredUnits = 1;       // at least; also where others can't know of it
constexpr int kDeferredRefillFraction =
    4;  // of the refill time: how long a charge waits for a request's call

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
  // Where slices are below a request the call stands for the requests that don't call; elsewhere what was
  // admitted uncounted is deferred to it.
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
  // What was surely not added is still to be charged; what may have been added is taken as added.
  if (!may_be_added) customer->account.RestoreDeferred(is_deferred ? call.amount : call.precharged);
  if (request == nullptr || request->stage != RequestStage::kAwaitingCounter || is_deferred) {
    return AdmissionDecision::Pending();
  }
  return DecideLocally(*request, *customer, may_be_added ? CounterCharge::kPossible : CounterCharge::kNone);
}

AdmissionDecision Quota::OnCounterTotal(const CounterCall& call, double total, RequestState* request,
                                        Customer& customer) {
  customer.limiter.Deactivate();
  const double lost = customer.account.ObserveTotal(PlanOf(customer), context_.now(), call, total);
  if (lost > 0) ChargeToCounter(customer, call.customer, call.period, lost);
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
  // Gateways that don't call for every request learn the demand from those that do.
  if (counter_.call_fraction() < 1) context_.Emit(ObservedUsage{call.customer, customer.account.demand()});
  if (request != nullptr && request->stage == RequestStage::kAwaitingCounter) {
    return DecideByTotal(*request, customer, call, total);
  }
  // Decided meanwhile by the local limiter: what was sent is charged already, what was not is taken back.
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
    customer.account.Credit(call.amount);  // sent meanwhile, and charged then
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
  // Where slices are below a request it is sent only if that makes capacity.
  if (sub_request && !customer.account.HasCapacityInPeriod(plan, now)) return;
  const bool any_unit = sub_request || customer.account.has_uncounted();
  const double least =
      any_unit ? kMinDeferredUnits : std::max(kMinDeferredUnits, plan.burst * kMinDeferredOfBurst);
  const QuotaPeriods periods = customer.account.Periods(plan);
  if (std::abs(customer.account.deferred()) < least ||
      customer.account.DeferredAge(now) <= periods.length() / kDeferredRefillFraction) {
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
