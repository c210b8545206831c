// Admission control: sheds load while servers are so busy that service takes too much of the latency
// objective.
//
// Pressure is the fraction of a class's slack, between the service time without queueing and its latency
// objective, that queueing takes now. Above a target the fraction shed rises, least valuable work first;
// below it that fraction falls.
#ifndef POSTSPREAD_POLICY_ADMISSION_H_
#define POSTSPREAD_POLICY_ADMISSION_H_

#include "policy/decision_context.h"
#include "policy/request_state.h"
#include "statistics/latency_statistics.h"
#include "statistics/load_statistics.h"
#include "statistics/traffic_mix.h"

namespace postspread::policy {

constexpr double kTargetPressure = 0.25;
constexpr double kHighPressure =
    0.6;  // above, load is shed at once, without waiting for the fraction to rise
constexpr double kSparePressure = 0.1;  // below, servers have spare capacity for what is not due to be sent

// Whether an attempt that leaves the load figures counts as an answer.
enum class AttemptEnd { kAnswered, kNeverRan };

class AdmissionControl {
 public:
  AdmissionControl(DecisionContext& context, statistics::TrafficMix& traffic,
                   const statistics::LatencyStatistics& latency, statistics::LoadStatistics& load)
      : context_(context), traffic_(traffic), latency_(latency), load_(load) {}

  // The fraction of the class's slack that queueing takes now.
  [[nodiscard]] double Pressure(const ClassSettings& rules);

  // Records a request as traffic and decides whether to shed it.
  [[nodiscard]] bool ShouldShed(const RequestState& request);

  // The fraction of the traffic that is shed, before the surplus of high pressure.
  [[nodiscard]] double shed_fraction() const { return shed_fraction_; }

  // When a client whose request was shed may come again: sooner the load figures would say the same.
  [[nodiscard]] Duration RetryAfter();

  // Takes an attempt out of the load figures, once: when it ends or its latency objective passes.
  void StopCounting(const RequestState& request, Attempt& attempt, AttemptEnd end);

  void RunMaintenance();

 private:
  // The value of a request for the work that it takes, as a multiple of the traffic's mean.
  [[nodiscard]] double RelativeValue(const RequestState& request);

  DecisionContext& context_;
  statistics::TrafficMix& traffic_;
  const statistics::LatencyStatistics& latency_;
  statistics::LoadStatistics& load_;
  double shed_fraction_ = 0.0;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_ADMISSION_H_
