// A small set of gateways, by rank, from a group of any size. Each entry of the store has several such sets,
// so the capacity is fixed; a rank beyond the capacity is not recorded.
#ifndef POSTSPREAD_IDEMPOTENCY_RANK_SET_H_
#define POSTSPREAD_IDEMPOTENCY_RANK_SET_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace postspread::idempotency {

class RankSet {
 public:
  static constexpr std::size_t kCapacity = 15;

  [[nodiscard]] bool empty() const { return size_ == 0; }
  [[nodiscard]] const std::uint16_t* begin() const { return ranks_.data(); }
  [[nodiscard]] const std::uint16_t* end() const { return ranks_.data() + size_; }
  [[nodiscard]] bool Has(int rank) const { return std::find(begin(), end(), rank) != end(); }
  // Returns false if the set is full.
  bool Add(int rank) {
    if (Has(rank)) return true;
    if (size_ == kCapacity) return false;
    ranks_[size_++] = static_cast<std::uint16_t>(rank);
    return true;
  }
  void Remove(int rank) {
    const auto last = std::remove(ranks_.begin(), ranks_.begin() + size_, rank);
    size_ = static_cast<std::uint16_t>(last - ranks_.begin());
  }
  void Clear() { size_ = 0; }
  bool operator==(const RankSet&) const = default;

 private:
  std::array<std::uint16_t, kCapacity> ranks_{};
  std::uint16_t size_ = 0;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_RANK_SET_H_
