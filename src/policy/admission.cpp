#include "policy/admission.h"

#include <algorithm>
#include <utility>

namespace postspread::policy {
namespace {

constexpr double kValueTilt = 2;         // how much more is shed of what is worth less than the mean
constexpr double kHighPressureGain = 2;  // shed at once, of the pressure above the high mark

// Per maintenance round.
constexpr double kShedGain = 0.1;  // of the excess pressure: a second to answer a surge
constexpr double kShedRecovery =
    0.1;  // of the fraction shed: a second to end it, where servers have capacity

constexpr double kSpareUtilization = 0.75;  // below, on average, servers report capacity
constexpr double kNormalInFlight = 1.4;     // of the usual number in flight: below, nothing queues

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
  // Where evidence comes slowly the fraction shed rises slowly too: there the surplus starts at less
  // pressure.
  const double high = kTargetPressure + (kHighPressure - kTargetPressure) * statistics::kMinLoadMemory /
                                            load_.Memory(context_.now());
  const double surplus = std::max(0.0, Pressure(request.Class()) - high);
  const double fraction = shed_fraction_ + kHighPressureGain * surplus;
  return fraction > 0 && context_.Random() < fraction * (1 + kValueTilt * (1 - RelativeValue(request)));
}

Duration AdmissionControl::RetryAfter() { return ToDuration(load_.Memory(context_.now())); }

void AdmissionControl::StopCounting(const RequestState& request, Attempt& attempt, AttemptEnd end) {
  if (!std::exchange(attempt.counted_in_load, false)) return;
  load_.OnAttemptEnded(context_.now());
  if (end == AttemptEnd::kNeverRan) return;
  load_.RecordAnswer(context_.now(), latency_.RelativeServiceTime(request.class_index, traffic_));
}

void AdmissionControl::RunMaintenance() {
  const TimePoint now = context_.now();
  load_.Integrate(now);
  double worst = 0;
  for (const ClassSettings& rules : context_.settings().classes) {
    if (!rules.name.empty()) worst = std::max(worst, Pressure(rules));
  }
  // An integral controller: how much must be shed depends on how often clients retry, which only the outcome
  // shows.
  double change = kShedGain * std::min(1.0, FloatSeconds(1) / load_.Memory(now)) * (worst - kTargetPressure);
  // Where servers report capacity the fraction falls at once: a gateway that sheds gets few answers, and its
  // pressure may stay below the target by chance. So too where little is in flight: servers that have all
  // become slower look like a queue however much is shed.
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
    const FloatSeconds latency = latency_.Typical(static_cast<int>(class_index));
    return settings.classes[class_index].priority_weight * settings.plans[plan_index].price /
           std::max(kMinLatency, latency).count();
  };
  const statistics::TrafficMix::WeightedSum traffic = traffic_.Weigh(context_.now(), value);
  const double own =
      value(static_cast<std::size_t>(request.class_index), static_cast<std::size_t>(request.plan_index));
  // The goals for the worst-served plan and class hold for every request alike.
  const double even = std::max(0.0, settings.goal_worst_plan + settings.goal_worst_class);
  constexpr double kAboveZero = 1e-9;
  return (settings.goal_whole * own * traffic.units / traffic.sum + even) /
         (settings.goal_whole + even + kAboveZero);
}

}  // namespace postspread::policy
