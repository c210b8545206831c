// Bookkeeping that decides nothing: spans in seconds, fading sums, stores that fill, random bits.
#ifndef POSTSPREAD_STATISTICS_MEASURE_H_
#define POSTSPREAD_STATISTICS_MEASURE_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>

#include "postspread/control.h"

namespace postspread {

inline double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

inline Duration FromSeconds(double s) {
  return Duration(static_cast<std::int64_t>(std::clamp(s, 0.0, 1e6) * 1e6));
}

inline std::uint64_t Mix(std::uint64_t x) {  // splitmix64: a small, portable source of random bits
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t HashText(const std::string& text) {
  std::uint64_t h = 0;
  for (const char c : text) h = Mix(h ^ static_cast<unsigned char>(c));
  return h;
}

// An average that forgets exponentially with time.
struct DecayingAverage {
  double sum = 0.0;
  TimePoint at{0};
  void Decay(TimePoint now, double memory_s) {
    if (now > at) sum *= std::exp(-Seconds(now - at) / memory_s);
    at = std::max(at, now);
  }
  void Add(TimePoint now, double x, double memory_s) {
    Decay(now, memory_s);
    sum += x;
  }
};

// A store of units that fills at a rate up to a burst.
struct Bucket {
  double level = 0.0;
  TimePoint at{0};
  void Fill(TimePoint now, double rate, double burst) {
    level = std::min(burst, level + rate * Seconds(std::max(Duration(0), now - at)));
    at = std::max(at, now);
  }
};

}  // namespace postspread

#endif  // POSTSPREAD_STATISTICS_MEASURE_H_
