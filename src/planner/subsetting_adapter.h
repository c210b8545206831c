// Restricts this gateway to its subset of the upstreams: to the controller all others are draining, so that
// what is in flight there ends and nothing new starts.
#ifndef POSTSPREAD_PLANNER_SUBSETTING_ADAPTER_H_
#define POSTSPREAD_PLANNER_SUBSETTING_ADAPTER_H_

#include <string>
#include <unordered_set>

#include "planner/types.h"
#include "planner/upstream_set.h"
#include "postspread/control.h"
#include "subsetting/subset.h"

namespace postspread::planner {

class SubsettingAdapter {
 public:
  // The references outlive this.
  SubsettingAdapter(const subsetting::Limits& limits, const Settings& settings, const UpstreamSet& upstreams);

  // `report` has been applied to the upstreams. Selects the subset anew, and makes `report` name every
  // upstream whose state changes by it.
  void Apply(const subsetting::RingPosition& position, EndpointListReport& report);

  // The gateways that live have changed: the upstreams whose state changes by it, perhaps none.
  EndpointListReport Reselect(const subsetting::RingPosition& position);

 private:
  [[nodiscard]] std::unordered_set<std::string> Select(const subsetting::RingPosition& position) const;

  const subsetting::Limits limits_;
  const Settings& settings_;
  const UpstreamSet& upstreams_;
  std::unordered_set<std::string> selected_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_SUBSETTING_ADAPTER_H_
