#include "planner/start_times.h"

#include <algorithm>

namespace postspread::planner {
namespace {

// How late a list may arrive. A start that seems to be older than this before the last list was reported by a
// clock that differs from ours.
constexpr std::chrono::seconds kMaxListDelay{10};

}  // namespace

void StartTimes::Apply(EndpointListReport& report, Time now) {
  if (report.kind != EndpointUpdateKind::kChanges) {
    for (auto& [name, start] : starts_) start.is_in_list = false;
  }
  for (Upstream& upstream : report.upstreams) {
    const auto [found, is_new] = starts_.try_emplace(upstream.name);
    Start& start = found->second;
    if (is_new || start.reported != upstream.started) {
      start.reported = upstream.started;
      start.estimate = Estimate(upstream.started, now);
    }
    start.is_in_list = upstream.state != UpstreamState::kRemoved;
    upstream.started = std::chrono::floor<std::chrono::milliseconds>(start.estimate);
  }
  // A persisted list does not say when it was in force.
  if (report.kind != EndpointUpdateKind::kPersisted) last_list_at_ = now;
  EvictUnlisted();
}

StartTimes::Time StartTimes::Estimate(std::chrono::milliseconds reported, Time now) const {
  if (reported.count() == 0) return Time(0);  // long ago
  if (!last_list_at_ || Time(reported) >= *last_list_at_) return std::min(Time(reported), now);
  const bool is_late_list = *last_list_at_ - Time(reported) <= kMaxListDelay;
  return is_late_list ? *last_list_at_ : now;
}

// Seldom, so that the cost of a list of changes depends on its own size and not on that of the whole list.
void StartTimes::EvictUnlisted() {
  if (starts_.size() < eviction_threshold_) return;
  std::erase_if(starts_, [](const auto& entry) { return !entry.second.is_in_list; });
  eviction_threshold_ = 2 * starts_.size() + kMaxUnlisted;
}

}  // namespace postspread::planner
