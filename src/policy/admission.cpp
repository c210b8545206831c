#include "policy/admission.h"

#include <algorithm>
#include <utility>

namespace postspread::policy {
namespace {

// Relative increase of a request's shed probability for each unit by which its relative value is below the
// mean of 1.
constexpr double kValueTilt = 2;
// Fraction of the traffic that is shed at once, per unit of pressure above the high-pressure threshold.
constexpr double kHighPressureGain = 2;

// Increase of the shed fraction in each maintenance round, per unit of pressure above the target: the shed
// fraction follows a surge in about a second.
constexpr double kShedGain = 0.1;
// Part of the shed fraction that each maintenance round removes while upstreams have capacity: shedding ends
// in about a second.
constexpr double kShedRecovery = 0.1;

// Upstreams have capacity if their mean reported utilization is below this value.
constexpr double kSpareUtilization = 0.75;
// Nothing queues while fewer attempts are in flight than this multiple of their usual number.
constexpr double kNormalInFlight = 1.4;

constexpr FloatSeconds kMinSlack{0.001};
constexpr FloatSeconds kMinLatency{0.001};

}  // namespace

double AdmissionControl::Pressure(const ClassSettings& rules) {
  const FloatSeconds service_time = load_.ServiceTime(context_.now());
  const FloatSeconds slack = FloatSeconds(rules.latency_objective) - load_.baseline();
  return load_.Confidence() * (service_time - load_.baseline()) / std::max(kMinSlack, slack);
}

bool AdmissionControl::ShouldShed(const RequestState& request) {
  if (request.class_index < 0 || request.plan_index < 0) return false;
  traffic_.Record(context_.now(), static_cast<std::size_t>(request.class_index),
                  static_cast<std::size_t>(request.plan_index), request.units);
  // If load samples arrive slowly, the shed fraction rises slowly too, so the threshold is lower then.
  const double high_pressure = kTargetPressure + (kHighPressure - kTargetPressure) *
                                                     statistics::kMinLoadTimeConstant /
                                                     load_.TimeConstant(context_.now());
  const double surplus = std::max(0.0, Pressure(request.Class()) - high_pressure);
  const double fraction = shed_fraction_ + kHighPressureGain * surplus;
  return fraction > 0 && context_.Random() < fraction * (1 + kValueTilt * (1 - RelativeValue(request)));
}

Duration AdmissionControl::RetryAfter() { return ToDuration(load_.TimeConstant(context_.now())); }

void AdmissionControl::RemoveFromLoadStatistics(const RequestState& request, Attempt& attempt,
                                                AttemptEnd end) {
  if (!std::exchange(attempt.counted_in_load, false)) return;
  load_.OnAttemptEnded(context_.now());
  if (end == AttemptEnd::kNeverRan) return;
  load_.RecordResponse(context_.now(), latency_.RelativeServiceTime(request.class_index, traffic_));
}

void AdmissionControl::RunMaintenance() {
  const TimePoint now = context_.now();
  load_.Integrate(now);
  double worst = 0;
  for (const ClassSettings& rules : context_.settings().classes) {
    if (!rules.name.empty()) worst = std::max(worst, Pressure(rules));
  }
  // This is an integral controller: the fraction that must be shed depends on how often clients retry, which
  // can only be seen from its effect.
  double change =
      kShedGain * std::min(1.0, FloatSeconds(1) / load_.TimeConstant(now)) * (worst - kTargetPressure);
  // If upstreams report capacity, the shed fraction falls at once: a gateway that sheds load receives few
  // responses, and its pressure may stay just below the target by chance. The same holds if few attempts are
  // in flight: if all upstreams have become slower, that looks like a queue however much is shed.
  if (load_.IsUtilizationBelow(kSpareUtilization) || load_.IsInFlightBelow(now, kNormalInFlight)) {
    change = std::min(change, -kShedRecovery * shed_fraction_);
  }
  shed_fraction_ = std::clamp(shed_fraction_ + change, 0.0, 1.0);
  load_.LearnBaseline(
      now,
      shed_fraction_ > 0 ? statistics::ServiceCondition::kOverloaded : statistics::ServiceCondition::kNormal,
      FloatSeconds(context_.longest_objective()));
}

double AdmissionControl::RelativeValue(const RequestState& request) {
  const Settings& settings = context_.settings();
  const auto value = [&](std::size_t class_index, std::size_t plan_index) {
    const FloatSeconds latency = latency_.RecentMean(static_cast<int>(class_index));
    return settings.classes[class_index].priority_weight * settings.plans[plan_index].price /
           std::max(kMinLatency, latency).count();
  };
  const statistics::TrafficMix::WeightedSum traffic = traffic_.Weigh(context_.now(), value);
  const double own =
      value(static_cast<std::size_t>(request.class_index), static_cast<std::size_t>(request.plan_index));
  // The goals for the worst-served plan and class give every request the same weight.
  const double equal_weight = std::max(0.0, settings.goal_worst_plan + settings.goal_worst_class);
  constexpr double kAboveZero = 1e-9;
  return (settings.goal_total * own * traffic.units / traffic.sum + equal_weight) /
         (settings.goal_total + equal_weight + kAboveZero);
}

}  // namespace postspread::policy
