#include "planner/start_times.h"

#include <algorithm>

namespace postspread::planner {
namespace {

// A list may come so long after what it tells. A start that looks older than that before the last list is
// told by a clock that is not ours.
constexpr std::chrono::seconds kLateList{10};

}  // namespace

void StartTimes::Apply(EndpointListReport& report, Time now) {
  if (report.kind != EndpointUpdateKind::kChanges) {
    for (auto& [name, start] : starts_) start.listed = false;
  }
  for (Upstream& upstream : report.upstreams) {
    const auto [found, is_new] = starts_.try_emplace(upstream.name);
    Start& start = found->second;
    if (is_new || start.told != upstream.started) {
      start.told = upstream.started;
      start.estimate = Estimate(upstream.started, now);
    }
    start.listed = upstream.state != UpstreamState::kRemoved;
    upstream.started = std::chrono::floor<std::chrono::milliseconds>(start.estimate);
  }
  // What the configuration remembers of earlier lists says nothing of when it was true.
  if (report.kind != EndpointUpdateKind::kPersisted) last_list_ = now;
  ForgetUnlisted();
}

StartTimes::Time StartTimes::Estimate(std::chrono::milliseconds told, Time now) const {
  if (told.count() == 0) return Time(0);  // long ago
  if (!last_list_ || Time(told) >= *last_list_) return std::min(Time(told), now);
  const bool is_late_list = *last_list_ - Time(told) <= kLateList;
  return is_late_list ? *last_list_ : now;
}

// Seldom, so that a list of changes costs what it tells and not what is listed.
void StartTimes::ForgetUnlisted() {
  if (starts_.size() < forget_at_) return;
  std::erase_if(starts_, [](const auto& s) { return !s.second.listed; });
  forget_at_ = 2 * starts_.size() + kUnlistedKept;
}

}  // namespace postspread::planner
