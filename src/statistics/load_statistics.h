// The load that a gateway sees on its servers: attempts in flight, answers, reported utilization.
//
// Figures only; src/policy/admission.h says what follows from them. The service time comes from Little's law:
// attempts in flight over answers a second.
#ifndef POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_
#define POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_

#include "statistics/decaying_sum.h"
#include "statistics/float_seconds.h"
#include "statistics/latency_statistics.h"
#include "statistics/traffic_mix.h"

namespace postspread::statistics {

// The least memory of the load statistics: some service times, so that a single burst shows.
constexpr FloatSeconds kMinLoadMemory{0.3};

class LoadStatistics {
 public:
  explicit LoadStatistics(TimePoint start) : start_(start) {}

  // The gateway handled nothing up to now, so what passed tells nothing of the servers.
  void OnStall(TimePoint now) { integrated_at_ = now; }

  void OnAttemptStarted(TimePoint now);
  // An attempt leaves the figures: it has ended, or has taken longer than its class's latency objective.
  void OnAttemptEnded(TimePoint now);
  // The attempt that has just ended counts as an answer; `relative_service_time` is its class's.
  void RecordAnswer(TimePoint now, double relative_service_time);
  void RecordUtilization(TimePoint now, double utilization);

  // Brings the figures up to now.
  void Integrate(TimePoint now);

  // How long the figures remember: longer where answers are few, so that their mean is no chance.
  [[nodiscard]] FloatSeconds Memory(TimePoint now);

  // How long an attempt now takes. Attempts past the objective don't count, so that answers that never come
  // don't look like a queue.
  [[nodiscard]] FloatSeconds ServiceTime(TimePoint now);
  // How much evidence the service time rests on, 0 to 1.
  [[nodiscard]] double Confidence() const;
  // The service time without queueing; 0 until it has been learnt.
  [[nodiscard]] FloatSeconds baseline() const { return baseline_; }
  // Learns the baseline, and in normal condition the usual number of attempts in flight.
  void LearnBaseline(TimePoint now, ServiceCondition condition, FloatSeconds longest_objective);

  // Whether fewer attempts are in flight than `fraction` of the usual number.
  [[nodiscard]] bool IsInFlightBelow(TimePoint now, double fraction);
  // Whether servers report less mean utilization than this; false where they report none.
  [[nodiscard]] bool IsUtilizationBelow(double utilization) const;
  // Answers within kTrafficMemory.
  [[nodiscard]] double recent_answers() const { return recent_answers_.value(); }

 private:
  void Integrate(TimePoint now, int change_in_flight);

  TimePoint start_;
  TimePoint integrated_at_{0};
  int in_flight_ = 0;
  DecayingSum busy_;      // attempts in flight, integrated over time
  DecayingSum answered_;  // answers, each by its class's relative service time
  DecayingSum recent_answers_;
  DecayingSum reported_utilization_;
  DecayingSum reports_;
  FloatSeconds baseline_{0};
  double usual_in_flight_ = 0.0;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_
