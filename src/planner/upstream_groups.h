// The groups of upstreams that share idempotency keys, one a cell, with the number of members that take new
// requests.
#ifndef POSTSPREAD_PLANNER_UPSTREAM_GROUPS_H_
#define POSTSPREAD_PLANNER_UPSTREAM_GROUPS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/types.h"
#include "planner/upstream_set.h"
#include "postspread/control.h"

namespace postspread::planner {

class UpstreamGroups {
 public:
  // The references outlive this.
  UpstreamGroups(const Settings& settings, const UpstreamSet& upstreams);

  // The upstreams have changed: the counts are out of date.
  void Invalidate() { counted_at_.reset(); }

  // Counts again where the counts are out of date, and returns the groups that keys may be bound to.
  std::optional<std::vector<idempotency::UpstreamGroup>> Refresh(TimePoint now);

  // The zone of a group as last counted; null: no upstream belongs to it.
  [[nodiscard]] const std::string* FindZone(std::int64_t group) const;

 private:
  // Upstreams warm up with time, so the counts expire.
  static constexpr std::chrono::seconds kMaxAge{1};

  const Settings& settings_;
  const UpstreamSet& upstreams_;
  std::unordered_map<std::int64_t, std::string> zones_;  // by group
  std::optional<TimePoint> counted_at_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_UPSTREAM_GROUPS_H_
