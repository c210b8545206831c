// Computes digests of keys and requests with xxHash's XXH3. Strings are hashed with their lengths, so that
// two different lists of strings never give the same hash input.
#ifndef POSTSPREAD_IDEMPOTENCY_DIGEST_H_
#define POSTSPREAD_IDEMPOTENCY_DIGEST_H_

#include <cstdint>
#include <string_view>

#include "idempotency/types.h"

namespace postspread::idempotency {

KeyId DigestKey(std::string_view customer, std::string_view class_name, std::string_view key);

// Returns the fingerprint of everything that must be equal in a repeat. It is independent of DigestKey, so
// that it also distinguishes two keys whose digests collide.
std::uint64_t DigestRequest(std::string_view customer, std::string_view class_name, std::string_view key,
                            double units, std::string_view body);

std::uint32_t DigestCustomer(std::string_view customer);

// Returns a candidate's score for a key by rendezvous hashing (Thaler and Ravishankar, 1998). The score is
// the same on every gateway, and the candidate with the highest score is chosen.
std::uint64_t RendezvousScore(const KeyId& key, std::uint64_t candidate);

// Returns the checksum of a datagram's bytes.
std::uint32_t Checksum(std::string_view bytes);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_DIGEST_H_
