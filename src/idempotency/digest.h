// Keys and requests as hashes, by xxHash's XXH3. Strings are hashed with their lengths, so that no two
// different lists of strings are the same bytes.
#ifndef POSTSPREAD_IDEMPOTENCY_DIGEST_H_
#define POSTSPREAD_IDEMPOTENCY_DIGEST_H_

#include <cstdint>
#include <string_view>

#include "idempotency/types.h"

namespace postspread::idempotency {

KeyId DigestKey(std::string_view customer, std::string_view class_name, std::string_view key);

// Of all that makes a repeat the same request; independent of DigestKey, so that two keys that met in the
// table would be told apart by it.
std::uint64_t DigestRequest(std::string_view customer, std::string_view class_name, std::string_view key,
                            double units, std::string_view body);

std::uint32_t DigestCustomer(std::string_view customer);

// A number for (key, place) that is the same everywhere: the highest of a key's is its place by rendezvous
// (Thaler and Ravishankar, 1998).
std::uint64_t Rendezvous(const KeyId& key, std::uint64_t identity);

std::uint32_t Checksum(std::string_view bytes);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_DIGEST_H_
