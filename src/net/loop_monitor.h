// Detects stalls of the event loop, in which the process was stopped or got no CPU time. Bytes that are read
// right after a stall may have arrived long before, and their client has been waiting since then.
#ifndef POSTSPREAD_NET_LOOP_MONITOR_H_
#define POSTSPREAD_NET_LOOP_MONITOR_H_

#include <chrono>
#include <deque>

#include "net/loop.h"

namespace postspread::net {

class LoopMonitor {
 public:
  explicit LoopMonitor(event_base* base);

  // Returns the time from the start of the oldest stall during which bytes that are read now may have
  // arrived, until `now`; 0 if there was no such stall.
  [[nodiscard]] Clock::duration TimeSinceStallBegan(Clock::time_point now) const;

 private:
  struct Stall {
    Clock::time_point begin;
    Clock::time_point end;
  };

  void OnHeartbeat();

  Timer heartbeat_;
  Clock::time_point last_heartbeat_ = Clock::now();
  std::deque<Stall> stalls_;  // recent stalls, oldest first; bytes that arrived meanwhile may be unread
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOOP_MONITOR_H_
