// Context holds the state that all components of one Membership share: the operator's limits, the random
// number generator and the counters. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_CONTEXT_H_
#define POSTSPREAD_MEMBERSHIP_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "membership/types.h"

namespace postspread::membership {

// A protocol period is divided into this many ticks, at which timers are checked.
inline constexpr int kTicksPerPeriod = 5;

struct Context {
  Limits limits;
  DisabledDefense disabled = DisabledDefense::kNothing;
  std::mt19937_64 random;
  Counts counts{};

  // Returns whether the defense is enabled. Only a test may disable one.
  [[nodiscard]] bool HasDefense(DisabledDefense defense) const { return disabled != defense; }
  [[nodiscard]] Duration Period() const { return limits.period; }
  [[nodiscard]] Duration TickInterval() const { return Period() / kTicksPerPeriod; }
  // Returns a random number in [0, bound); `bound` must not be 0.
  std::size_t RandomBelow(std::size_t bound) { return static_cast<std::size_t>(random() % bound); }
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_CONTEXT_H_
