#include "net/gateway/service_state.h"

#include <chrono>
#include <string>

#include "net/log.h"

namespace postspread::net {
namespace {

// The gateway waits at most this long for discovery and the counter to respond.
constexpr std::chrono::milliseconds kStartupGrace{1'000};

}  // namespace

ServiceState::ServiceState(event_base* base, ops::Lifecycle& lifecycle, const Dependencies& dependencies)
    : lifecycle_(lifecycle),
      dependencies_(dependencies),
      startup_grace_(base, [this] { startup_grace_over_ = true; }) {
  startup_grace_.Arm(kStartupGrace);
}

bool ServiceState::CanServe() const {
  const bool connected = dependencies_.counters.IsConnected() && dependencies_.discovery.has_list();
  return dependencies_.endpoints.ready_upstreams() > 0 && (connected || startup_grace_over_);
}

bool ServiceState::RefreshReadiness() {
  using Dependencies = ops::Lifecycle::Dependencies;
  lifecycle_.SetDependencies(CanServe() ? Dependencies::kAvailable : Dependencies::kUnavailable);
  LogChange();
  return lifecycle_.serving();
}

ops::AdminResult ServiceState::Drain() {
  const ops::AdminResult result = lifecycle_.Drain(Clock::now());
  if (result == ops::AdminResult::kDone) LogChange();
  return result;
}

ops::AdminResult ServiceState::Activate() {
  const ops::AdminResult result = lifecycle_.Activate();
  if (result == ops::AdminResult::kDone) LogChange();
  return result;
}

void ServiceState::BeginShutdown() {
  lifecycle_.BeginShutdown(Clock::now());
  LogChange();
}

void ServiceState::LogChange() {
  const ops::Lifecycle::State state = lifecycle_.state();
  if (state == logged_state_) return;
  Log("state", std::string(Name(logged_state_)) + " to " + std::string(Name(state)));
  logged_state_ = state;
}

}  // namespace postspread::net
