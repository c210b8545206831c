// Quotas of customers over all gateways.
//
// A request is charged to a counter that all gateways share; its total decides whether the request is sent,
// waits for the burst to refill, or is rejected. Where the counter can't be called or does not answer in
// time, this gateway's local limiter decides. Design: docs/design.md.
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

  // A decision, and the request that it is on; null where the request has ended.
  struct ReplyDecision {
    RequestState* request = nullptr;
    AdmissionDecision decision;
  };

  // A request has come in: calls the counter, or decides without it.
  AdmissionDecision OnRequest(RequestState& request, const RequestEvent& event);
  ReplyDecision OnCounterReply(const CounterEvent& event);
  // The request's counter call has taken too long.
  AdmissionDecision OnCounterTimeout(RequestState& request);
  // The request's delay is over.
  AdmissionDecision ReleaseDelayed(const RequestState& request);

  void OnAttemptStarted(const RequestState& request);
  // `true_units` is above 0 where the answer tells them.
  void OnAttemptFinished(RequestState& request, double true_units);
  // The request has ended before any attempt: takes back what it was charged, from the period it was charged
  // in.
  void RefundUnsent(const RequestState& request);

  void RunMaintenance();

 private:
  struct Customer {
    int plan_index = -1;
    int gateways = 1;  // that the customer's requests come through
    CustomerAccount account{};
    BorrowedUnits borrowed{};
    LocalLimiter limiter{};
    double admitted_fraction = 1.0;  // of its counted requests; totals lack what was refunded
    int in_flight = 0;
    TimePoint last_request{0};
  };

  // Whether a reply is still out that may have counted the request.
  enum class CounterCharge { kNone, kPossible };

  enum class Delayable { kNo, kYes };

  // The mean fraction of counted requests that are admitted, for customers whose demand is unknown.
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
  // Makes a call for what is deferred, where it is worth one.
  void ChargeDeferred(const std::string& name, Customer& customer);
  // Adds units that the deficit holds already to the count of a period.
  void ChargeToCounter(const Customer& customer, const std::string& name, std::int64_t period, double units);

  // ---- Decisions (quota.cpp) ----
  AdmissionDecision DecideByTotal(RequestState& request, Customer& customer, const CounterCall& call,
                                  double total);
  AdmissionDecision DelayOrReject(const RequestState& request, Customer& customer, double others,
                                  Delayable delayable);
  AdmissionDecision DecideBorrowed(RequestState& request, Customer& customer, const CounterCall& call,
                                   double total);
  AdmissionDecision DecideLocally(RequestState& request, Customer& customer, CounterCharge charge);
  // Sends the request if the limit on its customer's attempts in flight allows.
  [[nodiscard]] AdmissionDecision SendWithinConcurrency(const RequestState& request,
                                                        const Customer& customer) const;

  Customer& UpdateCustomer(const RequestState& request, const RequestEvent& event);
  [[nodiscard]] Customer* FindCustomer(const std::string& name);
  [[nodiscard]] const PlanSettings& PlanOf(const Customer& customer) const;
  // By how much a request would exceed the burst, by what is known of its customer.
  [[nodiscard]] double KnownExcess(const RequestState& request, const Customer& customer) const;
  // Whether the last total, refilled since, shows that the request would be rejected.
  [[nodiscard]] bool IsKnownFull(const RequestState& request, Customer& customer);
  // Whether this gateway's even slice of the burst is less than a request.
  [[nodiscard]] bool HasSubRequestSlice(const Customer& customer) const;
  // The chance at which a request is admitted where slices would admit nothing.
  [[nodiscard]] double LocalAdmissionChance(const RequestState& request, const Customer& customer);
  // How long a request can wait and still be answered within its latency objective.
  [[nodiscard]] Duration MaxDelay(const RequestState& request) const;
  // Whether the request may be sent beyond the quota; takes it from the ceiling then.
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
