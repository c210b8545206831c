// Estimates of each server's latency and load, from answers and load reports. They fade with age, so that a
// server that was slow once, and so gets nothing that could show otherwise, is tried again.
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
  // An attempt in the zone took `latency`; a failure counts as the longest latency objective.
  void RecordZoneLatency(const std::string& zone, FloatSeconds latency);

  // The expected latency of a server, its zone's where little is known of its own.
  [[nodiscard]] FloatSeconds Latency(const Upstream& upstream) const;
  [[nodiscard]] FloatSeconds ZoneLatency(const std::string& zone) const;
  // The expected number of requests in flight at a server, those of other gateways included.
  [[nodiscard]] double InFlight(const Upstream& upstream) const;

 private:
  struct Zone {
    FloatSeconds latency{0};
    TimePoint sampled_at{0};
  };

  // The fraction of a latency's weight that its age leaves.
  [[nodiscard]] double Freshness(TimePoint sampled_at) const;
  // How many answers a server's own latency still stands for.
  [[nodiscard]] double FreshSamples(const Upstream& upstream) const;

  const DecisionContext& context_;
  const UpstreamSet& upstreams_;
  statistics::LoadStatistics& load_;
  std::map<std::string, Zone> zones_;
  double usual_reported_in_flight_ = 0.0;  // mean over the reports of all servers
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_ESTIMATES_H_
