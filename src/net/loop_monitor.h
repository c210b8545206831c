// Detects stalls of the event loop: the process was stopped, or had no processor. What is read right after a
// stall may have arrived long before, and its client has waited since.
#ifndef POSTSPREAD_NET_LOOP_MONITOR_H_
#define POSTSPREAD_NET_LOOP_MONITOR_H_

#include <chrono>
#include <deque>

#include "net/loop.h"

namespace postspread::net {

class LoopMonitor {
 public:
  explicit LoopMonitor(event_base* base);

  // How long before `now` a stall began during which something that is read now may have arrived; 0 where
  // there was none.
  [[nodiscard]] Clock::duration StallBefore(Clock::time_point now) const;

 private:
  struct Stall {
    Clock::time_point begin;
    Clock::time_point end;
  };

  void OnHeartbeat();

  Timer heartbeat_;
  Clock::time_point last_heartbeat_ = Clock::now();
  std::deque<Stall> stalls_;  // recent ones: what arrived meanwhile may still be unread
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOOP_MONITOR_H_
