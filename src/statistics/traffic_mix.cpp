#include "statistics/traffic_mix.h"

namespace postspread::statistics {

void TrafficMix::Resize(std::size_t classes, std::size_t plans) {
  plans_ = plans;
  buckets_.resize(classes * plans);
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i].class_index = i / plans;
    buckets_[i].plan_index = i % plans;
  }
}

void TrafficMix::ForgetClass(std::size_t class_index) {
  for (Bucket& bucket : buckets_) {
    if (bucket.class_index == class_index) bucket.units = DecayingSum{};
  }
}

void TrafficMix::Record(TimePoint now, std::size_t class_index, std::size_t plan_index, double units) {
  buckets_[class_index * plans_ + plan_index].units.Add(now, units, kTrafficTimeConstant);
}

}  // namespace postspread::statistics
