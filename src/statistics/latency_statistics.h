// What requests of each class take: the recent mean, and the service time without queueing.
#ifndef POSTSPREAD_STATISTICS_LATENCY_STATISTICS_H_
#define POSTSPREAD_STATISTICS_LATENCY_STATISTICS_H_

#include <cstddef>
#include <vector>

#include "statistics/float_seconds.h"
#include "statistics/traffic_mix.h"

namespace postspread::statistics {

// Whether an answer was measured while load was shed, and so probably after queueing.
enum class ServiceCondition { kNormal, kOverloaded };

class LatencyStatistics {
 public:
  // Classes keep their places.
  void Resize(std::size_t classes);
  void ForgetClass(std::size_t class_index);

  // A good answer of the class took `latency`.
  void Record(std::size_t class_index, FloatSeconds latency, ServiceCondition condition);

  // The recent mean of a class; 0 before its first answer and for a negative index, an unknown class.
  [[nodiscard]] FloatSeconds Typical(int class_index) const;

  // The class's service time without queueing as a multiple of the traffic's mean, within bounds; 1 while
  // unknown.
  [[nodiscard]] double RelativeServiceTime(int class_index, const TrafficMix& traffic) const;

 private:
  struct ClassLatency {
    FloatSeconds typical{0};
    FloatSeconds unqueued{0};  // about the fastest tenth
  };

  std::vector<ClassLatency> classes_;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_LATENCY_STATISTICS_H_
