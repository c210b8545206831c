// The one state of the process: whether it serves, and when kept connections are to go. No clock, no I/O.
#ifndef POSTSPREAD_OPS_LIFECYCLE_H_
#define POSTSPREAD_OPS_LIFECYCLE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace postspread::ops {

class Lifecycle {
 public:
  using Clock = std::chrono::steady_clock;

  enum class State { kStarting, kServing, kDraining, kStopping };

  // Whether requests could be served, were it not for the operators: upstreams are there, and discovery and
  // the counter have answered or had their time to do so.
  void SetAble(bool able) { able_ = able; }

  // The operators' calls. Each may come at any time and again: a drain before the process is able holds once
  // it is. False where the process is stopping: nothing can be taken back then.
  bool Drain(Clock::time_point now);
  bool Activate();
  // SIGTERM. Once; there is no way back.
  void Stop(Clock::time_point now);

  [[nodiscard]] State state() const;
  // After Stop: when the last answer has to be out, whatever its request still waits for. The platform may
  // kill from the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM on.
  [[nodiscard]] Clock::time_point AnswerBy(std::chrono::microseconds longest_deadline) const;

  // What PING and readyz say.
  [[nodiscard]] bool serves() const { return state() == State::kServing; }
  [[nodiscard]] bool stopping() const { return stopped_.has_value(); }
  [[nodiscard]] bool draining() const { return drained_.has_value(); }
  // Whether a request that has come whole at this moment is taken on. Late in a drain it is refused, for none
  // may be younger than 2 s at its end; at the end of a stop, for no time is left to answer it.
  [[nodiscard]] bool TakesRequests(Clock::time_point now, std::chrono::microseconds longest_deadline) const;
  // After Stop: until when a command that has begun to come may end. By the longest deadline, which is what
  // the platform waits for before it kills, and by 2 s, which is what a client may take.
  [[nodiscard]] Clock::time_point CommandsUntil(std::chrono::microseconds longest_deadline) const;

 private:
  bool able_ = false;
  std::optional<Clock::time_point> drained_;
  std::optional<Clock::time_point> stopped_;
};

std::string_view Name(Lifecycle::State state);

// When the kept connections of a gateway that drains are closed: spread, so that their clients do not all
// dial others at once. At its time a connection takes what has come by then and no more, whatever its client
// goes on to send, and is closed once that is answered.
struct ConnectionDrainSchedule {
  std::chrono::milliseconds first{
      0};  // until then new clients may still be sent here, and these would come back
  std::chrono::milliseconds last{0};            // by then each takes nothing more
  std::chrono::milliseconds commands_until{0};  // by then a command that has begun to come must be whole
  // For the one at `place` of `count`, the longest unused first.
  [[nodiscard]] std::chrono::milliseconds After(std::size_t index, std::size_t count) const;
};

// By an operator's drain: the front asks every 0.1 s and sends on for 0.2 s more; 4 s after the call there
// must be no idle connection and no request younger than 2 s. 0.3 s are left for a call that is read late.
inline constexpr ConnectionDrainSchedule kOperatorDrain{
    std::chrono::milliseconds(320), std::chrono::milliseconds(1'200), std::chrono::milliseconds(1'700)};

// With an inherited socket, after Stop: new clients go to the other process from the first moment.
inline constexpr ConnectionDrainSchedule kHandOverDrain{
    std::chrono::milliseconds(0), std::chrono::milliseconds(800), std::chrono::milliseconds(2'000)};

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_LIFECYCLE_H_
