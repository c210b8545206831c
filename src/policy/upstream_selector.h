// Chooses the server for an attempt and learns from how attempts end.
#ifndef POSTSPREAD_POLICY_UPSTREAM_SELECTOR_H_
#define POSTSPREAD_POLICY_UPSTREAM_SELECTOR_H_

#include "policy/decision_context.h"
#include "policy/outlier_detection.h"
#include "policy/request_state.h"
#include "policy/slow_start.h"
#include "policy/upstream.h"
#include "policy/upstream_estimates.h"
#include "policy/upstream_set.h"
#include "statistics/load_statistics.h"

namespace postspread::policy {

class UpstreamSelector {
 public:
  UpstreamSelector(DecisionContext& context, UpstreamSet& upstreams, statistics::LoadStatistics& load)
      : context_(context),
        upstreams_(upstreams),
        load_(load),
        estimates_(context, upstreams, load),
        outliers_(context, upstreams, load) {}

  // The server for the request's next attempt; null where none may take it.
  //
  // One draw over all servers gives a server in slow start its weight's fraction of a full one's traffic,
  // summed over any number of gateways. All else goes to the cheapest of a few full ones. Servers that are
  // ejected, or that the request was sent to before, come in only where no other is left.
  [[nodiscard]] Upstream* Select(const RequestState& request);

  void OnAttemptStarted(Upstream& upstream) const;
  void OnAttemptFinished(const OutcomeEvent& event);

 private:
  enum class Candidates { kPreferred, kAny };

  [[nodiscard]] bool TakesSlowStartTraffic(const RequestState& request, const Upstream& drawn);
  [[nodiscard]] Upstream* SelectCheapest(const RequestState& request, Upstream& drawn, Candidates candidates);
  [[nodiscard]] bool IsCandidate(const RequestState& request, const Upstream& upstream,
                                 Candidates candidates) const;
  // Whether sending there keeps to the request's rules: deadline, idempotency, and the scope of its key.
  [[nodiscard]] bool MaySend(const RequestState& request, const Upstream& upstream) const;
  [[nodiscard]] double Weight(const Upstream& upstream, SlowStartCause cause) const;
  [[nodiscard]] double Cost(const Upstream& upstream) const;
  // Whether an attempt that this gateway ended says that its server answers too late.
  [[nodiscard]] bool IsUnansweredTooLong(const Upstream& upstream, const OutcomeEvent& event) const;

  DecisionContext& context_;
  UpstreamSet& upstreams_;
  const statistics::LoadStatistics& load_;
  UpstreamEstimates estimates_;
  OutlierDetector outliers_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_SELECTOR_H_
