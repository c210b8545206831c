// Whether the gateway serves: its lifecycle, by the state of what it depends on.
#ifndef POSTSPREAD_NET_GATEWAY_SERVICE_STATE_H_
#define POSTSPREAD_NET_GATEWAY_SERVICE_STATE_H_

#include "net/gateway/counter_connections.h"
#include "net/gateway/endpoint_registry.h"
#include "net/loop.h"
#include "net/upstream/discovery_watch.h"
#include "ops/admin_calls.h"
#include "ops/lifecycle.h"

namespace postspread::net {

// Logs each change of the lifecycle's state once.
class ServiceState {
 public:
  struct Dependencies {
    const EndpointRegistry& endpoints;
    const CounterConnections& counters;
    const DiscoveryWatch& discovery;
  };
  ServiceState(event_base* base, ops::Lifecycle& lifecycle, const Dependencies& dependencies);

  // Whether a request could be served, whatever the operators' calls say. An outage of the counter or of
  // discovery keeps no gateway that has upstreams from starting: both have a grace period and no more.
  [[nodiscard]] bool CanServe() const;
  // Brings the lifecycle up to date; whether it is serving now.
  bool Ready();

  ops::AdminResult Drain();
  ops::AdminResult Activate();
  void Stop();
  [[nodiscard]] const ops::Lifecycle& lifecycle() const { return lifecycle_; }

 private:
  void LogChange();

  ops::Lifecycle& lifecycle_;
  Dependencies dependencies_;
  ops::Lifecycle::State logged_state_ = ops::Lifecycle::State::kStarting;
  bool grace_is_over_ = false;
  Timer grace_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_SERVICE_STATE_H_
