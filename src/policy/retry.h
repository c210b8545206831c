// Retries: how many further attempts all requests together may have, and when an attempt counts as stuck.
#ifndef POSTSPREAD_POLICY_RETRY_H_
#define POSTSPREAD_POLICY_RETRY_H_

#include "policy/admission.h"
#include "policy/decision_context.h"
#include "policy/request_state.h"
#include "policy/upstream_set.h"
#include "statistics/latency_statistics.h"

namespace postspread::policy {

// Further attempts are paid from a budget that each request adds a fraction to, so that a fault of many
// servers does not multiply the traffic.
class RetryBudget {
 public:
  void OnRequest();
  // Takes one attempt out; false where the budget is empty.
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

  // How long an attempt of the request may take before it is checked for being stuck.
  [[nodiscard]] Duration StuckTimeout(const RequestState& request) const;

  // What to do about the last attempt, if its server has said nothing for so long. Withdraws from the budget
  // for anything but kWait.
  [[nodiscard]] StuckAction OnStuckTimeout(const RequestState& request);

  // Whether the request may have another attempt now that none is open. Withdraws from the budget.
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
