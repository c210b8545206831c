#include "net/downstream/connection_drainer.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "net/log.h"
#include "safety/connection_rules.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCloseInterval{20};
constexpr milliseconds kReportInterval{1'000};
constexpr int kMaxReportedConnections = 5;
// The first request of a new connection may arrive within this time.
constexpr milliseconds kFirstRequestGrace{500};
// The violation check runs this long after the start of a drain.
constexpr milliseconds kViolationCheckDelay = safety::kDrainDeadline - milliseconds(100);

}  // namespace

ConnectionDrainer::ConnectionDrainer(event_base* base, ClientConnections& connections, ops::Metrics& metrics)
    : connections_(connections),
      metrics_(metrics),
      close_timer_(base, [this] { CloseDue(); }),
      report_timer_(base, [this] { Report(); }) {}

void ConnectionDrainer::Start(const ops::ConnectionDrainSchedule& schedule, ops::CloseReason reason) {
  const auto now = Clock::now();
  started_at_ = now;
  schedule_ = schedule;
  reason_ = reason;
  violations_counted_ = false;
  std::vector<ClientConnection*> by_last_use;
  for (const auto& connection : connections_) by_last_use.push_back(connection.get());
  std::sort(by_last_use.begin(), by_last_use.end(),
            [](const ClientConnection* left, const ClientConnection* right) {
              return left->last_used_at() < right->last_used_at();
            });
  for (std::size_t i = 0; i < by_last_use.size(); ++i) {
    by_last_use[i]->ScheduleClose({.at = now + schedule.CloseDelay(i, by_last_use.size()),
                                   .command_deadline = now + schedule.command_deadline,
                                   .reason = reason});
  }
  close_timer_.Arm(kCloseInterval);
  report_timer_.Arm(schedule.command_deadline);
}

void ConnectionDrainer::Stop() {
  started_at_.reset();
  close_timer_.Disarm();
  report_timer_.Disarm();
  for (const auto& connection : connections_) connection->CancelScheduledClose();
}

void ConnectionDrainer::OnAccepted(ClientConnection& connection) {
  if (!started_at_) return;
  // Early in a drain the load balancer still routes clients here. Later a connection stays open only long
  // enough for its client to send a request and learn that it is rejected.
  const auto now = Clock::now();
  const auto latest = std::max(now + kLateRequestGrace, *started_at_ + schedule_.last);
  const auto at = std::min(std::max(now + kFirstRequestGrace, *started_at_ + schedule_.first), latest);
  const auto command_deadline = std::max(at + kLateCommandGrace, *started_at_ + schedule_.command_deadline);
  connection.ScheduleClose({.at = at, .command_deadline = command_deadline, .reason = reason_});
}

void ConnectionDrainer::CloseAll(Clock::time_point command_deadline) {
  const auto now = Clock::now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    ClientConnection& connection = **it++;  // CloseIfDue may remove the connection
    connection.ScheduleClose(
        {.at = now, .command_deadline = command_deadline, .reason = ops::CloseReason::kStopping});
    connection.CloseIfDue(now);
  }
}

void ConnectionDrainer::CloseDue() {
  close_timer_.Arm(kCloseInterval);
  const auto now = Clock::now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    ClientConnection& connection = **it++;  // the call may remove the connection
    connection.CloseIfDue(now);
  }
}

// Logs the connections that are still open after the scheduled time, and what keeps them open.
void ConnectionDrainer::Report() {
  CountViolations();
  if (connections_.empty()) return Log("drain", "no client connection is open");
  Log("drain", std::to_string(connections_.size()) + " client connections are open");
  int reported = 0;
  for (const auto& connection : connections_) {
    if (++reported > kMaxReportedConnections) break;
    Log("drain", "open: " + connection->Describe());
  }
  report_timer_.Arm(kReportInterval);
}

// Counts rule violations once per operator's drain, shortly before its deadline.
void ConnectionDrainer::CountViolations() {
  const auto now = Clock::now();
  const bool is_operators_drain = reason_ == ops::CloseReason::kDrained;
  if (!is_operators_drain || violations_counted_ || now < *started_at_ + kViolationCheckDelay) return;
  violations_counted_ = true;
  for (const auto& connection : connections_) {
    if (connection->ViolatesDrainDeadline(now)) metrics_.rules.Violated(safety::Rule::kDrainInTime);
  }
}

}  // namespace postspread::net
