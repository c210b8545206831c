// Delays accepting from an inherited socket until the gateway can serve: until then the process before this
// one, where there is one, accepts from it.
#ifndef POSTSPREAD_NET_GATEWAY_ACCEPT_GATE_H_
#define POSTSPREAD_NET_GATEWAY_ACCEPT_GATE_H_

#include "net/downstream/client_listener.h"
#include "net/gateway/service_state.h"
#include "net/loop.h"

namespace postspread::net {

class AcceptGate {
 public:
  AcceptGate(event_base* base, const ServiceState& service_state, ClientListener& clients);

  // Accepts once the gateway can serve, or has not been able to for too long.
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
