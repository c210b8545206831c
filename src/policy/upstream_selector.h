// Selects the upstream for an attempt, and updates its estimates when attempts end.
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

  // Returns the upstream for the request's next attempt, or null if no upstream may receive it.
  //
  // First it draws one of all upstreams at random, and selects it if it is in slow start, with the
  // probability of its slow-start weight. So an upstream in slow start receives that fraction of the traffic
  // of a full one, summed over any number of gateways. All other attempts go to the cheapest of a few
  // upstreams with full capacity. An upstream that is ejected, or that the request was sent to before, is
  // selected only if no other is left.
  [[nodiscard]] Upstream* Select(const RequestState& request);

  void OnAttemptStarted(Upstream& upstream) const;
  // `attempt` is null if it is not known any more.
  void OnAttemptFinished(const OutcomeEvent& event, const Attempt* attempt);

 private:
  enum class Candidates { kPreferred, kAny };

  [[nodiscard]] bool TakesSlowStartTraffic(const RequestState& request, const Upstream& drawn);
  [[nodiscard]] Upstream* SelectCheapest(const RequestState& request, Upstream& drawn, Candidates candidates);
  [[nodiscard]] bool IsCandidate(const RequestState& request, const Upstream& upstream,
                                 Candidates candidates) const;
  // Whether an attempt at the upstream conforms to the request's deadline, retry safety and key scope.
  [[nodiscard]] bool MaySend(const RequestState& request, const Upstream& upstream) const;
  [[nodiscard]] double Weight(const Upstream& upstream, SlowStartCause cause) const;
  [[nodiscard]] double Cost(const Upstream& upstream) const;
  // Whether an attempt that this gateway ended is evidence that its upstream responds too late.
  [[nodiscard]] bool IsUnresponsive(const Upstream& upstream, const OutcomeEvent& event) const;

  DecisionContext& context_;
  UpstreamSet& upstreams_;
  const statistics::LoadStatistics& load_;
  UpstreamEstimates estimates_;
  OutlierDetector outliers_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_SELECTOR_H_
