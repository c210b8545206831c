#include "ops/lifecycle.h"

#include <algorithm>

namespace postspread::ops {
namespace {

constexpr std::chrono::milliseconds kLongestCommand{2'000};
constexpr std::chrono::milliseconds kLongestWait{3'000};  // of the platform before it kills, and ...
constexpr std::chrono::milliseconds kMore{700};           // ... so much more
constexpr std::chrono::milliseconds kSpare{100};          // of that, for the way out

}  // namespace

bool Lifecycle::Drain(Clock::time_point now) {
  if (stopped_) return false;
  if (!drained_) drained_ = now;
  return true;
}

bool Lifecycle::Activate() {
  if (stopped_) return false;
  drained_.reset();
  return true;
}

bool Lifecycle::TakesRequests(Clock::time_point now, std::chrono::microseconds longest_deadline) const {
  if (stopped_) return now < AnswerBy(longest_deadline);
  return !drained_ || now < *drained_ + kOperatorDrain.commands_until;
}

void Lifecycle::Stop(Clock::time_point now) {
  if (!stopped_) stopped_ = now;
}

Lifecycle::Clock::time_point Lifecycle::CommandsUntil(std::chrono::microseconds longest_deadline) const {
  return stopped_.value_or(Clock::time_point()) +
         std::min<std::chrono::microseconds>(longest_deadline, kLongestCommand);
}

Lifecycle::Clock::time_point Lifecycle::AnswerBy(std::chrono::microseconds longest_deadline) const {
  return stopped_.value_or(Clock::time_point()) +
         std::min<std::chrono::microseconds>(longest_deadline, kLongestWait) + kMore - kSpare;
}

Lifecycle::State Lifecycle::state() const {
  if (stopped_) return State::kStopping;
  if (drained_) return State::kDraining;
  return able_ ? State::kServing : State::kStarting;
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
