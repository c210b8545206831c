// Hashes that all members of a group compute alike: of the group's name, of members, of the probe order.
#ifndef POSTSPREAD_MEMBERSHIP_DIGEST_H_
#define POSTSPREAD_MEMBERSHIP_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace postspread::membership {

// Of the group's name.
std::uint32_t DigestGroup(std::string_view name);

// Of a member in an incarnation. The view's hash is the XOR of these over all live members.
std::uint64_t DigestMember(std::string_view name, std::uint64_t incarnation);

// A member's position in the probe order of a protocol period, from its DigestName.
std::uint64_t ProbePosition(std::uint64_t period, std::uint64_t name_digest);

// Of a name alone: fixes a member's bucket and its position in the order of synchronization.
inline std::uint64_t DigestName(std::string_view name) { return DigestMember(name, 0); }

// Members are divided into buckets by the upper bits of their DigestName, so that two members can find out
// where their views differ.
inline constexpr std::size_t kBuckets = 16;
using BucketHashes = std::array<std::uint16_t, kBuckets>;
constexpr std::size_t BucketOf(std::uint64_t name_digest) {
  return static_cast<std::size_t>(name_digest >> 60);
}

// A position in the order of DigestName, to which a synchronization has come.
using SyncPosition = std::uint16_t;
constexpr SyncPosition SyncPositionOf(std::uint64_t name_digest) {
  return static_cast<SyncPosition>(name_digest >> 48);
}

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_DIGEST_H_
