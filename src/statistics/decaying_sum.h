// A sum that decays exponentially with time. The quotient of two such sums is a moving average.
#ifndef POSTSPREAD_STATISTICS_DECAYING_SUM_H_
#define POSTSPREAD_STATISTICS_DECAYING_SUM_H_

#include <algorithm>
#include <cmath>

#include "postspread/control.h"
#include "statistics/float_seconds.h"

namespace postspread::statistics {

class DecayingSum {
 public:
  // Applies the decay since the last call. After `time_constant` 1/e of the sum is left.
  void Decay(TimePoint now, FloatSeconds time_constant) {
    if (now > decayed_at_) value_ *= std::exp(-FloatSeconds(now - decayed_at_) / time_constant);
    decayed_at_ = std::max(decayed_at_, now);
  }

  // Adds to the sum without decaying it first.
  void Add(double value) { value_ += value; }

  void Add(TimePoint now, double value, FloatSeconds time_constant) {
    Decay(now, time_constant);
    Add(value);
  }

  [[nodiscard]] double value() const { return value_; }

 private:
  double value_ = 0.0;
  TimePoint decayed_at_{0};
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_DECAYING_SUM_H_
