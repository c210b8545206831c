// Merges updates into the member table: what others gossip about members, about the local one included, and
// what the local member has detected itself.
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

  // Merges an entry. `sent_from`: the address it came from, if the member itself sent it.
  void Apply(const Entry& entry, std::optional<PeerId> sent_from, TimePoint now);
  // The local member has confirmed that this one is dead.
  void DeclareDead(MemberRecord& record, TimePoint now);
  // Announces that the local member leaves.
  void Leave(TimePoint now);
  // Removes members that have been dead or left for long enough, and lets flaps decay.
  void Expire(TimePoint now);

 private:
  // How a member's update became known.
  enum class Origin : std::uint8_t { kGossip, kSync, kDetected };

  static Origin OriginOf(const Entry& entry);
  [[nodiscard]] bool IsInFuture(const MemberUpdate& update, TimePoint now) const;
  void ApplyToNew(const Entry& entry, PeerId peer, TimePoint now);
  void ApplyToKnown(MemberRecord& record, const Entry& entry, std::optional<PeerId> sent_from, TimePoint now);
  void ApplyToSelf(const Entry& entry, TimePoint now);
  void OnLaterSelf(const Entry& entry, TimePoint now);
  void Refute(const MemberUpdate& update);
  void AnnounceSelf(const MemberUpdate& update);
  void SetUpdate(MemberRecord& record, const MemberUpdate& update, Origin origin, TimePoint now);
  bool EvictRemovedMember();
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
