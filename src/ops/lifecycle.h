// This module models the lifecycle of the process. It has no clock and does no I/O.
#ifndef POSTSPREAD_OPS_LIFECYCLE_H_
#define POSTSPREAD_OPS_LIFECYCLE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace postspread::ops {

// Reports whether an operator's call took effect.
enum class AdminResult {
  kDone,
  // The call had no effect, since the process is shutting down.
  kStopping,
};

// Decides whether the process is starting, serving, draining or shutting down, and until when it admits
// commands and sends responses.
class Lifecycle {
 public:
  using Clock = std::chrono::steady_clock;

  enum class State { kStarting, kServing, kDraining, kStopping };

  // The gateway can serve if an upstream is ready, and if discovery and the counter have responded or their
  // startup grace period is over.
  enum class Dependencies { kUnavailable, kAvailable };
  void SetDependencies(Dependencies dependencies) { dependencies_ = dependencies; }

  // Drain and Activate execute an operator's calls. Each call may come at any time and more than once. A
  // drain that begins before the dependencies are available goes on when they are.
  AdminResult Drain(Clock::time_point now);
  AdminResult Activate();
  // Begins the shutdown that SIGTERM requests. It can't be undone, and only the first call has an effect.
  void BeginShutdown(Clock::time_point now);

  [[nodiscard]] State state() const;
  // After BeginShutdown: returns when the last response must be sent, even if its request has no result.
  // The time from SIGTERM until the platform may kill the process is the longest deadline, but at most 3 s,
  // plus 0.7 s.
  [[nodiscard]] Clock::time_point ResponseDeadline(std::chrono::microseconds longest_deadline) const;

  // Returns whether the responses to PING and /v1/readyz report that the gateway is ready.
  [[nodiscard]] bool serving() const { return state() == State::kServing; }
  [[nodiscard]] bool stopping() const { return shutdown_started_at_.has_value(); }
  [[nodiscard]] bool draining() const { return drain_started_at_.has_value(); }
  // Returns whether a request that is complete at `now` is admitted. Late in a drain none is admitted, since
  // no request may be younger than 2 s at the end of the drain. At the end of a shutdown none is admitted,
  // since no time is left to respond.
  [[nodiscard]] bool AdmitsRequests(Clock::time_point now, std::chrono::microseconds longest_deadline) const;
  // After BeginShutdown: returns until when a command that has begun to arrive may be completed. This is
  // within the longest deadline, after which the platform may kill the process, and within the 2 s that a
  // client may take to write a command.
  [[nodiscard]] Clock::time_point CommandDeadline(std::chrono::microseconds longest_deadline) const;

 private:
  Dependencies dependencies_ = Dependencies::kUnavailable;
  std::optional<Clock::time_point> drain_started_at_;
  std::optional<Clock::time_point> shutdown_started_at_;
};

std::string_view Name(Lifecycle::State state);

// Defines when a draining gateway closes its connections. The closes are spread over time, so that the
// clients do not all reconnect to other gateways at once. When a connection's time has come, the gateway
// handles the commands that have arrived on it, ignores what its client sends later, and closes it after the
// responses.
struct ConnectionDrainSchedule {
  // The first connection is closed this long after the start of the drain. Before that, the load balancer
  // still routes new clients to this gateway, so clients would reconnect to it.
  std::chrono::milliseconds first{0};
  // From this time on no connection accepts further bytes.
  std::chrono::milliseconds last{0};
  // A command that has begun to arrive must be complete by this time.
  std::chrono::milliseconds command_deadline{0};
  // Returns how long after the start of the drain the connection at `index` of `count` is closed. The index
  // counts the connections from the one that has been unused for the longest time.
  [[nodiscard]] std::chrono::milliseconds CloseDelay(std::size_t index, std::size_t count) const;
};

// Schedules an operator's drain. The load balancer polls every 0.1 s and routes clients to this gateway for
// another 0.2 s. 4 s after the call there must be no idle connection and no request younger than 2 s; the
// schedule meets this with a margin of 0.3 s.
inline constexpr ConnectionDrainSchedule kOperatorDrain{
    std::chrono::milliseconds(320), std::chrono::milliseconds(1'200), std::chrono::milliseconds(1'700)};

// Schedules a shutdown with an inherited listening socket, where the other process accepts new clients at
// once.
inline constexpr ConnectionDrainSchedule kHandOverDrain{
    std::chrono::milliseconds(0), std::chrono::milliseconds(800), std::chrono::milliseconds(2'000)};

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_LIFECYCLE_H_
