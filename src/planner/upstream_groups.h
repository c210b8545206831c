// The groups of upstreams that share idempotency keys, and the number of upstreams in each that accept new
// requests. Each cell is one group.
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
  // The references must outlive this object.
  UpstreamGroups(const Settings& settings, const UpstreamSet& upstreams);

  // Marks the counts as out of date after the upstreams have changed.
  void Invalidate() { counted_at_.reset(); }

  // Counts again if the counts are out of date, and then returns the groups that keys may be bound to.
  // Returns nothing if the counts are still valid.
  std::optional<std::vector<idempotency::UpstreamGroup>> Refresh(TimePoint now);

  // Returns the zone of a group at the last count, or null if no upstream belongs to the group.
  [[nodiscard]] const std::string* FindZone(std::int64_t group) const;

 private:
  // Counts expire because upstreams leave slow start without an update of the list.
  static constexpr std::chrono::seconds kMaxCountAge{1};

  const Settings& settings_;
  const UpstreamSet& upstreams_;
  std::unordered_map<std::int64_t, std::string> zones_;  // By group.
  std::optional<TimePoint> counted_at_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_UPSTREAM_GROUPS_H_
