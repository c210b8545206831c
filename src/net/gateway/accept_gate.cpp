#include "net/gateway/accept_gate.h"

#include <chrono>

namespace postspread::net {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{20};
// After this delay the gateway accepts even if it can't serve.
constexpr std::chrono::milliseconds kMaxDelay{3'000};

}  // namespace

AcceptGate::AcceptGate(event_base* base, const ServiceState& service_state, ClientListener& clients)
    : service_state_(service_state), clients_(clients), timer_(base, [this] { Check(); }) {}

void AcceptGate::Start() { timer_.Arm(kCheckInterval); }

void AcceptGate::Check() {
  if (!service_state_.CanServe() && Clock::now() - started_ < kMaxDelay) return timer_.Arm(kCheckInterval);
  clients_.StartAccepting();
}

}  // namespace postspread::net
