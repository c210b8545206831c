// Decides when discovery is polled and when a call to it times out. This module has no clock and no I/O: the
// caller reports events.
#ifndef POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_
#define POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace postspread::discovery {

// A change has to take effect within kChangeDeadline after it is available at a reachable discovery service,
// whatever happened to the calls. Each sequence of events from a change to the response that contains it has
// to be shorter. The longest sequences have two consecutive faults; of more faults, only the last two matter:
//   - the open watch receives nothing more, and the next call is refused:
//       kWatchWait + kTimeoutMargin, kRedialDelay; dial, kShortWatchWait + kTimeoutMargin; backoff; dial,
//       kTimeoutMargin
//   - two calls are refused:
//       backoff; dial, kShortWatchWait + kTimeoutMargin; backoff; dial, kTimeoutMargin
// A dial takes at most DialTimeout(). A call times out kTimeoutMargin after its wait. A call that is made
// after the change receives its response at once. The backoffs are bounded by what these sequences leave of
// kChangeDeadline - kProcessingReserve.
class DiscoverySchedule {
 public:
  static constexpr std::chrono::milliseconds kChangeDeadline{6'000};
  // The part of the deadline that is reserved for the event loop and the agent.
  static constexpr std::chrono::milliseconds kProcessingReserve{500};
  // How long a watch waits for a change. A shorter wait detects an unresponsive agent sooner.
  static constexpr std::chrono::milliseconds kWatchWait{2'000};
  static constexpr std::chrono::milliseconds kShortWatchWait{500};  // wait of the first call after a fault
  // Time after the wait until a call times out.
  static constexpr std::chrono::milliseconds kTimeoutMargin{500};
  // Delay until the next dial after a lost call: a watch continues only if it is resumed within 200 ms.
  static constexpr std::chrono::milliseconds kRedialDelay{100};
  // The discovery agent runs on the same machine, so a dial that takes longer has failed.
  static constexpr std::chrono::milliseconds kMaxDialTimeout{300};

  // `dial_timeout` is the configured one, `group_size` is the number of gateways that poll, and `seed`
  // determines the jitter.
  DiscoverySchedule(std::chrono::microseconds dial_timeout, int group_size, std::uint64_t seed);

  // Returns the timeout of a dial.
  [[nodiscard]] std::chrono::microseconds DialTimeout() const { return dial_timeout_; }
  // Returns how long the next call may wait for a change.
  [[nodiscard]] std::chrono::milliseconds Wait() const { return after_fault_ ? kShortWatchWait : kWatchWait; }

  // Records that a call received its response.
  void OnResponse() {
    after_fault_ = false;
    refusals_ = 0;
  }
  // Records that a connection or a call failed or timed out. Returns the time until the next dial.
  std::chrono::milliseconds OnConnectionLost() {
    after_fault_ = true;
    return kRedialDelay;
  }
  // Records that discovery refused the call, as it does when overloaded. Returns a backoff with jitter, after
  // which the whole group makes about five calls a second, because each refused call prolongs the overload.
  // If the bound on backoffs is too short for that, the group makes as few calls as the bound allows.
  std::chrono::milliseconds OnRefusal();

 private:
  // Returns the maximum backoff after the refusals so far.
  [[nodiscard]] std::chrono::milliseconds MaxBackoff() const;

  std::chrono::microseconds dial_timeout_;
  std::chrono::milliseconds mean_backoff_;  // not yet limited by MaxBackoff()
  bool after_fault_ = false;                // the last call or dial failed
  int refusals_ = 0;                        // consecutive
  std::minstd_rand random_;
};

}  // namespace postspread::discovery

#endif  // POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_
