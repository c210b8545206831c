// The latency of each class's requests: the recent mean, and the service time without queueing.
#ifndef POSTSPREAD_STATISTICS_LATENCY_STATISTICS_H_
#define POSTSPREAD_STATISTICS_LATENCY_STATISTICS_H_

#include <cstddef>
#include <vector>

#include "statistics/float_seconds.h"
#include "statistics/traffic_mix.h"

namespace postspread::statistics {

// Whether a response was measured while load was shed: then the request has probably waited in a queue.
enum class ServiceCondition { kNormal, kOverloaded };

class LatencyStatistics {
 public:
  // Changes the number of classes. Classes retain their index.
  void Resize(std::size_t classes);
  void ForgetClass(std::size_t class_index);

  // Records that a successful response of the class took `latency`.
  void Record(std::size_t class_index, FloatSeconds latency, ServiceCondition condition);

  // The recent mean latency of a class; 0 before its first response, and for a negative index, which stands
  // for an unknown class.
  [[nodiscard]] FloatSeconds RecentMean(int class_index) const;

  // The class's service time without queueing, as a multiple of the mean over the traffic and within bounds;
  // 1 while it is unknown.
  [[nodiscard]] double RelativeServiceTime(int class_index, const TrafficMix& traffic) const;

 private:
  struct ClassLatency {
    FloatSeconds recent_mean{0};
    FloatSeconds unqueued{0};  // about a tenth of the responses are faster
  };

  std::vector<ClassLatency> classes_;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_LATENCY_STATISTICS_H_
