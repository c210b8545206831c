#include "discovery/discovery_schedule.h"

#include <algorithm>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGroupInterval{200};  // between two calls of a group that was refused
// Jitter, as factors of the mean backoff, so that gateways are out of step.
constexpr double kMinJitter = 0.5;
constexpr double kMaxJitter = 1.5;

}  // namespace

DiscoverySchedule::DiscoverySchedule(std::chrono::microseconds dial_timeout, int group_size,
                                     std::uint64_t seed)
    : dial_timeout_(std::min<std::chrono::microseconds>(dial_timeout, kMaxDial)),
      mean_backoff_(kGroupInterval * std::max(1, group_size)),
      random_(seed) {}

milliseconds DiscoverySchedule::Refused() {
  const auto max_mean = std::chrono::floor<milliseconds>(MaxBackoff() / kMaxJitter);
  after_fault_ = true;
  ++refusals_;
  const double jitter = std::uniform_real_distribution<double>(kMinJitter, kMaxJitter)(random_);
  return std::chrono::floor<milliseconds>(std::min(mean_backoff_, max_mean) * jitter);
}

// What the sequences of events in the header leave for it.
milliseconds DiscoverySchedule::MaxBackoff() const {
  const auto dial = std::chrono::ceil<milliseconds>(dial_timeout_);
  const milliseconds refused_call = dial + kShortWait + kOverdue;
  const milliseconds answered_call = dial + kOverdue;
  const milliseconds available = kChangeDeadline - kSpare - refused_call - answered_call;
  if (refusals_ > 0) return available / 2;  // shared with the backoff before
  const milliseconds silent_watch = kWait + kOverdue + kRedial;
  return available - silent_watch;
}

}  // namespace postspread::discovery
