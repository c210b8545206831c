// This module applies discovery's endpoint list.
#ifndef POSTSPREAD_NET_GATEWAY_ENDPOINT_REGISTRY_H_
#define POSTSPREAD_NET_GATEWAY_ENDPOINT_REGISTRY_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "config/endpoint_list.h"
#include "discovery/address_owners.h"
#include "net/gateway/planner_driver.h"
#include "net/upstream/upstream_pool.h"

namespace postspread::net {

// Passes each update of the endpoint list to the upstream pool and the planner, and records which upstreams
// are ready.
class EndpointRegistry {
 public:
  // `persisted` is the endpoint list of an earlier run, which the configuration contains. Upstreams beyond
  // `max_endpoints` are ignored.
  EndpointRegistry(UpstreamPool& pool, PlannerDriver& driver, const config::EndpointList& persisted,
                   std::size_t max_endpoints);

  // Applies an update from discovery. The planner receives the update before the reports of the attempts that
  // the update ends.
  void Update(const config::EndpointList& endpoint_list);
  [[nodiscard]] std::size_t ready_upstreams() const { return ready_upstreams_; }

 private:
  void Apply(const config::EndpointList& received, EndpointUpdateKind kind);
  // Adds the entry to `accepted`, as removed if its address belongs to another upstream.
  void Accept(const config::Endpoint& endpoint, config::EndpointList& accepted);
  bool Record(const Upstream& upstream);

  UpstreamPool& pool_;
  PlannerDriver& driver_;
  const std::size_t max_endpoints_;
  std::unordered_map<std::string, UpstreamState> states_;  // by name
  discovery::AddressOwners addresses_;
  std::size_t ready_upstreams_ = 0;
  std::size_t ignored_ = 0;  // entries of the present update, for lack of memory
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ENDPOINT_REGISTRY_H_
