// When discovery is polled, and when a call to it times out. No clock, no I/O: events are handed in.
#ifndef POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_
#define POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace postspread::discovery {

// A change has to be in force kChangeDeadline after discovery had it and was reachable, whatever happened to
// the calls. So each sequence of events from a change to the answer that brings it has to be shorter. The
// longest ones have two faults in a row; of more the last two count:
//   - the open watch has fallen silent, and the next call is refused:
//       kWait + kOverdue, kRedial; dial, kShortWait + kOverdue; backoff; dial, kOverdue
//   - two calls are refused:
//       backoff; dial, kShortWait + kOverdue; backoff; dial, kOverdue
// A dial takes Dial() at most; a call times out kOverdue after its wait; a call that is made after the change
// is answered at once. The backoffs are bounded by what these sequences leave of kChangeDeadline - kSpare.
class DiscoverySchedule {
 public:
  static constexpr std::chrono::milliseconds kChangeDeadline{6'000};
  static constexpr std::chrono::milliseconds kSpare{500};  // of it, for the event loop and the agent
  // A watch's wait for a change. A short one detects sooner that the agent has fallen silent.
  static constexpr std::chrono::milliseconds kWait{2'000};
  static constexpr std::chrono::milliseconds kShortWait{500};  // of the first call after a fault
  static constexpr std::chrono::milliseconds kOverdue{500};    // beyond the wait: the call has timed out
  // A watch continues only if it is resumed within 200 ms.
  static constexpr std::chrono::milliseconds kRedial{100};
  // The agent is on this machine: a dial that takes longer fails.
  static constexpr std::chrono::milliseconds kMaxDial{300};

  // `dial_timeout`: the configured one. `group_size`: gateways that poll. `seed`: of the jitter.
  DiscoverySchedule(std::chrono::microseconds dial_timeout, int group_size, std::uint64_t seed);

  // The timeout of a dial.
  [[nodiscard]] std::chrono::microseconds Dial() const { return dial_timeout_; }
  // How long the next call may wait for a change.
  [[nodiscard]] std::chrono::milliseconds Wait() const { return after_fault_ ? kShortWait : kWait; }

  void Answered() {
    after_fault_ = false;
    refusals_ = 0;
  }
  // A connection or call failed or timed out. Returns the time until the next dial.
  std::chrono::milliseconds Lost() {
    after_fault_ = true;
    return kRedial;
  }
  // Discovery refused the call, as it does when overloaded. Returns a backoff with jitter, long enough that a
  // group that was refused makes some five calls a second or, where the bound does not allow that, as few as
  // it allows: each call that is refused keeps discovery overloaded.
  std::chrono::milliseconds Refused();

 private:
  // The longest backoff after the refusals so far.
  [[nodiscard]] std::chrono::milliseconds MaxBackoff() const;

  std::chrono::microseconds dial_timeout_;
  std::chrono::milliseconds mean_backoff_;  // without the bound
  bool after_fault_ = false;                // the last call or dial failed
  int refusals_ = 0;                        // in a row
  std::minstd_rand random_;
};

}  // namespace postspread::discovery

#endif  // POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_
