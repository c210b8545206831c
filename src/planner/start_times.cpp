#include "planner/start_times.h"

#include <algorithm>

namespace postspread::planner {
namespace {

// The maximum delay of a list. A start that is reported as more than this before the last list comes from a
// clock that differs from the one of this process.
constexpr std::chrono::seconds kMaxListDelay{10};

}  // namespace

void StartTimes::Apply(EndpointListReport& report, Time now) {
  if (report.kind != EndpointUpdateKind::kChanges) {
    for (auto& [name, start] : starts_) start.is_in_list = false;
  }
  for (Upstream& upstream : report.upstreams) {
    if (upstream.state == UpstreamState::kRemoved) {
      const auto known = starts_.find(upstream.name);
      if (known != starts_.end()) known->second.is_in_list = false;
      continue;
    }
    const auto [found, is_new] = starts_.try_emplace(upstream.name);
    StartRecord& start = found->second;
    if (is_new || start.reported != upstream.started) {
      start.reported = upstream.started;
      start.estimate = Estimate(upstream.started, now);
    }
    start.is_in_list = true;
    upstream.started = std::chrono::floor<std::chrono::milliseconds>(start.estimate);
  }
  // A persisted list does not state when it was valid.
  if (report.kind != EndpointUpdateKind::kPersisted) last_list_at_ = now;
  EvictUnlisted();
}

StartTimes::Time StartTimes::Estimate(std::chrono::milliseconds reported, Time now) const {
  if (reported.count() == 0) return Time(0);  // The upstream started long ago.
  if (!last_list_at_ || Time(reported) >= *last_list_at_) return std::min(Time(reported), now);
  const bool is_late_list = *last_list_at_ - Time(reported) <= kMaxListDelay;
  return is_late_list ? *last_list_at_ : now;
}

// Evicts only when the threshold is reached, so that the average cost of a list of changes depends on its own
// size and not on that of the complete list.
void StartTimes::EvictUnlisted() {
  if (starts_.size() < eviction_threshold_) return;
  std::erase_if(starts_, [](const auto& entry) { return !entry.second.is_in_list; });
  eviction_threshold_ = 2 * starts_.size() + kMaxUnlisted;
}

}  // namespace postspread::planner
