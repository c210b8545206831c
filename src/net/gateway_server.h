// The gateway process: constructs its components, connects them, and handles reload and shutdown signals.
#ifndef POSTSPREAD_NET_GATEWAY_SERVER_H_
#define POSTSPREAD_NET_GATEWAY_SERVER_H_

#include <optional>

#include "config/config.h"
#include "flow/memory_budgets.h"
#include "net/admin_server.h"
#include "net/downstream/client_listener.h"
#include "net/gateway/accept_gate.h"
#include "net/gateway/action_router.h"
#include "net/gateway/admin_service.h"
#include "net/gateway/admission_control.h"
#include "net/gateway/counter_connections.h"
#include "net/gateway/endpoint_registry.h"
#include "net/gateway/graceful_shutdown.h"
#include "net/gateway/idempotency_log.h"
#include "net/gateway/in_flight_requests.h"
#include "net/gateway/peer_datagrams.h"
#include "net/gateway/planner_driver.h"
#include "net/gateway/request_dispatcher.h"
#include "net/gateway/response_streams.h"
#include "net/gateway/service_state.h"
#include "net/loop_monitor.h"
#include "net/process_memory.h"
#include "net/shared_claims.h"
#include "net/upstream/discovery_watch.h"
#include "net/upstream/upstream_pool.h"
#include "operator/operator_file.h"
#include "ops/lifecycle.h"
#include "ops/metrics.h"
#include "planner/planner.h"

namespace postspread::net {

enum class ReloadResult {
  kComplete,
  kNeedsRestart,  // a part of the new configuration takes effect only after a restart
};

class GatewayServer {
 public:
  // Starts to listen. Throws std::runtime_error if a socket can't be opened.
  GatewayServer(event_base* base, const config::Config& config,
                const operator_file::OperatorFile& operator_config = {},
                membership::DisabledDefense disabled = membership::DisabledDefense::kNothing);
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  // Applies a valid configuration. Requests in flight, the endpoint list and all statistics are kept.
  ReloadResult Reload(const config::Config& config, const operator_file::OperatorFile& operator_config = {});
  // Counts a new configuration that was rejected.
  void OnReloadRejected() { ++metrics_.config_reload_errors; }
  // Returns the configuration that is in effect.
  [[nodiscard]] const config::Config& config() const { return config_; }

  // Begins a graceful shutdown, which ends the event loop when it is complete.
  void BeginShutdown() { shutdown_.Start(); }

 private:
  // Exports the metrics of every class from the start, also before its first request.
  void RegisterClassMetrics();

  config::Config config_;
  const operator_file::OperatorFile operator_config_;  // as read at startup
  planner::Planner planner_;
  flow::MemoryBudgets memory_;
  SharedClaims shared_claims_;
  safety::RequestClaims claims_;
  ops::Metrics metrics_;
  ops::Lifecycle lifecycle_;
  LoopMonitor loop_monitor_;
  MemoryTrimmer memory_trimmer_;
  // Many of the following members hold references to members that are declared later. During construction
  // they use only members that are declared earlier. Sockets are opened in the order of declaration.
  PlannerDriver driver_;
  InFlightRequests in_flight_;
  AdmissionControl admission_;
  ResponseStreams streams_;
  RequestDispatcher requests_;
  PeerDatagrams peers_;
  ActionRouter actions_;
  UpstreamPool pool_;
  ClientListener clients_;
  CounterConnections counters_;
  EndpointRegistry endpoints_;
  DiscoveryWatch discovery_;
  ServiceState service_state_;
  IdempotencyLog idempotency_log_;
  AcceptGate accept_gate_;
  GracefulShutdown shutdown_;
  AdminService admin_service_;
  std::optional<AdminServer> admin_server_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_SERVER_H_
