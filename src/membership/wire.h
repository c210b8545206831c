// Datagrams of the membership view: who sends, what kind it is, and words on members behind that.
//
//   "PSV" version | fleet u32 | kind u8 | number varint | view u32 | from varint | sender's entry |
//   (exchange: hashes of the view's parts, u16 each) | (ask for another: its entry) | entries ... | checksum
//   u32
//
// An entry is (news, state and length of name) u8, name, place varint, life varint, incarnation varint.
// Nothing in a datagram is believed before its checksum, fleet and version are found right; what is left over
// or cut makes it unreadable as a whole.
#ifndef POSTSPREAD_MEMBERSHIP_WIRE_H_
#define POSTSPREAD_MEMBERSHIP_WIRE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types.h"

namespace postspread::membership {

// kExchange: as kPing, and nothing follows from getting no answer to it.
enum class Kind : std::uint8_t { kPing, kExchange, kAck, kNack, kAskFor, kGossip };

// The view's members by the upper bits of their digests, so that two can see where their views differ.
inline constexpr std::size_t kParts = 16;
using PartHashes = std::array<std::uint16_t, kParts>;
constexpr std::size_t PartOf(std::uint64_t digest) { return static_cast<std::size_t>(digest >> 60); }

struct Entry {
  std::string name;
  PeerId peer = 0;
  MemberUpdate update;
  bool news = false;  // to be told on; else it only fills a datagram, for one whose view differs
  bool operator==(const Entry&) const = default;
};

struct Message {
  Kind kind = Kind::kPing;
  std::uint64_t number = 0;      // of the ask that is made or answered
  std::uint32_t view = 0;        // the low half of the sender's hash
  std::uint16_t from = 0;        // kExchange: entries are wanted from here on in the order of digests ...
  PartHashes parts{};            // ... where these differ
  Entry sender{};                // its place counts for nothing: where a datagram comes from does
  Entry target{};                // kAskFor: name and place of whom to ask
  std::vector<Entry> entries{};  // words on members
};

enum class Fault { kNone, kNotOurs, kUnreadable, kForeign, kFuture };

// Of the fleet's name.
std::uint32_t DigestGroup(std::string_view name);
// Of a member of the view; the view's hash is all of these together, in any order.
std::uint64_t DigestMember(std::string_view name, std::uint64_t incarnation);
// A member's place in the order of a period.
std::uint64_t OrderIn(std::uint64_t period, std::uint64_t name_digest);

// Builds a datagram within `size` bytes.
class Writer {
 public:
  Writer(std::uint32_t fleet, const Message& head, std::size_t size);
  // False, and nothing added, where there is no room left.
  bool Add(std::string_view name, PeerId peer, const MemberUpdate& update, bool news);
  std::string Seal() &&;

 private:
  std::string out_;
  std::uint32_t fleet_;
  std::size_t size_;
};

// kNotOurs: of another subsystem. A number or life that no program of this version gives out is unreadable.
Fault Read(std::string_view bytes, std::uint32_t fleet, Message& out);

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_WIRE_H_
