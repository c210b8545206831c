#include "net/gateway/admin_service.h"

#include "flow/memory_costs.h"
#include "net/gateway/membership_report.h"
#include "net/log.h"
#include "net/process_memory.h"

namespace postspread::net {

ops::Readiness AdminService::CheckReadiness() {
  const bool ready = collaborators_.service_state.RefreshReadiness();
  return {.is_ready = ready, .state = ops::Name(collaborators_.service_state.lifecycle().state())};
}

std::string AdminService::Metrics() {
  const Controller::UpstreamCounts upstreams = collaborators_.planner.Count(Clock::now());
  ops::Gauges gauges{.pending = collaborators_.in_flight.size() + collaborators_.streams.size(),
                     .client_connections = collaborators_.clients.size(),
                     .large_request_bytes = collaborators_.memory.large_requests.used(),
                     .large_requests_waiting = collaborators_.memory.large_requests.waiting(),
                     .resident_bytes = ResidentBytes(),
                     .members = upstreams.total,
                     .members_unavailable = upstreams.avoided};
  AddMemory(gauges);
  if (const membership::Membership* membership = collaborators_.planner.membership()) {
    gauges.membership = CollectMembershipMetrics(*membership, collaborators_.peers);
  }
  return ops::Render(collaborators_.metrics, gauges);
}

void AdminService::AddMemory(ops::Gauges& gauges) const {
  const flow::MemoryBudgets& memory = collaborators_.memory;
  const flow::ResourcePartition& partition = memory.partition;
  const auto add = [&gauges](const char* part, std::size_t used, std::size_t limit) {
    gauges.memory_bytes[part] = used;
    gauges.memory_limit_bytes[part] = limit;
  };
  const std::size_t client = partition.ClientBytes();
  const std::size_t upstream = partition.UpstreamBytes();
  const std::size_t streams = collaborators_.streams.size();
  add("clients", collaborators_.clients.size() * client, partition.client_connections * client);
  add("upstreams", collaborators_.pool.size() * upstream, partition.upstream_connections * upstream);
  add("requests", memory.requests.used(), memory.requests.total());
  add("large_requests", memory.large_requests.used(), memory.large_requests.total());
  add("commands", memory.commands.used(), memory.commands.total());
  add("responses", memory.responses.used(), memory.responses.total());
  add("streams", 2 * streams * partition.StreamWindow(streams), partition.streaming_bytes);
  add("endpoints", gauges.members * flow::kEndpointBytes, partition.endpoint_bytes);
  add("customers", collaborators_.planner.CountCustomers() * flow::kCustomerBytes, partition.customer_bytes);
}

std::string AdminService::Membership() {
  const membership::Membership* membership = collaborators_.planner.membership();
  if (membership == nullptr) return {};
  return MembershipJson(*membership, collaborators_.peers);
}

ops::AdminResult AdminService::Drain() {
  const bool begins = !collaborators_.service_state.lifecycle().draining();
  const ops::AdminResult result = collaborators_.service_state.Drain();
  if (result == ops::AdminResult::kDone && begins) {
    Log("drain started", "by an operator's call");
    collaborators_.clients.StartDraining(ops::kOperatorDrain, ops::CloseReason::kDrained);
  }
  return result;
}

ops::AdminResult AdminService::Activate() {
  const bool ends = collaborators_.service_state.lifecycle().draining();
  const ops::AdminResult result = collaborators_.service_state.Activate();
  if (result == ops::AdminResult::kDone && ends) {
    Log("drain cancelled", "by an operator's call");
    collaborators_.clients.StopDraining();
  }
  return result;
}

}  // namespace postspread::net
