#include "idempotency/digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <initializer_list>
#include <string>

namespace postspread::idempotency {
namespace {

// The seeds make the digests independent of each other; DigestKey uses no seed.
constexpr XXH64_hash_t kRequestSeed = 0x706f7374;
constexpr XXH64_hash_t kRendezvousSeed = 0x73707265;

std::string LengthPrefixed(std::initializer_list<std::string_view> parts) {
  std::string out;
  for (const std::string_view part : parts) {
    const std::uint64_t size = part.size();
    out.append(reinterpret_cast<const char*>(&size), sizeof size);
    out.append(part);
  }
  return out;
}

}  // namespace

KeyId DigestKey(std::string_view customer, std::string_view class_name, std::string_view key) {
  const std::string bytes = LengthPrefixed({customer, class_name, key});
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::uint64_t DigestRequest(std::string_view customer, std::string_view class_name, std::string_view key,
                            double units, std::string_view body) {
  const std::string bytes = LengthPrefixed(
      {customer, class_name, key, {reinterpret_cast<const char*>(&units), sizeof units}, body});
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), kRequestSeed);
}

std::uint32_t DigestCustomer(std::string_view customer) {
  return static_cast<std::uint32_t>(XXH3_64bits(customer.data(), customer.size()));
}

std::uint64_t RendezvousScore(const KeyId& key, std::uint64_t candidate) {
  const std::uint64_t words[] = {key.high, key.low, candidate};
  return XXH3_64bits_withSeed(words, sizeof words, kRendezvousSeed);
}

std::uint32_t Checksum(std::string_view bytes) { return XXH32(bytes.data(), bytes.size(), 0); }

}  // namespace postspread::idempotency
