// This module executes operators' calls.
#ifndef POSTSPREAD_NET_GATEWAY_ADMIN_SERVICE_H_
#define POSTSPREAD_NET_GATEWAY_ADMIN_SERVICE_H_

#include <string>

#include "flow/memory_budgets.h"
#include "net/downstream/client_listener.h"
#include "net/gateway/in_flight_requests.h"
#include "net/gateway/peer_datagrams.h"
#include "net/gateway/response_streams.h"
#include "net/gateway/service_state.h"
#include "net/upstream/upstream_pool.h"
#include "ops/admin_calls.h"
#include "ops/metrics.h"
#include "planner/planner.h"

namespace postspread::net {

// Executes operators' calls on the parts of the gateway.
class AdminService final : public ops::AdminHandler {
 public:
  struct Collaborators {
    planner::Planner& planner;
    ServiceState& service_state;
    ClientListener& clients;
    const InFlightRequests& in_flight;
    const ResponseStreams& streams;
    const PeerDatagrams& peers;
    const UpstreamPool& pool;
    const flow::MemoryBudgets& memory;
    const ops::Metrics& metrics;
  };
  explicit AdminService(const Collaborators& collaborators) : collaborators_(collaborators) {}

  ops::Readiness CheckReadiness() override;
  std::string Metrics() override;
  std::string Membership() override;
  ops::AdminResult Drain() override;
  ops::AdminResult Activate() override;

 private:
  // Adds what each part of the gateway uses of the memory, and its limit.
  void AddMemory(ops::Gauges& gauges) const;

  Collaborators collaborators_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ADMIN_SERVICE_H_
