// Retries: limits the retries and hedged requests of all requests together, and detects stuck attempts.
#ifndef POSTSPREAD_POLICY_RETRY_H_
#define POSTSPREAD_POLICY_RETRY_H_

#include "policy/admission.h"
#include "policy/decision_context.h"
#include "policy/request_state.h"
#include "policy/upstream_set.h"
#include "statistics/latency_statistics.h"

namespace postspread::policy {

// A budget for retries and hedged requests, to which each request adds a fraction of an attempt. It prevents
// a fault of many upstreams from multiplying the traffic.
class RetryBudget {
 public:
  void OnRequest();
  // Withdraws one attempt, or returns false if less than one is left.
  [[nodiscard]] bool TryWithdraw();

 private:
  static constexpr double kRetriesPerRequest = 0.15;
  static constexpr double kMaxBalance = 10;

  double balance_ = kMaxBalance;
};

enum class StuckAction { kWait, kHedge, kCancelAndRetry };

class RetryPolicy {
 public:
  RetryPolicy(DecisionContext& context, AdmissionControl& admission, const UpstreamSet& upstreams,
              const statistics::LatencyStatistics& latency)
      : context_(context), admission_(admission), upstreams_(upstreams), latency_(latency) {}

  void OnRequest() { budget_.OnRequest(); }

  // Returns how long an attempt of the request may take before the gateway checks whether it is stuck.
  [[nodiscard]] Duration StuckTimeout(const RequestState& request) const;

  // Decides what to do about the last attempt after its stuck timeout. Withdraws from the budget unless it
  // returns kWait.
  [[nodiscard]] StuckAction OnStuckTimeout(const RequestState& request);

  // Decides whether the request, which has no open attempt, may be retried. Withdraws from the budget, except
  // after a failed connection or if OnStuckTimeout has already withdrawn for this retry.
  [[nodiscard]] bool MayRetry(RequestState& request, Outcome outcome);

 private:
  DecisionContext& context_;
  AdmissionControl& admission_;
  const UpstreamSet& upstreams_;
  const statistics::LatencyStatistics& latency_;
  RetryBudget budget_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_RETRY_H_
