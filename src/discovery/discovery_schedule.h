// When discovery is called, and when a call is given up. No clock, no I/O: what happened is handed in.
#ifndef POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_
#define POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace postspread::discovery {

// A change counts as told kTold after discovery had it and could be reached, whatever became of the calls. So
// each way from a change to the answer that brings it has to be shorter. The longest ones have two faults,
// one right after the other; with more of them the last two are what counts:
//   - the open watch has fallen silent, and the next call is refused:
//       kWait + kOverdue, kRedial; dial, kShortWait + kOverdue; pause; dial, kOverdue
//   - refused twice:
//       pause; dial, kShortWait + kOverdue; pause; dial, kOverdue
// A dial takes Dial() at the most; a call is given up kOverdue after it need not wait any more; and a call
// after the change, that it asks for, is answered at once. The pauses are what these ways leave of kTold -
// kSpare.
class DiscoverySchedule {
 public:
  static constexpr std::chrono::milliseconds kTold{6'000};
  static constexpr std::chrono::milliseconds kSpare{500};  // of it, for the loop's and the agent's own time
  // What a call that may wait has to tell counts as told 2 s after its wait: a short wait finds out soon that
  // the agent has gone silent.
  static constexpr std::chrono::milliseconds kWait{2'000};
  static constexpr std::chrono::milliseconds kShortWait{500};  // of the first call after a fault
  static constexpr std::chrono::milliseconds kOverdue{500};    // beyond the wait: the agent is silent
  static constexpr std::chrono::milliseconds kRedial{100};     // a watch goes on only within 200 ms
  // Of a dial: the agent is on this machine, and what takes longer is not coming.
  static constexpr std::chrono::milliseconds kMostDial{300};

  // A group of `group_size` gateways; `dial_timeout` is the settings'; `seed` spreads the calls.
  DiscoverySchedule(std::chrono::microseconds dial_timeout, int group_size, std::uint64_t seed);

  [[nodiscard]] std::chrono::microseconds Dial() const { return dial_; }
  // How long the next call may wait for a change.
  [[nodiscard]] std::chrono::milliseconds Wait() const { return fault_ ? kShortWait : kWait; }

  void Answered() {
    fault_ = false;
    refused_ = 0;
  }
  // A connection or call was lost or given up: until the next dial.
  std::chrono::milliseconds Lost() {
    fault_ = true;
    return kRedial;
  }
  // Discovery refused the call: until the next dial. An overbooked discovery refuses, and every call that it
  // refuses keeps it overbooked: it is asked again so seldom, and by chance, that a group that was refused
  // makes some five calls a second, or as few as the bound allows.
  std::chrono::milliseconds Refused();

 private:
  std::chrono::microseconds dial_;
  std::chrono::milliseconds mean_;  // of a pause, were it not for the bound
  bool fault_ = false;              // the last call, or dial, came to nothing
  int refused_ = 0;                 // in a row
  std::minstd_rand random_;
};

}  // namespace postspread::discovery

#endif  // POSTSPREAD_DISCOVERY_DISCOVERY_SCHEDULE_H_
