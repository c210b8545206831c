// Durations as floating-point seconds, the type in which averages and decays are computed.
//
// Convert a Duration explicitly before you combine it with FloatSeconds: mixed arithmetic is done in
// microseconds and rounds differently.
#ifndef POSTSPREAD_STATISTICS_FLOAT_SECONDS_H_
#define POSTSPREAD_STATISTICS_FLOAT_SECONDS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "postspread/control.h"

namespace postspread {

using FloatSeconds = std::chrono::duration<double>;

// Rounds down to a microsecond, and clamps the result to between 0 and a million seconds.
inline Duration ToDuration(FloatSeconds span) {
  constexpr double kMaxSeconds = 1e6;
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(
      static_cast<std::int64_t>(std::clamp(span.count(), 0.0, kMaxSeconds) * kMicrosecondsPerSecond));
}

}  // namespace postspread

#endif  // POSTSPREAD_STATISTICS_FLOAT_SECONDS_H_
