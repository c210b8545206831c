// Dissemination: recent updates ride on every datagram until each has been sent a bounded number of times.
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

  // The member's update is new: it is sent from the beginning.
  void Enqueue(MemberRecord& record);
  // The update came by synchronization, so many know it already: it is sent a few times only.
  void EnqueueSynced(MemberRecord& record);
  // Before the record is erased.
  void Remove(MemberRecord& record);
  // Adds what fits, without the record that the datagram holds already (or nullptr).
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
