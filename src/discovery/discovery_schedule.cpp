#include "discovery/discovery_schedule.h"

#include <algorithm>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRefusedShare{200};             // a gateway's part of the five calls a second
constexpr double kLeastShare = 0.5, kMostShare = 1.5;  // of the mean pause: chance, so that none go in step

milliseconds Up(std::chrono::microseconds time) { return std::chrono::ceil<milliseconds>(time); }

}  // namespace

DiscoverySchedule::DiscoverySchedule(std::chrono::microseconds dial_timeout, int group_size,
                                     std::uint64_t seed)
    : dial_(std::min<std::chrono::microseconds>(dial_timeout, kMostDial)),
      mean_(kRefusedShare * std::max(1, group_size)),
      random_(seed) {}

milliseconds DiscoverySchedule::Refused() {
  fault_ = true;
  // What the bound leaves for the pause: see the ways in the header.
  const milliseconds dial = Up(dial_), failed = dial + kShortWait + kOverdue, told = dial + kOverdue;
  const milliseconds after_silence = kTold - kSpare - (kWait + kOverdue) - kRedial - failed - told;
  const milliseconds again = (kTold - kSpare - failed - told) / 2;
  const milliseconds most = refused_++ == 0 ? after_silence : again;
  const auto mean = std::min(mean_, std::chrono::floor<milliseconds>(most / kMostShare));
  const double share = std::uniform_real_distribution<double>(kLeastShare, kMostShare)(random_);
  return std::chrono::floor<milliseconds>(mean * share);
}

}  // namespace postspread::discovery
