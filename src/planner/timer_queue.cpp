#include "planner/timer_queue.h"

namespace postspread::planner {

void TimerQueue::Set(TimePoint due, std::uint64_t token) {
  timers_.push(Timer{due, next_sequence_++, token});
}

std::optional<std::uint64_t> TimerQueue::PopDue(TimePoint now, Sequence before) {
  if (timers_.empty() || timers_.top().due > now || timers_.top().sequence >= before) return std::nullopt;
  const std::uint64_t token = timers_.top().token;
  timers_.pop();
  return token;
}

std::optional<TimePoint> TimerQueue::NextDue() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.top().due;
}

}  // namespace postspread::planner
