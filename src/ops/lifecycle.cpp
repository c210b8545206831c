#include "ops/lifecycle.h"

#include <algorithm>

namespace postspread::ops {
namespace {

constexpr std::chrono::milliseconds kMaxCommandTime{2'000};  // that a client may take to write a command
// The platform kills the process this long after SIGTERM at the latest, ...
constexpr std::chrono::milliseconds kMaxStopTime{3'000};
constexpr std::chrono::milliseconds kStopGrace{700};  // ... plus this
constexpr std::chrono::milliseconds kExitTime{100};   // of the grace, for the end of the process

}  // namespace

AdminResult Lifecycle::Drain(Clock::time_point now) {
  if (stopped_at_) return AdminResult::kStopping;
  if (!drained_at_) drained_at_ = now;
  return AdminResult::kDone;
}

AdminResult Lifecycle::Activate() {
  if (stopped_at_) return AdminResult::kStopping;
  drained_at_.reset();
  return AdminResult::kDone;
}

bool Lifecycle::TakesRequests(Clock::time_point now, std::chrono::microseconds longest_deadline) const {
  if (stopped_at_) return now < AnswerBy(longest_deadline);
  return !drained_at_ || now < *drained_at_ + kOperatorDrain.commands_until;
}

void Lifecycle::Stop(Clock::time_point now) {
  if (!stopped_at_) stopped_at_ = now;
}

Lifecycle::Clock::time_point Lifecycle::CommandsUntil(std::chrono::microseconds longest_deadline) const {
  return stopped_at_.value_or(Clock::time_point()) +
         std::min<std::chrono::microseconds>(longest_deadline, kMaxCommandTime);
}

Lifecycle::Clock::time_point Lifecycle::AnswerBy(std::chrono::microseconds longest_deadline) const {
  return stopped_at_.value_or(Clock::time_point()) +
         std::min<std::chrono::microseconds>(longest_deadline, kMaxStopTime) + kStopGrace - kExitTime;
}

Lifecycle::State Lifecycle::state() const {
  if (stopped_at_) return State::kStopping;
  if (drained_at_) return State::kDraining;
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

std::chrono::milliseconds ConnectionDrainSchedule::After(std::size_t index, std::size_t count) const {
  if (count <= 1) return first;
  return first + (last - first) * static_cast<long>(index) / static_cast<long>(count - 1);
}

}  // namespace postspread::ops
