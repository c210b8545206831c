// Restricts this gateway to its subset of the upstreams. The controller sees all other upstreams as draining:
// requests in flight there finish, and no new ones start.
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
  // The references must outlive the adapter.
  SubsettingAdapter(const subsetting::Limits& limits, const Settings& settings, const UpstreamSet& upstreams);

  // Selects the subset again after `report` was applied to the upstreams, and adds to `report` each upstream
  // whose state changes as a result.
  void Apply(const subsetting::RingPosition& position, EndpointListReport& report);

  // Selects the subset again after the set of live gateways has changed. Returns the upstreams whose state
  // changes as a result; the list may be empty.
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
