// Admission control: sheds load while queueing at the upstreams takes up too much of the latency objective.
//
// The slack of a class is the time between the service time without queueing and the latency objective.
// Pressure is the fraction of the slack that queueing takes at present. While pressure is above its target,
// the shed fraction rises and the least valuable requests are shed first; below the target it falls.
#ifndef POSTSPREAD_POLICY_ADMISSION_H_
#define POSTSPREAD_POLICY_ADMISSION_H_

#include "policy/decision_context.h"
#include "policy/request_state.h"
#include "statistics/latency_statistics.h"
#include "statistics/load_statistics.h"
#include "statistics/traffic_mix.h"

namespace postspread::policy {

constexpr double kTargetPressure = 0.25;
// Above this pressure, load is shed at once, without waiting for the shed fraction to rise.
constexpr double kHighPressure = 0.6;
// Below this pressure, upstreams have spare capacity for hedged requests and for requests beyond a quota.
constexpr double kSparePressure = 0.1;

// Tells whether an attempt that is removed from the load statistics counts as a response.
enum class AttemptEnd { kResponded, kNeverRan };

// Decides which of this gateway's requests are shed.
class AdmissionControl {
 public:
  AdmissionControl(DecisionContext& context, statistics::TrafficMix& traffic,
                   const statistics::LatencyStatistics& latency, statistics::LoadStatistics& load)
      : context_(context), traffic_(traffic), latency_(latency), load_(load) {}

  // Returns the fraction of the class's slack that queueing takes at present.
  [[nodiscard]] double Pressure(const ClassSettings& rules);

  // Records a request in the traffic mix and returns whether it is shed.
  [[nodiscard]] bool ShouldShed(const RequestState& request);

  // Returns the fraction of the traffic that is shed, without the part that is added under high pressure.
  [[nodiscard]] double shed_fraction() const { return shed_fraction_; }

  // Returns how long a client waits before it retries a shed request: the time constant of the load
  // statistics, since they would not have changed sooner.
  [[nodiscard]] Duration RetryAfter();

  // Removes an attempt from the load statistics when it ends or exceeds its latency objective. Further calls
  // for the same attempt have no effect.
  void RemoveFromLoadStatistics(const RequestState& request, Attempt& attempt, AttemptEnd end);

  // Adjusts the shed fraction and learns the service time without queueing.
  void RunMaintenance();

 private:
  // Returns a request's value in relation to the work that it takes, as a multiple of the traffic's mean.
  [[nodiscard]] double RelativeValue(const RequestState& request);

  DecisionContext& context_;
  statistics::TrafficMix& traffic_;
  const statistics::LatencyStatistics& latency_;
  statistics::LoadStatistics& load_;
  double shed_fraction_ = 0.0;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_ADMISSION_H_
