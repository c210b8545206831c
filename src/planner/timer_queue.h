// The controller's one-shot timers, ordered by due time. Timers with the same due time fire in the order in
// which they were set.
#ifndef POSTSPREAD_PLANNER_TIMER_QUEUE_H_
#define POSTSPREAD_PLANNER_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "postspread/control.h"

namespace postspread::planner {

class TimerQueue {
 public:
  // A timer's position in the order in which timers are set.
  using Sequence = std::uint64_t;

  void Set(TimePoint due, std::uint64_t token);

  // Returns the position of the next timer to be set. Passed to PopDue, it excludes timers that are
  // set later.
  [[nodiscard]] Sequence next_sequence() const { return next_sequence_; }

  // Removes the first timer if it is due and was set before position `before`, and returns its token.
  std::optional<std::uint64_t> PopDue(TimePoint now, Sequence before);

  // Removes the timers whose token `is_needed` rejects.
  void RemoveUnneeded(const std::function<bool(std::uint64_t token)>& is_needed);
  [[nodiscard]] std::size_t size() const { return timers_.size(); }

  // Returns when the first timer is due, or nothing if no timer is set.
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

 private:
  struct Timer {
    TimePoint due{0};
    Sequence sequence = 0;
    std::uint64_t token = 0;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : sequence > other.sequence;
    }
  };

  std::vector<Timer> timers_;  // a heap, with the first timer in front
  Sequence next_sequence_ = 0;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_TIMER_QUEUE_H_
