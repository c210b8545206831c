// The load that a gateway observes at its upstreams: attempts in flight, responses, reported utilization.
//
// This module only measures; src/policy/admission.h decides. It computes the service time by Little's law:
// attempts in flight divided by responses per second.
#ifndef POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_
#define POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_

#include "statistics/decaying_sum.h"
#include "statistics/float_seconds.h"
#include "statistics/latency_statistics.h"
#include "statistics/traffic_mix.h"

namespace postspread::statistics {

// The minimum time constant of the load statistics. It covers a few service times, so that a single burst is
// visible.
constexpr FloatSeconds kMinLoadTimeConstant{0.3};

class LoadStatistics {
 public:
  explicit LoadStatistics(TimePoint start) : start_(start) {}

  // Skips the time since the last update: the gateway handled no events in it, so it says nothing about the
  // upstreams.
  void OnStall(TimePoint now) { integrated_at_ = now; }

  void OnAttemptStarted(TimePoint now);
  // Removes an attempt from the statistics: it has ended, or has exceeded the latency objective of its class.
  void OnAttemptEnded(TimePoint now);
  // Counts the attempt that has just ended as a response. `relative_service_time` is that of its class.
  void RecordResponse(TimePoint now, double relative_service_time);
  void RecordUtilization(TimePoint now, double utilization);

  // Updates the statistics to `now`.
  void Integrate(TimePoint now);

  // The time constant of the statistics. It is longer when responses are few, so that random fluctuations
  // don't dominate their mean.
  [[nodiscard]] FloatSeconds TimeConstant(TimePoint now);

  // The present service time of an attempt. Attempts that exceed the latency objective don't count, so that
  // an upstream that never responds isn't mistaken for a queue.
  [[nodiscard]] FloatSeconds ServiceTime(TimePoint now);
  // The amount of evidence for the service time, 0 to 1.
  [[nodiscard]] double Confidence() const;
  // The service time without queueing; 0 until LearnBaseline has determined it.
  [[nodiscard]] FloatSeconds baseline() const { return baseline_; }
  // Updates the baseline, and in normal condition the usual number of attempts in flight.
  void LearnBaseline(TimePoint now, ServiceCondition condition, FloatSeconds longest_objective);

  // Whether the number of attempts in flight is below `fraction` of the usual number.
  [[nodiscard]] bool IsInFlightBelow(TimePoint now, double fraction);
  // Whether the mean utilization that upstreams report is below `utilization`; false if they report none.
  [[nodiscard]] bool IsUtilizationBelow(double utilization) const;
  // The number of responses, decayed with kTrafficTimeConstant.
  [[nodiscard]] double recent_responses() const { return recent_responses_.value(); }

 private:
  void Integrate(TimePoint now, int change_in_flight);

  TimePoint start_;
  TimePoint integrated_at_{0};
  int in_flight_ = 0;
  DecayingSum in_flight_integral_;  // attempts in flight, integrated over time in seconds
  DecayingSum weighted_responses_;  // responses, each weighted by the relative service time of its class
  DecayingSum recent_responses_;
  DecayingSum reported_utilization_;
  DecayingSum reports_;
  FloatSeconds baseline_{0};
  double usual_in_flight_ = 0.0;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_
