#include "net/gateway/graceful_shutdown.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/gateway/gateway_setup.h"
#include "net/log.h"

namespace postspread::net {
namespace {

// New connections still arrive for this long after SIGTERM.
constexpr std::chrono::milliseconds kAcceptGrace{500};
constexpr std::chrono::milliseconds kCheckInterval{20};
// Clients get this long to read the last responses.
constexpr std::chrono::milliseconds kResponseReadTime{50};

}  // namespace

GracefulShutdown::GracefulShutdown(event_base* base, ListenSocket listen_socket,
                                   const Collaborators& collaborators)
    : base_(base),
      listen_socket_(listen_socket),
      collaborators_(collaborators),
      timer_(base, [this] { Advance(); }) {}

void GracefulShutdown::Start() {
  if (collaborators_.service_state.lifecycle().stopping()) return;
  collaborators_.service_state.BeginShutdown();
  Log("draining", "shutdown requested");
  collaborators_.driver.Execute(collaborators_.planner.Leave(Clock::now()));
  if (listen_socket_ == ListenSocket::kOwned) return timer_.Arm(kAcceptGrace);
  collaborators_.accept_gate.Cancel();
  collaborators_.clients.CloseInheritedSocket();
  collaborators_.clients.StartDraining(ops::kHandOverDrain, ops::CloseReason::kStopping);
  timer_.Arm(ops::kHandOverDrain.last + kCheckInterval);
}

void GracefulShutdown::Advance() {
  const ops::Lifecycle& lifecycle = collaborators_.service_state.lifecycle();
  const std::chrono::microseconds longest_deadline = LongestDeadline(collaborators_.settings);
  collaborators_.clients.Drain(lifecycle.CommandDeadline(longest_deadline));
  const auto now = Clock::now();
  const Clock::time_point response_deadline = lifecycle.ResponseDeadline(longest_deadline);
  if (now >= response_deadline) collaborators_.requests.FailAllAwaited();
  // The gateway waits for a client that has all its responses only until the platform may kill the process.
  // For a client that is still reading its responses it waits until the platform kills the process.
  const bool timed_out =
      now >= response_deadline + kResponseReadTime && collaborators_.clients.AllResponsesDelivered();
  if (collaborators_.clients.empty() || timed_out) return Finish();
  timer_.Arm(kCheckInterval);
}

void GracefulShutdown::Finish() {
  collaborators_.idempotency_log.LogChanges();
  safety::RuleCounts& rules = collaborators_.metrics.rules;
  const std::size_t awaited = collaborators_.in_flight.Awaited().size();
  for (std::size_t i = 0; i < awaited; ++i) rules.Violated(safety::Rule::kResponseBeforeExit);
  for (std::size_t i = 0; i < safety::kRules; ++i) {
    const std::uint64_t count = rules.violated[i];
    if (count == 0) continue;
    Log("rule violated", std::string(Name(safety::Rule(i))) + ", " + std::to_string(count) + " times");
  }
  event_base_loopbreak(base_);
}

}  // namespace postspread::net
