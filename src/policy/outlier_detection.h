// Outlier detection: servers that fail fast would draw traffic, so consecutive failures eject them for a
// while.
#ifndef POSTSPREAD_POLICY_OUTLIER_DETECTION_H_
#define POSTSPREAD_POLICY_OUTLIER_DETECTION_H_

#include "policy/decision_context.h"
#include "policy/upstream.h"
#include "policy/upstream_set.h"
#include "statistics/load_statistics.h"

namespace postspread::policy {

class OutlierDetector {
 public:
  OutlierDetector(const DecisionContext& context, const UpstreamSet& upstreams,
                  const statistics::LoadStatistics& load)
      : context_(context), upstreams_(upstreams), load_(load) {}

  void OnSuccess(Upstream& upstream) const;
  // Ejects after some failures in a row. At least half of the available servers stay in.
  void OnFailure(Upstream& upstream) const;

 private:
  void Eject(Upstream& upstream) const;

  const DecisionContext& context_;
  const UpstreamSet& upstreams_;
  const statistics::LoadStatistics& load_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_OUTLIER_DETECTION_H_
