// Late duplicates: further copies of a response that some upstreams send. One that arrives some milliseconds
// after the first copy, once the next request is on the connection, can't be told from that
// request's response. So for some time after a duplicate was seen, a connection rests before its reuse.
#ifndef POSTSPREAD_NET_UPSTREAM_LATE_DUPLICATE_DETECTOR_H_
#define POSTSPREAD_NET_UPSTREAM_LATE_DUPLICATE_DETECTOR_H_

#include <chrono>

#include "net/loop.h"

namespace postspread::net {

class LateDuplicateDetector {
 public:
  // Bytes have arrived that no request was waiting for.
  void Record(Clock::time_point now) { rest_until_ = now + kDetectionPeriod; }

  // A connection may be reused now if it has been idle since this time or earlier.
  [[nodiscard]] Clock::time_point ReusableIfIdleSince(Clock::time_point now) const {
    return now < rest_until_ ? now - kRest : now;
  }

 private:
  static constexpr std::chrono::milliseconds kRest{20};
  static constexpr std::chrono::seconds kDetectionPeriod{60};

  Clock::time_point rest_until_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_LATE_DUPLICATE_DETECTOR_H_
