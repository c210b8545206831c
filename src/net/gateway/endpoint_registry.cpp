#include "net/gateway/endpoint_registry.h"

#include <utility>

namespace postspread::net {

EndpointRegistry::EndpointRegistry(UpstreamPool& pool, PlannerDriver& driver,
                                   const config::EndpointList& persisted)
    : pool_(pool), driver_(driver) {
  Apply(persisted, EndpointUpdateKind::kPersisted);
}

void EndpointRegistry::Update(const config::EndpointList& endpoint_list) {
  Apply(endpoint_list,
        endpoint_list.is_snapshot ? EndpointUpdateKind::kSnapshot : EndpointUpdateKind::kChanges);
}

void EndpointRegistry::Apply(const config::EndpointList& endpoint_list, EndpointUpdateKind kind) {
  planner::EndpointListReport report{.kind = kind, .index = endpoint_list.index, .upstreams = {}};
  if (endpoint_list.is_snapshot) ready_.clear();
  for (const config::Endpoint& endpoint : endpoint_list.entries) {
    if (endpoint.upstream.state == UpstreamState::kReady) {
      ready_.insert(endpoint.upstream.name);
    } else {
      ready_.erase(endpoint.upstream.name);
    }
    report.upstreams.push_back(endpoint.upstream);
  }
  driver_.ReportBefore(std::move(report), [&] { pool_.Apply(endpoint_list); });
}

}  // namespace postspread::net
