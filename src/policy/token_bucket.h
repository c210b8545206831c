// A token bucket that fills at a rate up to a burst. The caller provides the time.
#ifndef POSTSPREAD_POLICY_TOKEN_BUCKET_H_
#define POSTSPREAD_POLICY_TOKEN_BUCKET_H_

#include <algorithm>

#include "postspread/control.h"
#include "statistics/float_seconds.h"

namespace postspread::policy {

class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(double level, TimePoint now) : level_(level), filled_at_(now) {}

  void Fill(TimePoint now, double per_second, double burst) {
    const FloatSeconds passed(std::max(Duration(0), now - filled_at_));
    level_ = std::min(burst, level_ + per_second * passed.count());
    filled_at_ = std::max(filled_at_, now);
  }

  [[nodiscard]] double level() const { return level_; }
  [[nodiscard]] bool Has(double units) const { return level_ >= units; }
  // The level may become negative, for a request that waits until the bucket is refilled.
  void Take(double units) { level_ -= units; }

 private:
  double level_ = 0.0;
  TimePoint filled_at_{0};
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_TOKEN_BUCKET_H_
