// The wire format of messages, one in each datagram:
//
//   "PSV" | version u8 | group u32 | type u8 | number varint | view hash u32 | sender's entry |
//   (Exchange: from varint, bucket hashes u16 each) | (PingRequest: target's entry) | entries ... |
//   checksum u32
//
// An entry consists of (kind, state and length of name) u8, name, peer varint, incarnation varint,
// refutations varint. Integers are little-endian. Nothing is decoded before the checksum, group and version
// have been verified; excess or missing bytes make the whole datagram unreadable.
#ifndef POSTSPREAD_MEMBERSHIP_WIRE_H_
#define POSTSPREAD_MEMBERSHIP_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "membership/messages.h"
#include "membership/types.h"

namespace postspread::membership {

// Encodes a message. The caller adds entries one by one while they fit.
class Writer {
 public:
  // The datagram has at most `size` bytes. `head.entries` is ignored, since Add adds entries.
  Writer(std::uint32_t group, const Message& head, std::size_t size);

  // Returns false, and adds nothing, if the entry does not fit.
  bool Add(std::string_view name, PeerId peer, const MemberUpdate& update, EntryKind kind);

  // Appends the checksum and returns the datagram.
  std::string Seal() &&;

 private:
  std::string out_;
  std::uint32_t group_;
  std::size_t size_;
};

enum class ReadError {
  kNone,
  kOtherSubsystem,  // The datagram does not belong to the membership protocol.
  kUnreadable,      // It is truncated or corrupt, or has a value that no member of this version sends.
  kForeignGroup,
  kLaterVersion,
};

// Decodes a datagram into `out`, which is complete only if kNone is returned.
ReadError Read(std::string_view bytes, std::uint32_t group, Message& out);

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_WIRE_H_
