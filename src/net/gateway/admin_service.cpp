#include "net/gateway/admin_service.h"

#include "net/gateway/membership_report.h"
#include "net/log.h"

namespace postspread::net {

ops::Readiness AdminService::CheckReadiness() {
  const bool ready = collaborators_.service_state.RefreshReadiness();
  return {.is_ready = ready, .state = ops::Name(collaborators_.service_state.lifecycle().state())};
}

std::string AdminService::Metrics() {
  const Controller::UpstreamCounts upstreams = collaborators_.planner.Count(Clock::now());
  ops::Gauges gauges{.pending = collaborators_.in_flight.size() + collaborators_.streams.size(),
                     .client_connections = collaborators_.clients.size(),
                     .large_request_bytes = collaborators_.large_requests.used(),
                     .large_requests_waiting = collaborators_.large_requests.waiting(),
                     .members = upstreams.total,
                     .members_unavailable = upstreams.avoided};
  if (const membership::Membership* membership = collaborators_.planner.membership()) {
    gauges.membership = CollectMembershipMetrics(*membership, collaborators_.peers);
  }
  return ops::Render(collaborators_.metrics, gauges);
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
