#include "statistics/latency_statistics.h"

#include <algorithm>

namespace postspread::statistics {
namespace {

// The weight of one response in the recent mean, which therefore covers some tens of responses.
constexpr double kRecentMeanWeight = 0.03;
// The weights of a response that is faster or slower than the unqueued time. With this ratio the estimate
// converges to the value that a tenth of the responses are faster than.
constexpr double kUnqueuedWeightFaster = 0.1;
constexpr double kUnqueuedWeightSlower = 0.01;
constexpr double kMaxRelativeServiceTime = 4;

double UnqueuedWeight(FloatSeconds unqueued, FloatSeconds latency, ServiceCondition condition) {
  if (unqueued.count() == 0) return 1.0;
  if (latency < unqueued) return kUnqueuedWeightFaster;
  return condition == ServiceCondition::kOverloaded ? 0.0 : kUnqueuedWeightSlower;
}

}  // namespace

void LatencyStatistics::Resize(std::size_t classes) { classes_.resize(classes); }

void LatencyStatistics::ForgetClass(std::size_t class_index) { classes_[class_index] = ClassLatency{}; }

void LatencyStatistics::Record(std::size_t class_index, FloatSeconds latency, ServiceCondition condition) {
  ClassLatency& known = classes_[class_index];
  known.recent_mean +=
      (latency - known.recent_mean) * (known.recent_mean.count() == 0 ? 1.0 : kRecentMeanWeight);
  known.unqueued += (latency - known.unqueued) * UnqueuedWeight(known.unqueued, latency, condition);
}

FloatSeconds LatencyStatistics::RecentMean(int class_index) const {
  return class_index < 0 ? FloatSeconds(0) : classes_[static_cast<std::size_t>(class_index)].recent_mean;
}

double LatencyStatistics::RelativeServiceTime(int class_index, const TrafficMix& traffic) const {
  double sum = 0;
  double units = 0;
  for (const TrafficMix::Bucket& bucket : traffic.buckets()) {
    const double unqueued = classes_[bucket.class_index].unqueued.count();
    if (unqueued <= 0) continue;
    sum += bucket.units.value() * unqueued;
    units += bucket.units.value();
  }
  const double own = class_index < 0 ? 0.0 : classes_[static_cast<std::size_t>(class_index)].unqueued.count();
  if (sum <= 0 || own <= 0) return 1.0;
  return std::clamp(own * units / sum, 1 / kMaxRelativeServiceTime, kMaxRelativeServiceTime);
}

}  // namespace postspread::statistics
