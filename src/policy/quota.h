// Enforces the customers' quotas over all gateways.
//
// A request is charged to a counter that all gateways share. The total in the counter's reply decides whether
// the request is sent, delayed until the burst has refilled, or rejected. If the counter cannot be called or
// does not reply in time, this gateway's local limiter decides. Design: docs/design.md.
#ifndef POSTSPREAD_POLICY_QUOTA_H_
#define POSTSPREAD_POLICY_QUOTA_H_

#include <map>
#include <string>

#include "policy/admission.h"
#include "policy/admission_decision.h"
#include "policy/borrowed_units.h"
#include "policy/counter_client.h"
#include "policy/customer_account.h"
#include "policy/decision_context.h"
#include "policy/local_limiter.h"
#include "policy/request_state.h"
#include "statistics/latency_statistics.h"

namespace postspread::policy {

class Quota {
 public:
  Quota(DecisionContext& context, AdmissionControl& admission, const statistics::LatencyStatistics& latency)
      : context_(context), admission_(admission), latency_(latency), counter_(context) {}

  // A decision and the request that it applies to, which is null if the request has ended.
  struct ReplyDecision {
    RequestState* request = nullptr;
    AdmissionDecision decision;
  };

  // Handles a new request: calls the counter, or decides without it.
  AdmissionDecision OnRequest(RequestState& request, const RequestEvent& event);
  ReplyDecision OnCounterReply(const CounterEvent& event);
  // Decides on a request whose counter call has taken too long.
  AdmissionDecision OnCounterTimeout(RequestState& request);
  // Decides on a request whose delay is over.
  AdmissionDecision ReleaseDelayed(const RequestState& request);

  void OnAttemptStarted(const RequestState& request);
  // `true_units` is above 0 if the response reports them.
  void OnAttemptFinished(RequestState& request, double true_units);
  // Refunds the units of a request that ended before any attempt, in the period in which they were charged.
  void RefundUnsent(const RequestState& request);

  // Charges deferred units, and removes customers without recent requests.
  void RunMaintenance();

  [[nodiscard]] std::size_t CountCustomers() const { return customers_.size(); }

 private:
  struct Customer {
    int plan_index = -1;
    int gateways = 1;  // number of gateways that receive the customer's requests
    CustomerAccount account{};
    BorrowedUnits borrowed{};
    LocalLimiter limiter{};
    // The fraction of counted requests that were admitted. It cannot be derived from totals, which lack
    // refunded units.
    double admitted_fraction = 1.0;
    int in_flight = 0;
    TimePoint last_request{0};
  };

  // Tells whether the counter may have counted the request in a call without a successful reply so far.
  enum class CounterCharge { kNone, kPossible };

  enum class Delayable { kNo, kYes };

  // The mean fractions of counted requests that were admitted, used for customers whose demand is unknown.
  struct AdmittedFractions {
    double first = 0.7;
    double client_retry = 0.3;
    double& Of(const RequestState& request) { return request.is_client_retry ? client_retry : first; }
  };

  // ---- Counter calls (quota_counter.cpp) ----
  void CallCounter(const Customer& customer, CounterCall call);
  void StartCounterCall(RequestState& request, Customer& customer);
  AdmissionDecision OnCounterFailure(const CounterCall& call, CounterResult result, RequestState* request,
                                     Customer* customer);
  AdmissionDecision OnCounterTotal(const CounterCall& call, double total, RequestState* request,
                                   Customer& customer);
  AdmissionDecision OnChargeTotal(const CounterCall& call, double total, RequestState* request,
                                  Customer& customer);
  AdmissionDecision OnBorrowTotal(const CounterCall& call, double total, RequestState* request,
                                  Customer& customer);
  // Calls the counter for a customer's deferred units if they are worth a call of their own.
  void ChargeDeferred(const std::string& name, Customer& customer);
  // Adds units that the deficit already contains to the count of a period.
  void ChargeToCounter(const Customer& customer, const std::string& name, std::int64_t period, double units);

  // ---- Decisions (quota.cpp) ----
  AdmissionDecision DecideByTotal(RequestState& request, Customer& customer, const CounterCall& call,
                                  double total);
  AdmissionDecision DelayOrReject(const RequestState& request, Customer& customer, double others,
                                  Delayable delayable);
  AdmissionDecision DecideBorrowed(RequestState& request, Customer& customer, const CounterCall& call,
                                   double total);
  AdmissionDecision DecideLocally(RequestState& request, Customer& customer, CounterCharge charge);
  // Sends the request if the limit on its customer's concurrent attempts allows it, and rejects it otherwise.
  [[nodiscard]] AdmissionDecision SendWithinConcurrency(const RequestState& request,
                                                        const Customer& customer) const;

  // Removes the customers that have been idle for longest if their number has reached its limit.
  void LimitCustomers();
  Customer& UpdateCustomer(const RequestState& request, const RequestEvent& event);
  [[nodiscard]] Customer* FindCustomer(const std::string& name);
  [[nodiscard]] const PlanSettings& PlanOf(const Customer& customer) const;
  // Returns by how many units a request would exceed the burst, according to the customer's known deficit.
  [[nodiscard]] double KnownExcess(const RequestState& request, const Customer& customer) const;
  // Returns whether the known deficit, refilled up to now, shows that the counter would lead to a rejection.
  [[nodiscard]] bool IsKnownFull(const RequestState& request, Customer& customer);
  // Returns whether this gateway's slice of the burst is smaller than the largest request.
  [[nodiscard]] bool HasSubRequestSlice(const Customer& customer) const;
  // Returns the probability of admitting a request if slices are too small for one.
  [[nodiscard]] double LocalAdmissionProbability(const RequestState& request, const Customer& customer);
  // Returns how long a request can be delayed and still receive its response within the latency objective.
  [[nodiscard]] Duration MaxDelay(const RequestState& request) const;
  // Returns whether the request may be sent beyond the quota; if so, takes its units from the ceiling.
  [[nodiscard]] bool TrySendOverQuota(const RequestState& request, Customer& customer);
  [[nodiscard]] bool TryTakeFromCeiling(const RequestState& request, Customer& customer);
  void AddDebt(Customer& customer, double units, DeferredCharge kind = DeferredCharge::kCorrection);

  DecisionContext& context_;
  AdmissionControl& admission_;
  const statistics::LatencyStatistics& latency_;
  CounterClient counter_;
  std::map<std::string, Customer> customers_;
  AdmittedFractions admitted_fractions_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_QUOTA_H_
