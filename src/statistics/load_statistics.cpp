#include "statistics/load_statistics.h"

#include <algorithm>
#include <cmath>

namespace postspread::statistics {
namespace {

constexpr double kAnswersInMemory = 10;      // a mean over so many is off by a third
constexpr double kAnswersForConfidence = 5;  // fewer tell nothing of the service time
constexpr double kMinAnswers = 0.5;          // divisor while answers are absent

// Weights of one maintenance round.
constexpr double kBaselineWeightFaster = 0.1;     // a lull shows within a second ...
constexpr double kBaselineWeightSlower = 0.0005;  // ... and is forgotten over minutes
constexpr double kUsualInFlightWeight = 0.01;     // ten seconds of normal condition

constexpr double kNormalOverBaseline = 1.5;      // service times up to this multiple are normal
constexpr double kMaxBaselineOfObjective = 0.2;  // what takes longer was measured in a queue

}  // namespace

void LoadStatistics::OnAttemptStarted(TimePoint now) { Integrate(now, +1); }

void LoadStatistics::OnAttemptEnded(TimePoint now) { Integrate(now, -1); }

void LoadStatistics::RecordAnswer(TimePoint now, double relative_service_time) {
  answered_.Add(relative_service_time);
  recent_answers_.Add(now, 1.0, kTrafficMemory);
}

void LoadStatistics::RecordUtilization(TimePoint now, double utilization) {
  reported_utilization_.Add(now, utilization, kTrafficMemory);
  reports_.Add(now, 1, kTrafficMemory);
}

void LoadStatistics::Integrate(TimePoint now) { Integrate(now, 0); }

void LoadStatistics::Integrate(TimePoint now, int change_in_flight) {
  const FloatSeconds memory = Memory(now);
  const FloatSeconds gap(now - integrated_at_);
  busy_.Decay(now, memory);
  answered_.Decay(now, memory);
  busy_.Add(in_flight_ * memory.count() * (1 - std::exp(-gap / memory)));
  integrated_at_ = now;
  in_flight_ += change_in_flight;
}

FloatSeconds LoadStatistics::Memory(TimePoint now) {
  recent_answers_.Decay(now, kTrafficMemory);
  const FloatSeconds observed = std::min(kTrafficMemory, FloatSeconds(now - start_));
  return std::clamp(kAnswersInMemory * observed / std::max(1e-3, recent_answers_.value()), kMinLoadMemory,
                    kTrafficMemory);
}

FloatSeconds LoadStatistics::ServiceTime(TimePoint now) {
  Integrate(now);
  return FloatSeconds(busy_.value() / std::max(answered_.value(), kMinAnswers));
}

double LoadStatistics::Confidence() const {
  return std::min(1.0, (answered_.value() + in_flight_) / kAnswersForConfidence);
}

void LoadStatistics::LearnBaseline(TimePoint now, ServiceCondition condition,
                                   FloatSeconds longest_objective) {
  if (answered_.value() <= kAnswersForConfidence) return;
  const FloatSeconds service_time(busy_.value() / answered_.value());
  if (baseline_.count() <= 0) baseline_ = service_time;
  if (condition == ServiceCondition::kNormal && service_time < kNormalOverBaseline * baseline_) {
    usual_in_flight_ += (busy_.value() / Memory(now).count() - usual_in_flight_) * kUsualInFlightWeight;
  }
  baseline_ +=
      (service_time - baseline_) * (service_time < baseline_ ? kBaselineWeightFaster : kBaselineWeightSlower);
  baseline_ = std::min(baseline_, kMaxBaselineOfObjective * longest_objective);
}

bool LoadStatistics::IsInFlightBelow(TimePoint now, double fraction) {
  return busy_.value() < fraction * usual_in_flight_ * Memory(now).count();
}

bool LoadStatistics::IsUtilizationBelow(double utilization) const {
  return reports_.value() > 0 && reported_utilization_.value() < utilization * reports_.value();
}

}  // namespace postspread::statistics
