// Decides after how long without a new byte an incomplete response counts as aborted. Adapts to upstreams
// that write their responses in pieces.
#ifndef POSTSPREAD_NET_UPSTREAM_STALL_TIMEOUT_H_
#define POSTSPREAD_NET_UPSTREAM_STALL_TIMEOUT_H_

#include <algorithm>
#include <chrono>

namespace postspread::net {

class StallTimeout {
 public:
  static constexpr std::chrono::milliseconds kMin{50};  // ten times a round trip
  static constexpr std::chrono::milliseconds kMax{1'000};

  // Records the gap between two reads of one response.
  void RecordGap(std::chrono::microseconds gap) {
    const auto decayed = std::chrono::duration_cast<std::chrono::microseconds>(longest_gap_ * kDecay);
    longest_gap_ = std::max(gap, decayed);
  }

  [[nodiscard]] std::chrono::microseconds value() const {
    return std::clamp<std::chrono::microseconds>(kGapMultiple * longest_gap_, kMin, kMax);
  }

 private:
  static constexpr int kGapMultiple = 3;
  static constexpr double kDecay = 0.999;  // factor on the longest gap for each gap recorded

  std::chrono::microseconds longest_gap_{0};
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_STALL_TIMEOUT_H_
