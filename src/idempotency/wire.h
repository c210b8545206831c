// Encodes and decodes the datagrams between the replicas of a group. A datagram is a header and records, at
// most kMaxDatagram bytes. Numbers are little-endian. A datagram that is truncated, has another version or
// fails its checksum is rejected as a whole.
//
//   header  18 bytes: "PSK" 2 | rank u16 | incarnation u64 | checksum u32 of all else after the magic
//   record  kind u8 and the record's members, in the order of the structs below
#ifndef POSTSPREAD_IDEMPOTENCY_WIRE_H_
#define POSTSPREAD_IDEMPOTENCY_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency {

// The progress of the work on a key, as its holder reports it. In kUnknown the work has ended and may have
// been executed.
enum class Phase : std::uint8_t { kRunning, kCompleted, kCompletedWithoutResponse, kUnknown };

// Requests that a replica record the sender as the key's holder, together with the key's upstream group.
struct ClaimRecord {
  KeyId key;
  std::uint64_t fingerprint = 0;
  std::uint32_t customer = 0;
  std::uint32_t round = 0;
  std::uint8_t has_group = 0;
  std::int64_t group = 0;
  std::uint32_t window_ms = 0;
  bool operator==(const ClaimRecord&) const = default;
};

enum class VoteKind : std::uint8_t {
  kGranted,              // the claim is recorded; the voter had no record of another claim
  kGrantedRecovering,    // the same, but the voter started recently and may have lost earlier records
  kAlreadyClaimed,       // the key belongs to the holder that the vote names
  kFingerprintMismatch,  // the key belongs to another request
  kNoCapacity,           // the voter has no capacity to record the claim
};
// A replica's reply to a claim.
struct VoteRecord {
  KeyId key;
  std::uint32_t round = 0;  // the claim's round
  VoteKind kind = VoteKind::kGranted;
  // With kAlreadyClaimed this is the recorded round of the holder's claim. Otherwise it is the voter's next
  // round: all records of the voter's claims on this key before it are stale.
  std::uint32_t reference_round = 0;
  // The members from here on are encoded only with kAlreadyClaimed.
  std::uint16_t holder = 0;
  std::uint64_t holder_incarnation = 0;
  Phase phase = Phase::kRunning;
  std::uint8_t has_group = 0;
  std::int64_t group = 0;
  std::uint32_t age_ms = 0;  // the time since the work began
  bool operator==(const VoteRecord&) const = default;
};

// Reports that the sender's work on a key has ended, or that its claim is withdrawn. The record only saves
// queries: if it is lost, the next query to the holder returns the same information.
struct OutcomeRecord {
  KeyId key;
  std::uint32_t round = 0;
  std::uint8_t withdrawn = 0;  // 1: the claim is withdrawn; 0: the work is in `phase`
  Phase phase = Phase::kCompleted;
  std::uint32_t age_ms = 0;
  bool operator==(const OutcomeRecord&) const = default;
};

// Requests fragments of a response.
struct FetchRecord {
  KeyId key;
  std::uint16_t first = 0;  // bit i of `requested` requests the fragment first + i
  std::uint32_t requested = 0;
  bool operator==(const FetchRecord&) const = default;
};
// Carries a fragment of a response.
struct FragmentRecord {
  KeyId key;
  std::uint16_t index = 0;
  std::uint32_t total = 0;  // the size of the complete response, in bytes
  std::string bytes;        // kFragmentBytes bytes, fewer in the last fragment
  bool operator==(const FragmentRecord&) const = default;
};
inline constexpr std::size_t kFragmentBytes = 208;
inline constexpr std::size_t kMaxFragments = 320;  // enough for a bulk string of 64 KiB and its framing
inline constexpr std::size_t kMaxResponseBytes = kFragmentBytes * kMaxFragments;

using Record = std::variant<ClaimRecord, VoteRecord, OutcomeRecord, FetchRecord, FragmentRecord>;

// Identifies the sender of a datagram.
struct Header {
  std::uint16_t rank = 0;
  std::uint64_t incarnation = 0;  // higher with each start
};
inline constexpr std::size_t kHeaderBytes = 18;

struct Datagram {
  Header header;
  std::vector<Record> records;
};

std::string EncodeRecord(const Record& record);
// Returns a complete datagram with records that are already encoded.
std::string EncodeDatagram(const Header& header, std::string_view records);
// Returns nullopt if any part of the datagram is invalid.
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_WIRE_H_
