// Notices that the event loop stood still: the process was stopped, or starved of its core. What is read
// right after that may have come long before, and its client has waited since.
#ifndef POSTSPREAD_NET_LOOP_MONITOR_H_
#define POSTSPREAD_NET_LOOP_MONITOR_H_

#include <chrono>
#include <deque>

#include "net/loop.h"

namespace postspread::net {

class LoopMonitor {
 public:
  explicit LoopMonitor(event_base* base);

  // How long ago something that is read at `now` may have come, at most; 0 where the loop has not stood still
  // for longer than the platform's slack allows for anyway.
  [[nodiscard]] Clock::duration StoodStill(Clock::time_point now) const;

 private:
  void Beat();

  Timer beat_;
  Clock::time_point last_beat_ = Clock::now();
  // Standstills of late, whose remains at the sockets may still be read.
  struct Standstill {
    Clock::time_point begin, end;
  };
  std::deque<Standstill> standstills_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOOP_MONITOR_H_
