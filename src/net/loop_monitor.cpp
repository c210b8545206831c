#include "net/loop_monitor.h"

namespace postspread::net {
namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{50};
// Two heartbeats after a stall, all bytes that arrived during the stall have been read.
constexpr std::chrono::milliseconds kStallRetention{2 * kHeartbeatInterval};
// A stall that goes undetected must be shorter than the 150 ms by which a request may overrun its deadline.
constexpr std::chrono::milliseconds kMinStall{100};

}  // namespace

LoopMonitor::LoopMonitor(event_base* base) : heartbeat_(base, [this] { OnHeartbeat(); }) {
  heartbeat_.Arm(kHeartbeatInterval);
}

void LoopMonitor::OnHeartbeat() {
  const auto now = Clock::now();
  // The heartbeat may run before the bytes at the sockets are read, so stalls are remembered for some time.
  while (!stalls_.empty() && now - stalls_.front().end > kStallRetention) stalls_.pop_front();
  if (now - last_heartbeat_ > kMinStall) stalls_.push_back({.begin = last_heartbeat_, .end = now});
  last_heartbeat_ = now;
  heartbeat_.Arm(kHeartbeatInterval);
}

Clock::duration LoopMonitor::TimeSinceStallBegan(Clock::time_point now) const {
  if (!stalls_.empty()) return now - stalls_.front().begin;
  const Clock::duration since_heartbeat = now - last_heartbeat_;
  return since_heartbeat > kMinStall ? since_heartbeat : Clock::duration(0);
}

}  // namespace postspread::net
