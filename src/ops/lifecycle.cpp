#include "ops/lifecycle.h"

#include <algorithm>

namespace postspread::ops {
namespace {

// A client may take this long to write a command.
constexpr std::chrono::milliseconds kMaxCommandTime{2'000};
// From SIGTERM on, the platform waits for the longest deadline, but at most for this time, plus kKillGrace.
// Then it kills the process.
constexpr std::chrono::milliseconds kMaxShutdownTime{3'000};
constexpr std::chrono::milliseconds kKillGrace{700};
// This part of kKillGrace is reserved for the process to exit.
constexpr std::chrono::milliseconds kExitReserve{100};

}  // namespace

AdminResult Lifecycle::Drain(Clock::time_point now) {
  if (shutdown_started_at_) return AdminResult::kStopping;
  if (!drain_started_at_) drain_started_at_ = now;
  return AdminResult::kDone;
}

AdminResult Lifecycle::Activate() {
  if (shutdown_started_at_) return AdminResult::kStopping;
  drain_started_at_.reset();
  return AdminResult::kDone;
}

bool Lifecycle::AdmitsRequests(Clock::time_point now, std::chrono::microseconds longest_deadline) const {
  if (shutdown_started_at_) return now < ResponseDeadline(longest_deadline);
  return !drain_started_at_ || now < *drain_started_at_ + kOperatorDrain.command_deadline;
}

void Lifecycle::BeginShutdown(Clock::time_point now) {
  if (!shutdown_started_at_) shutdown_started_at_ = now;
}

Lifecycle::Clock::time_point Lifecycle::CommandDeadline(std::chrono::microseconds longest_deadline) const {
  return shutdown_started_at_.value_or(Clock::time_point()) +
         std::min<std::chrono::microseconds>(longest_deadline, kMaxCommandTime);
}

Lifecycle::Clock::time_point Lifecycle::ResponseDeadline(std::chrono::microseconds longest_deadline) const {
  return shutdown_started_at_.value_or(Clock::time_point()) +
         std::min<std::chrono::microseconds>(longest_deadline, kMaxShutdownTime) + kKillGrace - kExitReserve;
}

Lifecycle::State Lifecycle::state() const {
  if (shutdown_started_at_) return State::kStopping;
  if (drain_started_at_) return State::kDraining;
  return dependencies_ == Dependencies::kAvailable ? State::kServing : State::kStarting;
}

std::string_view Name(Lifecycle::State state) {
  switch (state) {
    case Lifecycle::State::kStarting:
      return "starting";
    case Lifecycle::State::kServing:
      return "serving";
    case Lifecycle::State::kDraining:
      return "draining";
    case Lifecycle::State::kStopping:
      return "stopping";
  }
  return "";
}

std::chrono::milliseconds ConnectionDrainSchedule::CloseDelay(std::size_t index, std::size_t count) const {
  if (count <= 1) return first;
  return first + (last - first) * static_cast<long>(index) / static_cast<long>(count - 1);
}

}  // namespace postspread::ops
