// When each upstream last started, on this process's own clock. Discovery tells a start as wall time; the
// wall clock here or there may have been stepped, so that time is believed only within what the lists
// themselves prove: a start is not younger than the list that first tells it, and not older than the last
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

  // A list has come at `now`: rewrites the start of each upstream that it tells. The same start told again is
  // given the same time.
  void Apply(EndpointListReport& report, Time now);

 private:
  struct Start {
    std::chrono::milliseconds told{0};
    Time estimate{0};
    bool listed = false;
  };

  // Upstreams that are no longer listed and are remembered all the same, as they may be listed again.
  static constexpr std::size_t kUnlistedKept = 1'000;

  Time Estimate(std::chrono::milliseconds told, Time now) const;
  void ForgetUnlisted();

  std::unordered_map<std::string, Start> starts_;  // by name
  std::size_t forget_at_ = kUnlistedKept;          // entries: the unlisted ones are forgotten then
  std::optional<Time> last_list_;                  // when discovery's last list came, of any scope
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_START_TIMES_H_
