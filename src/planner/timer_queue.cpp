#include "planner/timer_queue.h"

#include <algorithm>

namespace postspread::planner {

void TimerQueue::Set(TimePoint due, std::uint64_t token) {
  timers_.push_back(Timer{due, next_sequence_++, token});
  std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
}

std::optional<std::uint64_t> TimerQueue::PopDue(TimePoint now, Sequence before) {
  if (timers_.empty() || timers_.front().due > now || timers_.front().sequence >= before) return std::nullopt;
  const std::uint64_t token = timers_.front().token;
  std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
  timers_.pop_back();
  return token;
}

void TimerQueue::RemoveUnneeded(const std::function<bool(std::uint64_t token)>& is_needed) {
  std::erase_if(timers_, [&is_needed](const Timer& timer) { return !is_needed(timer.token); });
  timers_.shrink_to_fit();
  std::make_heap(timers_.begin(), timers_.end(), std::greater<>());
}

std::optional<TimePoint> TimerQueue::NextDue() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.front().due;
}

}  // namespace postspread::planner
