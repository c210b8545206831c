// When each upstream last started, on this process's own clock. Discovery reports a start as wall time, and
// the wall clock here or there may have been stepped, so that time is trusted only within what the lists
// themselves prove: a start is no younger than the list that first reports it, and no older than the last
// list that did not. No I/O, no clock of its own.
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
  using Time = std::chrono::microseconds;  // since the Unix epoch, as the wall clock stood at our own start

  // A list has arrived at `now`: replaces the start of each upstream in it by its estimate. A start that is
  // reported again keeps its estimate.
  void Apply(EndpointListReport& report, Time now);

 private:
  struct Start {
    std::chrono::milliseconds reported{0};
    Time estimate{0};
    bool is_in_list = false;
  };

  // Upstreams that are remembered although they are not listed any more, as they may be listed again.
  static constexpr std::size_t kMaxUnlisted = 1'000;

  [[nodiscard]] Time Estimate(std::chrono::milliseconds reported, Time now) const;
  void EvictUnlisted();

  std::unordered_map<std::string, Start> starts_;  // by name
  std::size_t eviction_threshold_ = kMaxUnlisted;  // entries
  std::optional<Time> last_list_at_;               // when discovery's last list arrived, of any kind
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_START_TIMES_H_
