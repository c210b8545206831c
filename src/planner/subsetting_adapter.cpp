#include "planner/subsetting_adapter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace postspread::planner {
namespace {

// Returns whether any class binds its idempotency keys to a group of upstreams. A subset then consists of
// complete groups.
bool BindsKeysToGroups(const Settings& settings) {
  return std::any_of(settings.classes.begin(), settings.classes.end(), [](const ClassSettings& candidate) {
    return candidate.retry_safety == RetrySafety::kIdempotencyKey && candidate.scope != KeyScope::kAll;
  });
}

}  // namespace

SubsettingAdapter::SubsettingAdapter(const subsetting::Limits& limits, const Settings& settings,
                                     const UpstreamSet& upstreams)
    : limits_(limits), settings_(settings), upstreams_(upstreams) {}

std::unordered_set<std::string> SubsettingAdapter::Select(const subsetting::RingPosition& position) const {
  std::vector<subsetting::Upstream> candidates;
  for (const auto& [name, upstream] : upstreams_.by_name()) {
    candidates.push_back(
        {name, upstream.zone, upstream.cell, upstream.weight, upstream.state == UpstreamState::kReady});
  }
  std::unordered_set<std::string> selected;
  for (const subsetting::Assignment& assignment : subsetting::Subset(
           limits_, position, settings_.zone,
           BindsKeysToGroups(settings_) ? subsetting::Grouping::kByCell : subsetting::Grouping::kSingle,
           candidates)) {
    selected.insert(candidates[assignment.upstream].name);
  }
  return selected;
}

void SubsettingAdapter::Apply(const subsetting::RingPosition& position, EndpointListReport& report) {
  std::unordered_set<std::string> selected = Select(position);
  if (report.kind == EndpointUpdateKind::kChanges) {
    std::unordered_set<std::string> reported;
    for (const Upstream& upstream : report.upstreams) reported.insert(upstream.name);
    for (const auto& [name, upstream] : upstreams_.by_name()) {
      const bool changes = selected.contains(name) != selected_.contains(name);
      if (changes && !reported.contains(name)) report.upstreams.push_back(upstream);
    }
  }
  selected_ = std::move(selected);
  for (Upstream& upstream : report.upstreams) {
    const bool is_ready = upstream.state == UpstreamState::kReady;
    if (is_ready && !selected_.contains(upstream.name)) upstream.state = UpstreamState::kDraining;
  }
}

EndpointListReport SubsettingAdapter::Reselect(const subsetting::RingPosition& position) {
  EndpointListReport changes{
      .kind = EndpointUpdateKind::kChanges, .index = upstreams_.index(), .upstreams = {}};
  Apply(position, changes);
  return changes;
}

}  // namespace postspread::planner
