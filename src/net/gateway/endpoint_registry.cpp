#include "net/gateway/endpoint_registry.h"

#include <utility>

namespace postspread::net {

EndpointRegistry::EndpointRegistry(UpstreamPool& pool, PlannerDriver& driver,
                                   const config::EndpointList& remembered)
    : pool_(pool), driver_(driver) {
  Apply(remembered, planner::EndpointUpdateKind::kRemembered);
}

void EndpointRegistry::Update(const config::EndpointList& endpoint_list) {
  Apply(endpoint_list,
        endpoint_list.full ? planner::EndpointUpdateKind::kSnapshot : planner::EndpointUpdateKind::kChanges);
}

void EndpointRegistry::Apply(const config::EndpointList& endpoint_list, planner::EndpointUpdateKind kind) {
  planner::EndpointListReport report{.scope = kind, .index = endpoint_list.index, .upstreams = {}};
  if (endpoint_list.full) ready_.clear();
  for (const config::Endpoint& endpoint : endpoint_list.entries) {
    if (endpoint.upstream.state == planner::UpstreamState::kReady) {
      ready_.insert(endpoint.upstream.name);
    } else {
      ready_.erase(endpoint.upstream.name);
    }
    report.upstreams.push_back(endpoint.upstream);
  }
  driver_.ReportBefore(std::move(report), [&] { pool_.Apply(endpoint_list); });
}

}  // namespace postspread::net
