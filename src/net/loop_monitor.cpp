#include "net/loop_monitor.h"

namespace postspread::net {
namespace {

constexpr std::chrono::milliseconds kHeartbeat{50};
// Within two heartbeats after a stall all that arrived meanwhile has been read.
constexpr std::chrono::milliseconds kBacklog{2 * kHeartbeat};
// Below the 150 ms by which a request may overrun its deadline.
constexpr std::chrono::milliseconds kMinStall{100};

}  // namespace

LoopMonitor::LoopMonitor(event_base* base) : heartbeat_(base, [this] { OnHeartbeat(); }) {
  heartbeat_.Arm(kHeartbeat);
}

void LoopMonitor::OnHeartbeat() {
  const auto now = Clock::now();
  // This may run before what waits at the sockets is read: a stall is remembered for some time.
  while (!stalls_.empty() && now - stalls_.front().end > kBacklog) stalls_.pop_front();
  if (now - last_heartbeat_ > kMinStall) stalls_.push_back({.begin = last_heartbeat_, .end = now});
  last_heartbeat_ = now;
  heartbeat_.Arm(kHeartbeat);
}

Clock::duration LoopMonitor::StallBefore(Clock::time_point now) const {
  if (!stalls_.empty()) return now - stalls_.front().begin;
  const Clock::duration since_heartbeat = now - last_heartbeat_;
  return since_heartbeat > kMinStall ? since_heartbeat : Clock::duration(0);
}

}  // namespace postspread::net
