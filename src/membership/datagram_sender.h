// DatagramSender composes datagrams within the send budget. A datagram holds the head, the entry that matters
// most to the receiver, gossip, and entries that synchronize views, in this order. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_DATAGRAM_SENDER_H_
#define POSTSPREAD_MEMBERSHIP_DATAGRAM_SENDER_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "membership/context.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/send_budget.h"
#include "membership/view_sync.h"
#include "membership/wire.h"

namespace postspread::membership {

// A message to which the sender adds the common fields and the entries.
struct Draft {
  MessageBody body{};
  std::uint64_t number = 0;
  const MemberRecord* subject = nullptr;  // The entry of this member, if any, comes first.
  std::optional<SyncRange> sync{};        // These entries fill the space that gossip leaves.
};

class DatagramSender {
 public:
  DatagramSender(Context& context, const MemberTable& table, GossipQueue& gossip, ViewSync& sync,
                 SendBudget& budget);

  // Queues a datagram. Returns false if the budget is exhausted or the local member is superseded.
  bool Send(PeerId to, Priority priority, const Draft& draft);
  // Returns the datagrams queued since the last call.
  std::vector<Datagram> TakeDatagrams() { return std::exchange(out_, {}); }

  [[nodiscard]] std::uint32_t group() const { return group_; }

 private:
  Context& context_;
  const MemberTable& table_;
  GossipQueue& gossip_;
  ViewSync& sync_;
  SendBudget& budget_;
  std::uint32_t group_;
  std::vector<Datagram> out_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_DATAGRAM_SENDER_H_
