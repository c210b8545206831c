#include "safety/request_claims.h"

#include <algorithm>

namespace postspread::safety {
namespace {

constexpr std::size_t kBucketSize = 8;  // the entries in which a request may be claimed

std::span<RequestClaim> BucketOf(std::span<RequestClaim> entries, std::uint64_t id_hash) {
  const std::size_t buckets = entries.size() / kBucketSize;
  return entries.subspan(static_cast<std::size_t>(id_hash) % buckets * kBucketSize, kBucketSize);
}

std::int64_t ToMilliseconds(RequestClaims::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}  // namespace

bool RequestClaims::TryClaim(std::uint64_t id_hash, TimePoint now) {
  const std::int64_t now_ms = ToMilliseconds(now);
  const std::int64_t expired_before = now_ms - std::chrono::milliseconds(kLifetime).count();
  const std::span<RequestClaim> bucket = BucketOf(entries_, id_hash);
  RequestClaim* oldest = nullptr;
  for (RequestClaim& entry : bucket) {
    const bool is_valid = entry.claimed_at_ms >= expired_before;
    if (entry.id_hash == id_hash && is_valid) return false;
    if (oldest == nullptr || entry.claimed_at_ms < oldest->claimed_at_ms) oldest = &entry;
  }
  oldest->claimed_at_ms = now_ms;
  oldest->id_hash = id_hash;
  // Another process may have claimed the same request in another entry at the same time. Then neither
  // forwards it.
  const auto claims = std::count_if(bucket.begin(), bucket.end(), [&](const RequestClaim& entry) {
    return entry.id_hash == id_hash && entry.claimed_at_ms >= expired_before;
  });
  return claims == 1;
}

void RequestClaims::Release(std::uint64_t id_hash) {
  for (RequestClaim& entry : BucketOf(entries_, id_hash)) {
    if (entry.id_hash != id_hash) continue;
    entry.claimed_at_ms = 0;
    entry.id_hash = 0;
  }
}

}  // namespace postspread::safety
