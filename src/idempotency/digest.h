// Digests of keys and requests by xxHash's XXH3. Strings are hashed with their lengths, so that no two
// different lists of strings yield the same bytes.
#ifndef POSTSPREAD_IDEMPOTENCY_DIGEST_H_
#define POSTSPREAD_IDEMPOTENCY_DIGEST_H_

#include <cstdint>
#include <string_view>

#include "idempotency/types.h"

namespace postspread::idempotency {

KeyId DigestKey(std::string_view customer, std::string_view class_name, std::string_view key);

// The fingerprint of everything that must be equal in a repeat. Independent of DigestKey, so that it also
// tells apart two keys whose digests collide.
std::uint64_t DigestRequest(std::string_view customer, std::string_view class_name, std::string_view key,
                            double units, std::string_view body);

std::uint32_t DigestCustomer(std::string_view customer);

// The score of a candidate for a key by rendezvous hashing (Thaler and Ravishankar, 1998): the same on every
// gateway; the candidate with the highest score is chosen.
std::uint64_t RendezvousScore(const KeyId& key, std::uint64_t candidate);

// Of a datagram.
std::uint32_t Checksum(std::string_view bytes);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_DIGEST_H_
