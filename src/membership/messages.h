// The messages that members exchange, with one type for each. wire.h defines their wire format.
#ifndef POSTSPREAD_MEMBERSHIP_MESSAGES_H_
#define POSTSPREAD_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "membership/digest.h"
#include "membership/types.h"

namespace postspread::membership {

enum class EntryKind : std::uint8_t {
  kSync,    // The entry repairs a differing view; the receiver need not disseminate it.
  kGossip,  // The entry is a recent update, which the receiver disseminates.
};

// An update about one member, together with its name and address.
struct Entry {
  std::string name;
  PeerId peer = 0;
  MemberUpdate update;
  EntryKind kind = EntryKind::kSync;
  bool operator==(const Entry&) const = default;
};

// A health check. The receiver replies with an Ack.
struct Ping {};

// A push-pull synchronization. The receiver replies with an Ack that holds entries of the buckets whose
// hashes differ from these, in the order of DigestName from `from` on. A lost Exchange does no harm.
struct Exchange {
  SyncPosition from = 0;
  BucketHashes buckets{};
};

// The reply to a Ping or an Exchange. The member that relayed a PingRequest also replies with it.
struct Ack {};

// The reply to a PingRequest whose target did not reply to the relaying member either.
struct Nack {};

// An indirect probe. It requests that the receiver ping `target` on the sender's behalf.
struct PingRequest {
  Entry target;
};

// Gossip carries entries only and has no reply.
struct Gossip {};

// A type's position is its code on the wire, so the order must not change.
using MessageBody = std::variant<Ping, Exchange, Ack, Nack, PingRequest, Gossip>;

struct Message {
  MessageBody body{};
  // A request and its reply have the same number. It is 0 in Gossip.
  std::uint64_t number = 0;
  // The lower half of the hash of the sender's view.
  std::uint32_t view_hash = 0;
  // The receiver ignores `sender.peer` and uses the source address of the datagram.
  Entry sender{};
  std::vector<Entry> entries{};
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_MESSAGES_H_
