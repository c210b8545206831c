// Hash functions for the group's name, for members and for the probe order. All members of a group must
// compute the same values.
#ifndef POSTSPREAD_MEMBERSHIP_DIGEST_H_
#define POSTSPREAD_MEMBERSHIP_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace postspread::membership {

// Returns the hash of the group's name.
std::uint32_t DigestGroup(std::string_view name);

// Returns the hash of a member in an incarnation. The hash of a view is the XOR of these over all live
// members.
std::uint64_t DigestMember(std::string_view name, std::uint64_t incarnation);

// Returns a member's position in the probe order of a protocol period. `name_digest` is its DigestName.
std::uint64_t ProbePosition(std::uint64_t period, std::uint64_t name_digest);

// Returns the hash of a name alone, which determines a member's bucket and its position in the order of
// synchronization.
inline std::uint64_t DigestName(std::string_view name) { return DigestMember(name, 0); }

// The upper bits of a member's DigestName assign it to a bucket. Two members compare the hashes of their
// buckets to find out where their views differ.
inline constexpr std::size_t kBuckets = 16;
using BucketHashes = std::array<std::uint16_t, kBuckets>;
constexpr std::size_t BucketOf(std::uint64_t name_digest) {
  return static_cast<std::size_t>(name_digest >> 60);
}

// The position in the order of DigestName that a synchronization has reached.
using SyncPosition = std::uint16_t;
constexpr SyncPosition SyncPositionOf(std::uint64_t name_digest) {
  return static_cast<SyncPosition>(name_digest >> 48);
}

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_DIGEST_H_
