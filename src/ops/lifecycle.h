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

  // Whether requests could be served, were it not for the operators: next hops are there, and discovery and
  // the counter have answered or had their time to do so.
  void SetAble(bool able) { able_ = able; }

  // The operators' calls. Each may come at any time and again: a drain before the process is able holds once
  // it is. False where the process is stopping: nothing can be taken back then.
  bool Drain();
  bool Activate();
  // SIGTERM. Once; there is no way back.
  void Stop(Clock::time_point now);

  State state() const;
  // After Stop: when the last answer has to be out, whatever its request still waits for. The platform may
  // kill from the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM on.
  Clock::time_point AnswerBy(std::chrono::microseconds longest_deadline) const;

  // What PING and readyz say.
  bool serves() const { return state() == State::kServing; }
  bool stopping() const { return stopped_.has_value(); }
  bool draining() const { return drained_; }
  // After Stop: until when a command that has begun to come may end. By the longest deadline, which is what
  // the platform waits for before it kills, and by 2 s, which is what a client may take.
  Clock::time_point CommandsUntil(std::chrono::microseconds longest_deadline) const;

 private:
  bool able_ = false;
  bool drained_ = false;
  std::optional<Clock::time_point> stopped_;
};

std::string_view Name(Lifecycle::State state);

// When the kept connections of a gatekeeper that leaves are closed: between requests, spread so that their
// clients do not all dial others at once.
struct Leaving {
  std::chrono::milliseconds first{
      0};  // until then new clients may still be sent here, and these would come back
  std::chrono::milliseconds last{0};  // by then each has been told, or is as soon as it is owed nothing
  // For the one at `place` of `count`, the longest unused first.
  std::chrono::milliseconds After(std::size_t place, std::size_t count) const;
};

// By an operator's drain: the front asks every 0.1 s and sends on for 0.2 s more; 4 s after the call there
// must be no idle connection and no request younger than 2 s.
inline constexpr Leaving kDrainLeaving{std::chrono::milliseconds(320), std::chrono::milliseconds(1'500)};

// With an inherited socket, after Stop: new clients go to the other process from the first moment.
inline constexpr Leaving kStopLeaving{std::chrono::milliseconds(0), std::chrono::milliseconds(800)};

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_LIFECYCLE_H_
