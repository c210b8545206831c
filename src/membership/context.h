// What the parts of one Membership share: the operator's limits, the source of random numbers, counters.
#ifndef POSTSPREAD_MEMBERSHIP_CONTEXT_H_
#define POSTSPREAD_MEMBERSHIP_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "membership/types.h"

namespace postspread::membership {

inline constexpr int kTicksPerPeriod = 5;

struct Context {
  Limits limits;
  DisabledDefense disabled = DisabledDefense::kNothing;
  std::mt19937_64 random;
  Counts counts{};

  [[nodiscard]] bool Defends(DisabledDefense defense) const { return disabled != defense; }
  [[nodiscard]] Duration Period() const { return limits.period; }
  [[nodiscard]] Duration TickInterval() const { return Period() / kTicksPerPeriod; }
  std::size_t RandomBelow(std::size_t bound) { return static_cast<std::size_t>(random() % bound); }
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_CONTEXT_H_
