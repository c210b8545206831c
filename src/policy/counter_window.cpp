#include "policy/counter_window.h"

#include <algorithm>
#include <utility>

namespace postspread::policy {
namespace {

constexpr double kLimitDecrease = 0.7;  // factor after a slow reply or an overload

// Factors of the fraction of requests that call the counter; it settles where one call in eight fails.
constexpr double kFractionDecrease = 0.7;
constexpr double kFractionIncrease = 1.05;
// Some requests call the counter even if all calls fail, to detect its recovery.
constexpr double kMinFraction = 0.1;

// Consecutive failures after which the counter is down.
constexpr int kFailuresUntilDown = 4;
constexpr Duration kCheckInterval = std::chrono::milliseconds(300);

}  // namespace

void CounterCallWindow::OnReply(ReplyQuality quality, TimePoint sent_at, TimePoint now) {
  --open_calls_;
  UpdateFraction(quality, sent_at, now);
  UpdateLimit(quality, sent_at, now);
}

void CounterCallWindow::UpdateFraction(ReplyQuality quality, TimePoint sent_at, TimePoint now) {
  if (quality == ReplyQuality::kFast || quality == ReplyQuality::kSlow) {
    call_fraction_ = std::clamp(call_fraction_ * kFractionIncrease, kMinFraction, 1.0);
  } else if (quality == ReplyQuality::kOverloaded && sent_at >= fraction_reduced_at_) {
    call_fraction_ = std::clamp(call_fraction_ * kFractionDecrease, kMinFraction, 1.0);
    fraction_reduced_at_ = now;
  }
}

void CounterCallWindow::UpdateLimit(ReplyQuality quality, TimePoint sent_at, TimePoint now) {
  if (quality == ReplyQuality::kFast) {
    max_open_calls_ = std::min(kMaxOpenCalls, max_open_calls_ + 1 / max_open_calls_);
  } else if (quality != ReplyQuality::kUnknown && sent_at >= limit_reduced_at_) {
    max_open_calls_ = std::max(1.0, max_open_calls_ * kLimitDecrease);
    limit_reduced_at_ = now;
  }
}

bool CounterOutage::IsDown() const { return failures_ >= kFailuresUntilDown; }

bool CounterOutage::MayCall(TimePoint now) {
  if (IsDown() && now < next_check_) return false;
  next_check_ = now + kCheckInterval;
  return true;
}

bool CounterOutage::OnSuccess(TimePoint sent_at) {
  const bool was_down = IsDown();
  if (was_down && sent_at <= down_since_) return false;  // sent before the outage, so it does not end it
  failures_ = 0;
  return was_down;
}

bool CounterOutage::OnFailure(TimePoint now) {
  if (std::exchange(last_failure_, now) == now) return false;
  ++failures_;
  if (failures_ != kFailuresUntilDown) return false;
  down_since_ = now;
  next_check_ = now + kCheckInterval;
  return true;
}

}  // namespace postspread::policy
