// The upstreams that discovery's endpoint list names: hands each update to the pool and the planner.
#ifndef POSTSPREAD_NET_GATEWAY_ENDPOINT_REGISTRY_H_
#define POSTSPREAD_NET_GATEWAY_ENDPOINT_REGISTRY_H_

#include <cstddef>
#include <string>
#include <unordered_set>

#include "config/endpoint_list.h"
#include "net/gateway/planner_driver.h"
#include "net/upstream/upstream_pool.h"

namespace postspread::net {

class EndpointRegistry {
 public:
  // `remembered`: the list that the configuration brings from an earlier run.
  EndpointRegistry(UpstreamPool& pool, PlannerDriver& driver, const config::EndpointList& remembered);

  // An update from discovery. The planner learns of it before it learns of the attempts that it ends.
  void Update(const config::EndpointList& endpoint_list);
  [[nodiscard]] std::size_t ready_upstreams() const { return ready_.size(); }

 private:
  void Apply(const config::EndpointList& endpoint_list, EndpointUpdateKind kind);

  UpstreamPool& pool_;
  PlannerDriver& driver_;
  std::unordered_set<std::string> ready_;  // names of upstreams
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ENDPOINT_REGISTRY_H_
