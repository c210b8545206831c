#include "discovery/discovery_schedule.h"

#include <algorithm>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

// Mean time between two calls of a group of gateways whose calls were refused.
constexpr milliseconds kGroupInterval{200};
// The jitter is a factor of the mean backoff, so that gateways are out of step.
constexpr double kMinJitter = 0.5;
constexpr double kMaxJitter = 1.5;

}  // namespace

DiscoverySchedule::DiscoverySchedule(std::chrono::microseconds dial_timeout, int group_size,
                                     std::uint64_t seed)
    : dial_timeout_(std::min<std::chrono::microseconds>(dial_timeout, kMaxDialTimeout)),
      mean_backoff_(kGroupInterval * std::max(1, group_size)),
      random_(seed) {}

milliseconds DiscoverySchedule::OnRefusal() {
  const auto max_mean = std::chrono::floor<milliseconds>(MaxBackoff() / kMaxJitter);
  after_fault_ = true;
  ++refusals_;
  const double jitter = std::uniform_real_distribution<double>(kMinJitter, kMaxJitter)(random_);
  return std::chrono::floor<milliseconds>(std::min(mean_backoff_, max_mean) * jitter);
}

// The bound is what the event sequences in the header leave for a backoff.
milliseconds DiscoverySchedule::MaxBackoff() const {
  const auto dial = std::chrono::ceil<milliseconds>(dial_timeout_);
  const milliseconds refused_call = dial + kShortWatchWait + kTimeoutMargin;
  const milliseconds successful_call = dial + kTimeoutMargin;
  const milliseconds available = kChangeDeadline - kProcessingReserve - refused_call - successful_call;
  if (refusals_ > 0) return available / 2;  // the previous backoff takes the other half
  const milliseconds unresponsive_watch = kWatchWait + kTimeoutMargin + kRedialDelay;
  return available - unresponsive_watch;
}

}  // namespace postspread::discovery
