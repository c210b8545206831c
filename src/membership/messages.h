// The messages that members exchange, one type each. Their wire form is in wire.h.
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
  kSync,    // brings a differing view up to date; the receiver need not pass it on
  kGossip,  // a recent update, which the receiver passes on
};

// An update about one member.
struct Entry {
  std::string name;
  PeerId peer = 0;
  MemberUpdate update;
  EntryKind kind = EntryKind::kSync;
  bool operator==(const Entry&) const = default;
};

// A health check, answered by an Ack.
struct Ping {};

// Push-pull synchronization. Answered by an Ack that holds entries from `from` on, in the order of
// DigestName, of buckets whose hashes differ from these. Its loss has no consequence.
struct Exchange {
  SyncPosition from = 0;
  BucketHashes buckets{};
};

// The answer to a Ping, an Exchange or, from the member that relayed it, a PingRequest.
struct Ack {};

// The answer to a PingRequest whose target did not reply to the relaying member either.
struct Nack {};

// An indirect probe: asks the receiver to ping `target` on the sender's behalf.
struct PingRequest {
  Entry target;
};

// Carries entries only; not answered.
struct Gossip {};

// The order is that of the types' codes on the wire.
using MessageBody = std::variant<Ping, Exchange, Ack, Nack, PingRequest, Gossip>;

struct Message {
  MessageBody body{};
  std::uint64_t number = 0;     // of the request that is made or answered; 0 in Gossip
  std::uint32_t view_hash = 0;  // the lower half of the sender's
  Entry sender{};               // its `peer` is ignored in favor of the datagram's source
  std::vector<Entry> entries{};
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_MESSAGES_H_
