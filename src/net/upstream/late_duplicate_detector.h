// Protects against late duplicates: further copies of a response that some upstreams send. A duplicate that
// arrives some milliseconds after the first copy, once the next request has been sent on the connection,
// can't be distinguished from the response to that request. So for some time after a duplicate was detected,
// an idle connection is reused only after a delay.
#ifndef POSTSPREAD_NET_UPSTREAM_LATE_DUPLICATE_DETECTOR_H_
#define POSTSPREAD_NET_UPSTREAM_LATE_DUPLICATE_DETECTOR_H_

#include <chrono>

#include "net/loop.h"

namespace postspread::net {

class LateDuplicateDetector {
 public:
  // Records that bytes have arrived that belong to no request.
  void Record(Clock::time_point now) { delay_reuse_until_ = now + kProtectionPeriod; }

  // Returns a cutoff: a connection may be reused now if it has been idle since this time or earlier.
  [[nodiscard]] Clock::time_point ReusableIfIdleSince(Clock::time_point now) const {
    return now < delay_reuse_until_ ? now - kReuseDelay : now;
  }

 private:
  static constexpr std::chrono::milliseconds kReuseDelay{20};
  static constexpr std::chrono::seconds kProtectionPeriod{60};  // since the last detected duplicate

  Clock::time_point delay_reuse_until_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_LATE_DUPLICATE_DETECTOR_H_
