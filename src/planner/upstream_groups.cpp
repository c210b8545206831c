#include "planner/upstream_groups.h"

#include <cstddef>
#include <map>

namespace postspread::planner {

UpstreamGroups::UpstreamGroups(const Settings& settings, const UpstreamSet& upstreams)
    : settings_(settings), upstreams_(upstreams) {}

std::optional<std::vector<idempotency::UpstreamGroup>> UpstreamGroups::Refresh(TimePoint now) {
  if (counted_at_ && now - *counted_at_ < kMaxCountAge) return std::nullopt;
  counted_at_ = now;
  zones_.clear();
  std::map<std::int64_t, std::size_t> ready;
  std::map<std::int64_t, std::size_t> warmed_up;
  for (const auto& [name, upstream] : upstreams_.by_name()) {
    zones_.emplace(upstream.cell, upstream.zone);
    ready.try_emplace(upstream.cell, 0);
    if (upstream.state != UpstreamState::kReady) continue;
    ++ready[upstream.cell];
    if (now - upstream.started >= settings_.slow_start_duration) ++warmed_up[upstream.cell];
  }
  // Keys are bound to groups that have upstreams past slow start, because a group in slow start would reject
  // most requests.
  std::vector<idempotency::UpstreamGroup> groups;
  for (const auto& [group, count] : warmed_up.empty() ? ready : warmed_up) groups.push_back({group, count});
  return groups;
}

const std::string* UpstreamGroups::FindZone(std::int64_t group) const {
  const auto found = zones_.find(group);
  return found == zones_.end() ? nullptr : &found->second;
}

}  // namespace postspread::planner
