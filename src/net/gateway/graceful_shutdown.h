// This module shuts the gateway down, from SIGTERM to the end of the event loop.
#ifndef POSTSPREAD_NET_GATEWAY_GRACEFUL_SHUTDOWN_H_
#define POSTSPREAD_NET_GATEWAY_GRACEFUL_SHUTDOWN_H_

#include "config/settings.h"
#include "net/downstream/client_listener.h"
#include "net/gateway/accept_gate.h"
#include "net/gateway/idempotency_log.h"
#include "net/gateway/in_flight_requests.h"
#include "net/gateway/planner_driver.h"
#include "net/gateway/request_dispatcher.h"
#include "net/gateway/service_state.h"
#include "net/loop.h"
#include "ops/metrics.h"
#include "planner/planner.h"

namespace postspread::net {

// At first the gateway goes on serving, since new connections still arrive. Then it stops accepting, and
// closes each client connection once its requests have their responses. Shortly before the platform may kill
// the process, requests that are still in flight fail.
class GracefulShutdown {
 public:
  enum class ListenSocket {
    kOwned,
    kInherited,  // Other processes accept from the socket, so this process stops accepting at once.
  };
  struct Collaborators {
    const Settings& settings;
    planner::Planner& planner;
    PlannerDriver& driver;
    ServiceState& service_state;
    ClientListener& clients;
    RequestDispatcher& requests;
    const InFlightRequests& in_flight;
    AcceptGate& accept_gate;
    IdempotencyLog& idempotency_log;
    ops::Metrics& metrics;
  };
  GracefulShutdown(event_base* base, ListenSocket listen_socket, const Collaborators& collaborators);

  // Begins the shutdown. Does nothing if it has begun.
  void Start();

 private:
  void Advance();
  void Finish();

  event_base* base_;
  ListenSocket listen_socket_;
  Collaborators collaborators_;
  Timer timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_GRACEFUL_SHUTDOWN_H_
