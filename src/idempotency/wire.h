// Datagrams between the replicas of a group: a header and records, kMaxDatagram bytes at most. Numbers are
// little-endian. A datagram that is truncated, of another version or corrupt (checksum) is rejected as a
// whole.
//
//   header  "PSK" 2 | rank u16 | incarnation u64 | checksum u32 of everything else behind the magic    18
//   bytes record  kind u8 and its members, in the order of the structs below
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

// How far the work on a key is, as its holder reports it.
enum class Phase : std::uint8_t { kRunning, kAnswered, kAnsweredNoValue, kUnknown };

// Asks a replica to record the sender as the key's holder, with the key's upstream group.
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
  kGranted,              // the claim is recorded; nothing was known of the key
  kGrantedRecovering,    // the same by a gateway that started recently and may have forgotten
  kAlreadyClaimed,       // by the holder named
  kFingerprintMismatch,  // the key belongs to another request
  kNoCapacity,           // no room to record the claim
};
// A replica's response to a claim.
struct VoteRecord {
  KeyId key;
  std::uint32_t round = 0;  // of the claim
  VoteKind kind = VoteKind::kGranted;
  // With kAlreadyClaimed the round of the holder's claim, as recorded; else the voter's next round: whatever
  // anybody remembers of the voter's claims before it is stale.
  std::uint32_t reference_round = 0;
  // With kAlreadyClaimed only:
  std::uint16_t holder = 0;
  std::uint64_t holder_incarnation = 0;
  Phase phase = Phase::kRunning;
  std::uint8_t has_group = 0;
  std::int64_t group = 0;
  std::uint32_t age_ms = 0;  // since the work began
  bool operator==(const VoteRecord&) const = default;
};

// The sender's work on a key has ended, or its claim is withdrawn. It only saves questions: where it is lost,
// the next question to the holder brings the same.
struct OutcomeRecord {
  KeyId key;
  std::uint32_t round = 0;
  std::uint8_t withdrawn = 0;  // else `phase`
  Phase phase = Phase::kAnswered;
  std::uint32_t age_ms = 0;
  bool operator==(const OutcomeRecord&) const = default;
};

// Requests fragments of an answer.
struct FetchRecord {
  KeyId key;
  std::uint16_t first = 0;  // bit i of `requested` stands for the fragment first + i
  std::uint32_t requested = 0;
  bool operator==(const FetchRecord&) const = default;
};
// A fragment of an answer.
struct FragmentRecord {
  KeyId key;
  std::uint16_t index = 0;
  std::uint32_t total = 0;  // bytes of the whole answer
  std::string bytes;        // kFragmentBytes; fewer in the last one
  bool operator==(const FragmentRecord&) const = default;
};
inline constexpr std::size_t kFragmentBytes = 208;
inline constexpr std::size_t kMaxFragments = 320;  // a bulk string of 64 KiB and its framing
inline constexpr std::size_t kMaxAnswer = kFragmentBytes * kMaxFragments;

using Record = std::variant<ClaimRecord, VoteRecord, OutcomeRecord, FetchRecord, FragmentRecord>;

// Who sent a datagram.
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
// A whole datagram out of records that are encoded already.
std::string EncodeDatagram(const Header& header, std::string_view records);
// Nothing where it is not valid as a whole.
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_WIRE_H_
