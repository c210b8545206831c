// Which fragments of a peer's answer have arrived. The bytes themselves are in the entry's answer.
#ifndef POSTSPREAD_IDEMPOTENCY_FRAGMENT_ASSEMBLY_H_
#define POSTSPREAD_IDEMPOTENCY_FRAGMENT_ASSEMBLY_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "idempotency/wire.h"

namespace postspread::idempotency {

struct FragmentAssembly {
  bool active = false;
  std::uint16_t first_missing = 0;  // the start of the window that is requested
  std::uint32_t total_bytes = 0;    // of the whole answer; 0: not known yet
  std::array<std::uint64_t, (kMaxFragments + 63) / 64> received{};  // one bit a fragment

  [[nodiscard]] std::size_t Count() const { return (total_bytes + kFragmentBytes - 1) / kFragmentBytes; }
  [[nodiscard]] bool Has(std::size_t index) const { return (received[index / 64] >> (index % 64) & 1) != 0; }
  void Mark(std::size_t index) { received[index / 64] |= std::uint64_t{1} << (index % 64); }
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_FRAGMENT_ASSEMBLY_H_
