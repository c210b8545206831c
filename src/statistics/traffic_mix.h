// The mix of recent traffic: the units that the requests of each class and plan have requested.
//
// The size is bounded by the number of classes times the number of plans.
#ifndef POSTSPREAD_STATISTICS_TRAFFIC_MIX_H_
#define POSTSPREAD_STATISTICS_TRAFFIC_MIX_H_

#include <cstddef>
#include <vector>

#include "statistics/decaying_sum.h"

namespace postspread::statistics {

// The time constant of the traffic mix, and the maximum time constant of the load statistics.
constexpr FloatSeconds kTrafficTimeConstant{7};

class TrafficMix {
 public:
  struct Bucket {
    std::size_t class_index = 0;
    std::size_t plan_index = 0;
    DecayingSum units;
  };

  // `sum` adds up a value per class and plan, weighted by the units of the traffic; `units` adds up the
  // weights.
  struct WeightedSum {
    double sum = 0.0;
    double units = 0.0;
  };

  // Changes the number of classes and plans. Both retain their index.
  void Resize(std::size_t classes, std::size_t plans);
  void ForgetClass(std::size_t class_index);

  void Record(TimePoint now, std::size_t class_index, std::size_t plan_index, double units);

  // Returns the buckets, ordered by class and then by plan.
  [[nodiscard]] const std::vector<Bucket>& buckets() const { return buckets_; }

  // Sums `value_of(class_index, plan_index)`, weighted by the units of each bucket. Both results are above 0.
  template <typename ValueOf>
  [[nodiscard]] WeightedSum Weigh(TimePoint now, const ValueOf& value_of) {
    constexpr double kAboveZero = 1e-9;
    WeightedSum result{kAboveZero, kAboveZero};
    for (Bucket& bucket : buckets_) {
      bucket.units.Decay(now, kTrafficTimeConstant);
      result.units += bucket.units.value();
      result.sum += bucket.units.value() * value_of(bucket.class_index, bucket.plan_index);
    }
    return result;
  }

 private:
  std::size_t plans_ = 0;
  std::vector<Bucket> buckets_;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_TRAFFIC_MIX_H_
