#include "net/gateway/endpoint_registry.h"

#include <string>
#include <utility>

#include "net/log.h"

namespace postspread::net {

EndpointRegistry::EndpointRegistry(UpstreamPool& pool, PlannerDriver& driver,
                                   const config::EndpointList& persisted, std::size_t max_endpoints)
    : pool_(pool), driver_(driver), max_endpoints_(max_endpoints) {
  Apply(persisted, EndpointUpdateKind::kPersisted);
}

void EndpointRegistry::Update(const config::EndpointList& endpoint_list) {
  Apply(endpoint_list,
        endpoint_list.is_snapshot ? EndpointUpdateKind::kSnapshot : EndpointUpdateKind::kChanges);
}

void EndpointRegistry::Apply(const config::EndpointList& received, EndpointUpdateKind kind) {
  if (received.is_snapshot) {
    states_.clear();
    addresses_.Clear();
    ready_upstreams_ = 0;
  }
  config::EndpointList accepted{.index = received.index, .is_snapshot = received.is_snapshot, .entries = {}};
  ignored_ = 0;
  for (const config::Endpoint& endpoint : received.entries) Accept(endpoint, accepted);
  if (ignored_ > 0) {
    Log("upstreams ignored",
        std::to_string(ignored_) + " exceed the maximum of " + std::to_string(max_endpoints_));
  }
  planner::EndpointListReport report{.kind = kind, .index = accepted.index, .upstreams = {}};
  for (const config::Endpoint& endpoint : accepted.entries) report.upstreams.push_back(endpoint.upstream);
  driver_.ReportBefore(std::move(report), [&] { pool_.Apply(accepted); });
}

void EndpointRegistry::Accept(const config::Endpoint& endpoint, config::EndpointList& accepted) {
  config::Endpoint entry = endpoint;
  Upstream& upstream = entry.upstream;
  if (upstream.state == UpstreamState::kRemoved) {
    addresses_.OnRemoved(upstream.name);
  } else {
    const auto decision = addresses_.OnAdded(
        {.name = upstream.name, .address = entry.address.text(), .started = upstream.started});
    if (!decision.is_owner) upstream.state = UpstreamState::kRemoved;
    if (decision.displaced) {
      Log("upstream displaced", *decision.displaced + " by " + upstream.name + " at " + entry.address.text());
      config::Endpoint displaced;
      displaced.upstream.name = *decision.displaced;
      displaced.upstream.state = UpstreamState::kRemoved;
      Record(displaced.upstream);
      accepted.entries.push_back(std::move(displaced));
    }
  }
  if (Record(upstream)) {
    accepted.entries.push_back(std::move(entry));
  } else {
    ++ignored_;
  }
}

// Returns false if there is no memory for the upstream.
bool EndpointRegistry::Record(const Upstream& upstream) {
  const auto known = states_.find(upstream.name);
  const bool is_new = known == states_.end();
  if (is_new && upstream.state != UpstreamState::kRemoved && states_.size() >= max_endpoints_) return false;
  if (!is_new) {
    ready_upstreams_ -= known->second == UpstreamState::kReady ? 1 : 0;
    states_.erase(known);
  }
  if (upstream.state == UpstreamState::kRemoved) return true;
  states_.emplace(upstream.name, upstream.state);
  ready_upstreams_ += upstream.state == UpstreamState::kReady ? 1 : 0;
  return true;
}

}  // namespace postspread::net
