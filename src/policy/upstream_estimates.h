// Estimates the latency and load of each upstream from responses and load reports. The estimates fade with
// age. Otherwise an upstream that was slow once would receive no attempts that could show that it has
// recovered.
#ifndef POSTSPREAD_POLICY_UPSTREAM_ESTIMATES_H_
#define POSTSPREAD_POLICY_UPSTREAM_ESTIMATES_H_

#include <map>
#include <string>

#include "policy/decision_context.h"
#include "policy/upstream.h"
#include "policy/upstream_set.h"
#include "statistics/float_seconds.h"
#include "statistics/load_statistics.h"

namespace postspread::policy {

class UpstreamEstimates {
 public:
  UpstreamEstimates(const DecisionContext& context, const UpstreamSet& upstreams,
                    statistics::LoadStatistics& load)
      : context_(context), upstreams_(upstreams), load_(load) {}

  void RecordReport(Upstream& upstream, const LoadReport& report);
  void RecordLatency(Upstream& upstream, Duration latency) const;
  // Records that an attempt in the zone took `latency`. For a failure the caller passes the maximum latency
  // objective.
  void RecordZoneLatency(const std::string& zone, FloatSeconds latency);

  // Returns the expected latency of an upstream. With few samples it tends to the latency of its zone.
  [[nodiscard]] FloatSeconds Latency(const Upstream& upstream) const;
  [[nodiscard]] FloatSeconds ZoneLatency(const std::string& zone) const;
  // Returns the expected number of requests in flight at an upstream, including those of other gateways.
  [[nodiscard]] double InFlight(const Upstream& upstream) const;

 private:
  struct Zone {
    FloatSeconds latency{0};
    TimePoint sampled_at{0};
  };

  // Returns the fraction of its weight that a latency of this age retains.
  [[nodiscard]] double Freshness(TimePoint sampled_at) const;
  // Returns the number of samples that the upstream's latency still stands for.
  [[nodiscard]] double FreshSamples(const Upstream& upstream) const;

  const DecisionContext& context_;
  const UpstreamSet& upstreams_;
  statistics::LoadStatistics& load_;
  std::map<std::string, Zone> zones_;
  double usual_reported_in_flight_ = 0.0;  // the mean over the reports of all upstreams
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_ESTIMATES_H_
