// Outlier detection: ejects an upstream for some time after consecutive failures. Without it an upstream that
// fails fast would attract traffic.
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
  // Ejects the upstream after some consecutive failures. At most half of the available upstreams are ejected.
  void OnFailure(Upstream& upstream) const;

 private:
  void Eject(Upstream& upstream) const;

  const DecisionContext& context_;
  const UpstreamSet& upstreams_;
  const statistics::LoadStatistics& load_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_OUTLIER_DETECTION_H_
