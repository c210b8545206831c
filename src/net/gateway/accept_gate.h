// This module delays accepting from an inherited listening socket.
#ifndef POSTSPREAD_NET_GATEWAY_ACCEPT_GATE_H_
#define POSTSPREAD_NET_GATEWAY_ACCEPT_GATE_H_

#include "net/downstream/client_listener.h"
#include "net/gateway/service_state.h"
#include "net/loop.h"

namespace postspread::net {

// Delays accepting from an inherited socket until the gateway can serve. Until then the predecessor process,
// if there is one, accepts from the socket.
class AcceptGate {
 public:
  AcceptGate(event_base* base, const ServiceState& service_state, ClientListener& clients);

  // Starts accepting as soon as the gateway can serve, or when the maximum delay has passed.
  void Start();
  void Cancel() { timer_.Disarm(); }

 private:
  void Check();

  const ServiceState& service_state_;
  ClientListener& clients_;
  const Clock::time_point started_ = Clock::now();
  Timer timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ACCEPT_GATE_H_
