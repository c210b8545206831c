#include "membership/digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace postspread::membership {
namespace {

// Members of all versions must use the same seed, or their views never compare equal.
constexpr XXH64_hash_t kMemberSeed = 0x766965;

}  // namespace

std::uint32_t DigestGroup(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

std::uint64_t DigestMember(std::string_view name, std::uint64_t incarnation) {
  return XXH3_64bits_withSeed(name.data(), name.size(), kMemberSeed + incarnation);
}

std::uint64_t ProbePosition(std::uint64_t period, std::uint64_t name_digest) {
  const std::uint64_t input[] = {period, name_digest};
  return XXH3_64bits(input, sizeof input);
}

}  // namespace postspread::membership
