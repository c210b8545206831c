// A sum that forgets exponentially with time. The quotient of two of them is a moving average.
#ifndef POSTSPREAD_STATISTICS_DECAYING_SUM_H_
#define POSTSPREAD_STATISTICS_DECAYING_SUM_H_

#include <algorithm>
#include <cmath>

#include "postspread/control.h"
#include "statistics/float_seconds.h"

namespace postspread::statistics {

class DecayingSum {
 public:
  // Forgets what has passed since the last call; `memory` is the span that leaves 1/e of the sum.
  void Decay(TimePoint now, FloatSeconds memory) {
    if (now > decayed_at_) value_ *= std::exp(-FloatSeconds(now - decayed_at_) / memory);
    decayed_at_ = std::max(decayed_at_, now);
  }

  // Adds to the sum as it was last decayed.
  void Add(double value) { value_ += value; }

  void Add(TimePoint now, double value, FloatSeconds memory) {
    Decay(now, memory);
    Add(value);
  }

  [[nodiscard]] double value() const { return value_; }

 private:
  double value_ = 0.0;
  TimePoint decayed_at_{0};
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_DECAYING_SUM_H_
