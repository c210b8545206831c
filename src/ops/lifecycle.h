// The state of the process: whether it serves, drains or stops, and by when. No clock, no I/O.
#ifndef POSTSPREAD_OPS_LIFECYCLE_H_
#define POSTSPREAD_OPS_LIFECYCLE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace postspread::ops {

// Whether an operator's call took effect.
enum class AdminResult {
  kDone,
  kStopping,  // too late: the process is stopping
};

class Lifecycle {
 public:
  using Clock = std::chrono::steady_clock;

  enum class State { kStarting, kServing, kDraining, kStopping };

  // What serving depends on: upstreams that are ready, and discovery and the counter where they have
  // responded or have had the time to do so.
  enum class Dependencies { kUnavailable, kAvailable };
  void SetDependencies(Dependencies dependencies) { dependencies_ = dependencies; }

  // The operators' calls. Each may come at any time and again: a drain that comes before the dependencies are
  // available holds once they are.
  AdminResult Drain(Clock::time_point now);
  AdminResult Activate();
  // SIGTERM. There is no way back, and only the first call counts.
  void Stop(Clock::time_point now);

  [[nodiscard]] State state() const;
  // After Stop: when the last response has to be sent, whatever its request still waits for. The platform may
  // kill the process the longest deadline, or 3 s where that is longer, and 0.7 s after SIGTERM.
  [[nodiscard]] Clock::time_point AnswerBy(std::chrono::microseconds longest_deadline) const;

  // As PING and readyz say it.
  [[nodiscard]] bool serves() const { return state() == State::kServing; }
  [[nodiscard]] bool stopping() const { return stopped_at_.has_value(); }
  [[nodiscard]] bool draining() const { return drained_at_.has_value(); }
  // Whether a request that is complete at this moment is admitted. Late in a drain it is not, as none may be
  // younger than 2 s at its end; at the end of a shutdown, as no time is left to respond.
  [[nodiscard]] bool TakesRequests(Clock::time_point now, std::chrono::microseconds longest_deadline) const;
  // After Stop: until when a command that has begun to arrive may be completed. Within the longest deadline,
  // after which the platform may kill the process, and within the 2 s that a client may take to write it.
  [[nodiscard]] Clock::time_point CommandsUntil(std::chrono::microseconds longest_deadline) const;

 private:
  Dependencies dependencies_ = Dependencies::kUnavailable;
  std::optional<Clock::time_point> drained_at_;
  std::optional<Clock::time_point> stopped_at_;
};

std::string_view Name(Lifecycle::State state);

// When the connections of a draining gateway are closed: spread over time, so that their clients do not all
// reconnect elsewhere at once. At its time a connection takes what has arrived and no more, whatever its
// client goes on to send, and is closed once that has its responses.
struct ConnectionDrainSchedule {
  std::chrono::milliseconds first{0};  // before it new clients are still routed here, and would come back
  std::chrono::milliseconds last{0};   // by then each connection takes nothing more
  std::chrono::milliseconds commands_until{0};  // by then a command that has begun must be complete
  // For the connection at `index` of `count`, the longest unused first.
  [[nodiscard]] std::chrono::milliseconds After(std::size_t index, std::size_t count) const;
};

// By an operator's drain: the load balancer polls every 0.1 s and routes clients here for 0.2 s more; 4 s
// after the call there must be no idle connection and no request younger than 2 s, with 0.3 s to spare.
inline constexpr ConnectionDrainSchedule kOperatorDrain{
    std::chrono::milliseconds(320), std::chrono::milliseconds(1'200), std::chrono::milliseconds(1'700)};

// After Stop with an inherited socket: new clients go to the other process at once.
inline constexpr ConnectionDrainSchedule kHandOverDrain{
    std::chrono::milliseconds(0), std::chrono::milliseconds(800), std::chrono::milliseconds(2'000)};

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_LIFECYCLE_H_
