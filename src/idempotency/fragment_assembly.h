// Tracks which fragments of a peer's response have arrived. The bytes are in Entry::response.
#ifndef POSTSPREAD_IDEMPOTENCY_FRAGMENT_ASSEMBLY_H_
#define POSTSPREAD_IDEMPOTENCY_FRAGMENT_ASSEMBLY_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "idempotency/wire.h"

namespace postspread::idempotency {

struct FragmentAssembly {
  bool active = false;
  std::uint16_t first_missing = 0;  // the first fragment of the requested window
  std::uint32_t total_bytes = 0;    // the size of the complete response; 0: not known yet
  std::array<std::uint64_t, (kMaxFragments + 63) / 64> received{};  // one bit per fragment

  [[nodiscard]] std::size_t Count() const { return (total_bytes + kFragmentBytes - 1) / kFragmentBytes; }
  [[nodiscard]] bool Has(std::size_t index) const { return (received[index / 64] >> (index % 64) & 1) != 0; }
  void Mark(std::size_t index) { received[index / 64] |= std::uint64_t{1} << (index % 64); }
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_FRAGMENT_ASSEMBLY_H_
