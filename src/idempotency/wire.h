// Datagrams between the replicas of one group: a header and records, 256 bytes at most. Numbers are
// little-endian. A datagram that is cut, of another version or spoilt (checksum) is refused whole.
//
//   header  "PSK" 2 | rank u16 | life u64 | checksum u32 of all behind it          18 bytes
//   record  kind u8 and its members, in the order of the structs below
#ifndef POSTSPREAD_IDEMPOTENCY_WIRE_H_
#define POSTSPREAD_IDEMPOTENCY_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency {

// What a gateway says of a key that it holds.
enum class Phase : std::uint8_t { kRunning, kAnswered, kAnsweredNoValue, kUnknown };

// "May I run this?" The one who asks has it pinned to `pod` already.
struct ClaimRecord {
  KeyId key;
  std::uint64_t fingerprint = 0;
  std::uint32_t customer = 0;
  std::uint32_t round = 0;
  std::uint8_t has_pod = 0;
  std::int64_t pod = 0;
  std::uint32_t window_ms = 0;
  bool operator==(const ClaimRecord&) const = default;
};

enum class Verdict : std::uint8_t {
  kClear,       // not held here; it is noted down as the asker's
  kClearFresh,  // the same of one that has started lately and may have forgotten
  kHeld,        // by the holder named
  kOther,       // the key belongs to another request
  kFull,        // no room to note it down
};
struct VoteRecord {
  KeyId key;
  std::uint32_t round = 0;  // of the claim
  Verdict verdict = Verdict::kClear;
  // With kHeld, the round of the holder's claim as noted; else the voter's next one: what anybody remembers
  // of an earlier claim of the voter's is out of date.
  std::uint32_t mark = 0;
  // With kHeld:
  std::uint16_t holder = 0;
  std::uint64_t holder_incarnation = 0;
  Phase phase = Phase::kRunning;
  std::uint8_t has_pod = 0;
  std::int64_t pod = 0;
  std::uint32_t age_ms = 0;  // since its work began
  bool operator==(const VoteRecord&) const = default;
};

// The sender's work on a key has ended, or its claim is withdrawn. Only saves questions: lost, the next one
// who asks the holder learns the same.
struct OutcomeRecord {
  KeyId key;
  std::uint32_t round = 0;
  std::uint8_t released = 0;  // else `phase`
  Phase phase = Phase::kAnswered;
  std::uint32_t age_ms = 0;
  bool operator==(const OutcomeRecord&) const = default;
};
// A part of an answer is asked for, and comes.
struct FetchRecord {
  KeyId key;
  std::uint16_t first = 0;   // of these fragments ...
  std::uint32_t wanted = 0;  // ... those whose bits are set
  bool operator==(const FetchRecord&) const = default;
};
struct FragmentRecord {
  KeyId key;
  std::uint16_t index = 0;
  std::uint32_t total = 0;  // bytes of the whole answer
  std::string bytes;        // kFragmentBytes, the last one's rest
  bool operator==(const FragmentRecord&) const = default;
};
inline constexpr std::size_t kFragmentBytes = 208;
inline constexpr std::size_t kMaxFragments = 320;
// A bulk string of 64 KiB with its framing fits.
inline constexpr std::size_t kMaxAnswer = kFragmentBytes * kMaxFragments;

using Record = std::variant<ClaimRecord, VoteRecord, OutcomeRecord, FetchRecord, FragmentRecord>;

struct Header {
  std::uint16_t rank = 0;
  std::uint64_t incarnation = 0;  // higher with each start
};

inline constexpr std::size_t kHeaderBytes = 18;

std::string EncodeRecord(const Record& record);
// Puts a header before records that are encoded already.
std::string Seal(const Header& header, std::string_view records);

struct Datagram {
  Header header;
  std::vector<Record> records;
};
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_WIRE_H_
