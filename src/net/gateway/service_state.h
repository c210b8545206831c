// This module derives the lifecycle state of the gateway from the state of its dependencies.
#ifndef POSTSPREAD_NET_GATEWAY_SERVICE_STATE_H_
#define POSTSPREAD_NET_GATEWAY_SERVICE_STATE_H_

#include "net/gateway/counter_connections.h"
#include "net/gateway/endpoint_registry.h"
#include "net/loop.h"
#include "net/upstream/discovery_watch.h"
#include "ops/admin_calls.h"
#include "ops/lifecycle.h"

namespace postspread::net {

// Updates the lifecycle by the state of the dependencies and by operators' calls, and logs each change of the
// lifecycle state once.
class ServiceState {
 public:
  struct Dependencies {
    const EndpointRegistry& endpoints;
    const CounterConnections& counters;
    const DiscoveryWatch& discovery;
  };
  ServiceState(event_base* base, ops::Lifecycle& lifecycle, const Dependencies& dependencies);

  // Returns whether the gateway could serve a request, regardless of operators' calls. An outage of the
  // counter or of discovery must not prevent a gateway that has upstreams from starting, so it waits for them
  // only for a grace period.
  [[nodiscard]] bool CanServe() const;
  // Updates the lifecycle by the state of the dependencies, and returns whether the gateway is serving.
  bool RefreshReadiness();

  ops::AdminResult Drain();
  ops::AdminResult Activate();
  void BeginShutdown();
  [[nodiscard]] const ops::Lifecycle& lifecycle() const { return lifecycle_; }

 private:
  void LogChange();

  ops::Lifecycle& lifecycle_;
  Dependencies dependencies_;
  ops::Lifecycle::State logged_state_ = ops::Lifecycle::State::kStarting;
  bool startup_grace_over_ = false;
  Timer startup_grace_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_SERVICE_STATE_H_
