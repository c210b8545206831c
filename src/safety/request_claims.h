// Remembers which requests may have run, by the ids that their clients chose, so that a request that must not
// run twice is not forwarded again when it comes again: after its client has left, or at the other process of
// an upgrade. It does no I/O and reads no clock.
#ifndef POSTSPREAD_SAFETY_REQUEST_CLAIMS_H_
#define POSTSPREAD_SAFETY_REQUEST_CLAIMS_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace postspread::safety {

// One request that may have run. All zero: none.
struct RequestClaim {
  std::atomic<std::uint64_t> id_hash{0};
  std::atomic<std::int64_t> claimed_at_ms{0};
};

// A table of fixed size, in memory that two processes may share. An entry expires after kLifetime; where the
// table is full, the oldest of a few entries is replaced.
class RequestClaims {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr std::size_t kEntries = 4'096;
  static constexpr std::chrono::seconds kLifetime{60};

  // `entries` has kEntries elements and outlives this object.
  explicit RequestClaims(std::span<RequestClaim> entries) : entries_(entries) {}

  // Claims the request for the caller, who may then forward it. Returns false if it is claimed already.
  bool TryClaim(std::uint64_t id_hash, TimePoint now);
  // Withdraws a claim, as the request surely never ran.
  void Release(std::uint64_t id_hash);

 private:
  std::span<RequestClaim> entries_;
};

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_REQUEST_CLAIMS_H_
