// A small, portable pseudo-random generator: a seed yields the same sequence on every platform.
#ifndef POSTSPREAD_STATISTICS_RANDOM_H_
#define POSTSPREAD_STATISTICS_RANDOM_H_

#include <cstdint>
#include <string>

namespace postspread::statistics {

// Performs one step of splitmix64.
inline std::uint64_t SplitMix64(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

inline std::uint64_t HashText(const std::string& text) {
  std::uint64_t hash = 0;
  for (const char character : text) hash = SplitMix64(hash ^ static_cast<unsigned char>(character));
  return hash;
}

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(SplitMix64(seed)) {}

  // Returns a value that is uniformly distributed in [0, 1), with the 53 bits that a double holds.
  double Uniform() {
    state_ = SplitMix64(state_);
    return static_cast<double>(state_ >> 11) * 0x1p-53;
  }

 private:
  std::uint64_t state_;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_RANDOM_H_
