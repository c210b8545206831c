#include "statistics/load_statistics.h"

#include <algorithm>
#include <cmath>

namespace postspread::statistics {
namespace {

// The relative error of a mean over this many responses is about a third.
constexpr double kResponsesPerTimeConstant = 10;
constexpr double kResponsesForConfidence = 5;  // fewer responses are no evidence of the service time
constexpr double kMinResponses = 0.5;          // the minimum divisor, which prevents a division by 0

// Weights of one maintenance round, ten of which run per second. The baseline follows faster service times
// within a second, and rises over minutes. The usual number in flight is a mean over ten seconds of
// normal condition.
constexpr double kBaselineWeightFaster = 0.1;
constexpr double kBaselineWeightSlower = 0.0005;
constexpr double kUsualInFlightWeight = 0.01;

constexpr double kNormalOverBaseline = 1.5;      // service times up to this multiple are normal
constexpr double kMaxBaselineOfObjective = 0.2;  // a longer service time was measured with queueing

}  // namespace

void LoadStatistics::OnAttemptStarted(TimePoint now) { Integrate(now, +1); }

void LoadStatistics::OnAttemptEnded(TimePoint now) { Integrate(now, -1); }

void LoadStatistics::RecordResponse(TimePoint now, double relative_service_time) {
  weighted_responses_.Add(relative_service_time);
  recent_responses_.Add(now, 1.0, kTrafficTimeConstant);
}

void LoadStatistics::RecordUtilization(TimePoint now, double utilization) {
  reported_utilization_.Add(now, utilization, kTrafficTimeConstant);
  reports_.Add(now, 1, kTrafficTimeConstant);
}

void LoadStatistics::Integrate(TimePoint now) { Integrate(now, 0); }

void LoadStatistics::Integrate(TimePoint now, int change_in_flight) {
  const FloatSeconds time_constant = TimeConstant(now);
  const FloatSeconds gap(now - integrated_at_);
  in_flight_integral_.Decay(now, time_constant);
  weighted_responses_.Decay(now, time_constant);
  in_flight_integral_.Add(in_flight_ * time_constant.count() * (1 - std::exp(-gap / time_constant)));
  integrated_at_ = now;
  in_flight_ += change_in_flight;
}

FloatSeconds LoadStatistics::TimeConstant(TimePoint now) {
  recent_responses_.Decay(now, kTrafficTimeConstant);
  const FloatSeconds observed = std::min(kTrafficTimeConstant, FloatSeconds(now - start_));
  return std::clamp(kResponsesPerTimeConstant * observed / std::max(1e-3, recent_responses_.value()),
                    kMinLoadTimeConstant, kTrafficTimeConstant);
}

FloatSeconds LoadStatistics::ServiceTime(TimePoint now) {
  Integrate(now);
  return FloatSeconds(in_flight_integral_.value() / std::max(weighted_responses_.value(), kMinResponses));
}

double LoadStatistics::Confidence() const {
  return std::min(1.0, (weighted_responses_.value() + in_flight_) / kResponsesForConfidence);
}

void LoadStatistics::LearnBaseline(TimePoint now, ServiceCondition condition,
                                   FloatSeconds longest_objective) {
  if (weighted_responses_.value() <= kResponsesForConfidence) return;
  const FloatSeconds service_time(in_flight_integral_.value() / weighted_responses_.value());
  if (baseline_.count() <= 0) baseline_ = service_time;
  if (condition == ServiceCondition::kNormal && service_time < kNormalOverBaseline * baseline_) {
    usual_in_flight_ +=
        (in_flight_integral_.value() / TimeConstant(now).count() - usual_in_flight_) * kUsualInFlightWeight;
  }
  baseline_ +=
      (service_time - baseline_) * (service_time < baseline_ ? kBaselineWeightFaster : kBaselineWeightSlower);
  baseline_ = std::min(baseline_, kMaxBaselineOfObjective * longest_objective);
}

bool LoadStatistics::IsInFlightBelow(TimePoint now, double fraction) {
  return in_flight_integral_.value() < fraction * usual_in_flight_ * TimeConstant(now).count();
}

bool LoadStatistics::IsUtilizationBelow(double utilization) const {
  return reports_.value() > 0 && reported_utilization_.value() < utilization * reports_.value();
}

}  // namespace postspread::statistics
