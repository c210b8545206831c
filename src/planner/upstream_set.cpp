#include "planner/upstream_set.h"

namespace postspread::planner {

void UpstreamSet::Apply(const EndpointListReport& report) {
  if (report.kind != EndpointUpdateKind::kChanges) by_name_.clear();
  for (const Upstream& upstream : report.upstreams) {
    if (upstream.state == UpstreamState::kRemoved) {
      by_name_.erase(upstream.name);
    } else {
      by_name_[upstream.name] = upstream;
    }
  }
  index_ = report.index;
}

}  // namespace postspread::planner
