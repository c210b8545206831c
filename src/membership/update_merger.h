// UpdateMerger merges updates into the member table: those that other members send, including those about the
// local member, and those that the local member detects itself. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_UPDATE_MERGER_H_
#define POSTSPREAD_MEMBERSHIP_UPDATE_MERGER_H_

#include <cstdint>
#include <optional>

#include "membership/context.h"
#include "membership/event_log.h"
#include "membership/gossip_queue.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/unoccupied_peers.h"

namespace postspread::membership {

// Whether a later process may take over the local member's address.
enum class Succession : std::uint8_t { kForbidden, kAllowed };

class UpdateMerger {
 public:
  UpdateMerger(Context& context, MemberTable& table, GossipQueue& gossip, UnoccupiedPeers& peers,
               LocalHealth& health, EventLog& events, Succession succession);

  // Merges an entry. `sent_from` is the source address of the datagram if the entry's member itself sent it.
  void Apply(const Entry& entry, std::optional<PeerId> sent_from, TimePoint now);
  // Records that the local member has confirmed this member's death.
  void DeclareDead(MemberRecord& record, TimePoint now);
  // Announces that the local member leaves.
  void Leave(TimePoint now);
  // Removes members that died or left longer ago than Limits::forget, and decays the counts of flaps.
  void Expire(TimePoint now);

 private:
  // The source of a member's update.
  enum class Origin : std::uint8_t { kGossip, kSync, kDetected };

  static Origin OriginOf(const Entry& entry);
  [[nodiscard]] bool IsInFuture(const MemberUpdate& update, TimePoint now) const;
  void ApplyToNew(const Entry& entry, PeerId peer, TimePoint now);
  void ApplyToKnown(MemberRecord& record, const Entry& entry, std::optional<PeerId> sent_from, TimePoint now);
  void ApplyToSelf(const Entry& entry, TimePoint now);
  void OnLaterIncarnationOfSelf(const Entry& entry, TimePoint now);
  void Refute(const MemberUpdate& update);
  void AnnounceSelf(const MemberUpdate& update);
  void SetUpdate(MemberRecord& record, const MemberUpdate& update, Origin origin, TimePoint now);
  // Evicts a dead or left member if the table is full. Returns whether there is capacity for a new one.
  bool EnsureCapacity();
  void Remove(MemberRecord& record);

  Context& context_;
  MemberTable& table_;
  GossipQueue& gossip_;
  UnoccupiedPeers& peers_;
  LocalHealth& health_;
  EventLog& events_;
  Succession succession_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_UPDATE_MERGER_H_
