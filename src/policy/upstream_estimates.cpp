#include "policy/upstream_estimates.h"

#include <algorithm>

namespace postspread::policy {
namespace {

constexpr double kMaxSamples = 8;  // an upstream's latency is a mean over at most this many responses
// The weight of one response in the latency of its zone, which must follow a change within seconds even when
// responses are few.
constexpr double kZoneWeight = 0.1;
constexpr double kReportWeight = 0.03;  // the weight of one report in the mean over all upstreams
constexpr FloatSeconds kReportLifetime{1};
constexpr FloatSeconds kMinLatencyLifetime{2};
// The lifetime of a latency, as a multiple of the usual time between two responses of one upstream.
constexpr double kLatencyLifetimeGaps = 2;
constexpr FloatSeconds kMinLatency{0.01};
// A utilization of u corresponds to about u / (1 - u) requests in flight. The divisor kFullUtilization - u
// keeps the estimate finite at u = 1.
constexpr double kFullUtilization = 1.1;

}  // namespace

void UpstreamEstimates::RecordReport(Upstream& upstream, const LoadReport& report) {
  if (report.outstanding < 0 && report.utilization < 0) return;
  const double utilization = std::clamp(report.utilization, 0.0, 1.0);
  if (report.utilization >= 0) load_.RecordUtilization(context_.now(), utilization);
  upstream.reports_own_in_flight = report.outstanding >= 0;
  upstream.reported_in_flight =
      upstream.reports_own_in_flight ? report.outstanding : utilization / (kFullUtilization - utilization);
  upstream.reported_at = context_.now();
  usual_reported_in_flight_ += (upstream.reported_in_flight - usual_reported_in_flight_) * kReportWeight;
}

void UpstreamEstimates::RecordLatency(Upstream& upstream, Duration latency) const {
  upstream.samples = std::min(kMaxSamples, FreshSamples(upstream) + 1);
  upstream.latency += (FloatSeconds(latency) - upstream.latency) / upstream.samples;
  upstream.sampled_at = context_.now();
}

void UpstreamEstimates::RecordZoneLatency(const std::string& zone, FloatSeconds latency) {
  Zone& known = zones_[zone];
  known.latency = ZoneLatency(zone);
  known.latency += (latency - known.latency) * (known.sampled_at.count() == 0 ? 1.0 : kZoneWeight);
  known.sampled_at = context_.now();
}

FloatSeconds UpstreamEstimates::Latency(const Upstream& upstream) const {
  const FloatSeconds usual = ZoneLatency(upstream.info.zone);
  const double samples = FreshSamples(upstream);
  return (upstream.latency * samples + usual * kMaxSamples / 2) / (samples + kMaxSamples / 2);
}

FloatSeconds UpstreamEstimates::ZoneLatency(const std::string& zone) const {
  const auto known = zones_.find(zone);
  if (known == zones_.end()) return std::max(kMinLatency, load_.baseline());
  const FloatSeconds slower = std::max(FloatSeconds(0), known->second.latency - load_.baseline());
  return std::max(kMinLatency, known->second.latency - slower * (1 - Freshness(known->second.sampled_at)));
}

double UpstreamEstimates::InFlight(const Upstream& upstream) const {
  // When the report is old or missing, the estimate is the usual load rather than 0.
  const double trust =
      std::max(0.0, 1 - FloatSeconds(context_.now() - upstream.reported_at) / kReportLifetime);
  const double reported = trust * upstream.reported_in_flight + (1 - trust) * usual_reported_in_flight_;
  return upstream.reports_own_in_flight ? std::max<double>(upstream.in_flight, reported)
                                        : upstream.in_flight + reported;
}

double UpstreamEstimates::Freshness(TimePoint sampled_at) const {
  const FloatSeconds gap = statistics::kTrafficTimeConstant *
                           static_cast<double>(upstreams_.available().size()) /
                           std::max(1e-3, load_.recent_responses());
  const FloatSeconds lifetime = std::max(kMinLatencyLifetime, kLatencyLifetimeGaps * gap);
  return std::max(0.0, 1 - FloatSeconds(context_.now() - sampled_at) / lifetime);
}

double UpstreamEstimates::FreshSamples(const Upstream& upstream) const {
  return upstream.samples * Freshness(upstream.sampled_at);
}

}  // namespace postspread::policy
