// GossipQueue disseminates recent updates: they are piggybacked on every datagram until each has been sent a
// bounded number of times. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_GOSSIP_QUEUE_H_
#define POSTSPREAD_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <vector>

#include "membership/context.h"
#include "membership/member_table.h"
#include "membership/wire.h"

namespace postspread::membership {

class GossipQueue {
 public:
  GossipQueue(const Context& context, MemberTable& table);

  // Adds a member whose update is new. It is sent up to the full limit.
  void Enqueue(MemberRecord& record);
  // Adds a member whose update came by synchronization. It is sent a few times only, since many members know
  // it.
  void EnqueueSynced(MemberRecord& record);
  // Removes a member. It must be called before the record is erased.
  void Remove(MemberRecord& record);
  // Adds entries to the datagram while they fit. Skips the member `present`, if not nullptr, whose entry the
  // datagram already holds.
  void Piggyback(Writer& writer, const MemberRecord* present);
  [[nodiscard]] bool empty() const { return queue_.empty(); }

 private:
  void Add(MemberRecord& record, int transmissions);
  void SortByPrecedence();
  int TransmissionLimit();

  const Context& context_;
  MemberTable& table_;
  std::vector<MemberRecord*> queue_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_GOSSIP_QUEUE_H_
