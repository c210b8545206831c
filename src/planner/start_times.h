// Estimates when each upstream last started, on this process's own clock. Discovery reports start times as
// wall time, and either wall clock may have been stepped. An estimate therefore stays within the bounds that
// the lists give: a start is no later than the list that first reports it, and no earlier than the last list
// that did not. This class does no I/O and reads no clock.
#ifndef POSTSPREAD_PLANNER_START_TIMES_H_
#define POSTSPREAD_PLANNER_START_TIMES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "planner/types.h"

namespace postspread::planner {

class StartTimes {
 public:
  // The time since the Unix epoch: the wall clock at the start of this process plus the steady time since.
  using Time = std::chrono::microseconds;

  // Replaces the start of each upstream in `report`, a list received at `now`, by its estimate. A start that
  // was reported before keeps its estimate.
  void Apply(EndpointListReport& report, Time now);

 private:
  struct StartRecord {
    std::chrono::milliseconds reported{0};
    Time estimate{0};
    bool is_in_list = false;
  };

  // The number of upstreams that are remembered after their removal, because they may be listed again.
  static constexpr std::size_t kMaxUnlisted = 1'000;

  [[nodiscard]] Time Estimate(std::chrono::milliseconds reported, Time now) const;
  void EvictUnlisted();

  std::unordered_map<std::string, StartRecord> starts_;  // By the name of the upstream.
  std::size_t eviction_threshold_ = kMaxUnlisted;  // Eviction runs when `starts_` has this many entries.
  std::optional<Time> last_list_at_;               // When the last snapshot or list of changes arrived.
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_START_TIMES_H_
