#include "membership/update_merger.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace postspread::membership {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxFlaps = 5;
constexpr int kFlapDecayPeriods = 60;  // The count of flaps falls by one in this time.
// The clocks of a group's members differ by at most this.
constexpr std::chrono::hours kMaxClockSkew{24};
// Beyond this many refutations a member goes on with the next incarnation.
constexpr std::uint32_t kMaxRefutations = (1U << 30) - 1;

}  // namespace

UpdateMerger::UpdateMerger(Context& context, MemberTable& table, GossipQueue& gossip, UnoccupiedPeers& peers,
                           LocalHealth& health, EventLog& events, Succession succession)
    : context_(context),
      table_(table),
      gossip_(gossip),
      peers_(peers),
      health_(health),
      events_(events),
      succession_(succession) {}

void UpdateMerger::Apply(const Entry& entry, std::optional<PeerId> sent_from, TimePoint now) {
  if (entry.update.incarnation == 0) {
    ++context_.counts.unreadable;
    return;
  }
  if (entry.name == table_.self().name) {
    ApplyToSelf(entry, now);
    return;
  }
  if (IsInFuture(entry.update, now)) {
    ++context_.counts.future;
    return;
  }
  if (MemberRecord* known = table_.Find(entry.name); known != nullptr) {
    ApplyToKnown(*known, entry, sent_from, now);
  } else {
    ApplyToNew(entry, sent_from.value_or(entry.peer), now);
  }
}

// Returns whether the incarnation is later than any correct clock can have produced. A later incarnation
// takes precedence over all earlier ones, so such an incarnation would occupy the name forever.
bool UpdateMerger::IsInFuture(const MemberUpdate& update, TimePoint now) const {
  return milliseconds(update.incarnation) > std::chrono::duration_cast<milliseconds>(now) + kMaxClockSkew;
}

UpdateMerger::Origin UpdateMerger::OriginOf(const Entry& entry) {
  return entry.kind == EntryKind::kGossip ? Origin::kGossip : Origin::kSync;
}

void UpdateMerger::ApplyToNew(const Entry& entry, PeerId peer, TimePoint now) {
  if (!EnsureCapacity()) {
    ++context_.counts.over_capacity;
    return;
  }
  SetUpdate(table_.Insert(entry.name, peer), entry.update, OriginOf(entry), now);
}

void UpdateMerger::ApplyToKnown(MemberRecord& record, const Entry& entry, std::optional<PeerId> sent_from,
                                TimePoint now) {
  const MemberUpdate& known = record.update;
  MemberUpdate update = entry.update;
  if (!context_.HasDefense(DisabledDefense::kIncarnations)) update.incarnation = known.incarnation;
  const bool is_former = update.incarnation < known.incarnation;
  if (sent_from && is_former && *sent_from != record.peer && IsLive(known.state)) {
    ++context_.counts.name_conflicts;
    events_.Log("two processes are named \"" + record.name + "\": the one started later counts", now);
  }
  if (!(known < update)) return;
  if (sent_from || update.incarnation > known.incarnation) record.peer = sent_from.value_or(entry.peer);
  SetUpdate(record, update, OriginOf(entry), now);
}

void UpdateMerger::ApplyToSelf(const Entry& entry, TimePoint now) {
  if (table_.has_left()) return;
  const MemberUpdate& own = table_.self().update;
  if (entry.update.incarnation > own.incarnation) {
    OnLaterIncarnationOfSelf(entry, now);
  } else if (entry.update.incarnation == own.incarnation && own < entry.update &&
             context_.HasDefense(DisabledDefense::kRefutation)) {
    Refute(entry.update);
  }
}

// Handles a later incarnation under the local member's name. Either another process was started later, or an
// earlier one was started on a clock that was ahead.
void UpdateMerger::OnLaterIncarnationOfSelf(const Entry& entry, TimePoint now) {
  const MemberRecord& self = table_.self();
  if (entry.peer != self.peer) {
    ++context_.counts.name_conflicts;
    events_.Log("another process is named \"" + self.name + "\", like this one, and was started later", now);
    return;
  }
  if (IsInFuture(entry.update, now)) {
    ++context_.counts.future;
    return;
  }
  if (succession_ == Succession::kAllowed) {
    if (!table_.superseded()) events_.Log("a later process has taken over in the membership view", now);
    table_.SetSuperseded();
    return;
  }
  // No other process can be at this address, so an earlier one on a clock that was ahead has left the entry.
  ++context_.counts.own_refutations;
  AnnounceSelf({entry.update.incarnation + 1, 0, State::kAlive});
}

void UpdateMerger::Refute(const MemberUpdate& update) {
  MemberUpdate own = table_.self().update;
  if (update.refutations >= kMaxRefutations) {
    own = {own.incarnation + 1, 0, State::kAlive};
  } else {
    own.refutations = update.refutations + 1;
  }
  ++context_.counts.own_refutations;
  health_.Degrade();
  AnnounceSelf(own);
}

void UpdateMerger::AnnounceSelf(const MemberUpdate& update) {
  table_.SetOwnUpdate(update);
  gossip_.Enqueue(table_.self());
}

void UpdateMerger::Leave(TimePoint now) {
  MemberUpdate update = table_.self().update;
  ++update.refutations;
  update.state = State::kLeft;
  table_.self().since = now;
  AnnounceSelf(update);
}

void UpdateMerger::DeclareDead(MemberRecord& record, TimePoint now) {
  ++context_.counts.deaths_declared;
  MemberUpdate update = record.update;
  update.state = State::kDead;
  SetUpdate(record, update, Origin::kDetected, now);
}

void UpdateMerger::SetUpdate(MemberRecord& record, const MemberUpdate& update, Origin origin, TimePoint now) {
  const bool was_unknown = record.update.incarnation == 0;
  const std::uint64_t hash_before = was_unknown ? 0 : MemberTable::HashOf(record);
  const State state_before = LocalState(record);
  const MemberUpdate before = std::exchange(record.update, update);
  const bool is_new = before.incarnation != update.incarnation;
  if (is_new) {
    record.flaps = 0;
  } else if (before.state == State::kDead && update.state == State::kAlive) {
    record.flaps = std::min(record.flaps + 1, kMaxFlaps);
    record.flapped_at = now;
  }
  record.suspicion.active = false;
  if (origin != Origin::kSync) {
    gossip_.Enqueue(record);
  } else if (!was_unknown) {
    gossip_.EnqueueSynced(record);
  }
  if (!is_new && before.state == update.state) return;
  record.since = now;
  events_.Add({.name = record.name,
               .incarnation = update.incarnation,
               .from = state_before,
               .to = update.state,
               .is_new = is_new,
               .by_self = origin == Origin::kDetected});
  table_.OnUpdated(record, hash_before);
}

bool UpdateMerger::EnsureCapacity() {
  if (!table_.IsFull()) return true;
  MemberRecord* oldest = table_.OldestDeparted();
  if (oldest == nullptr) return false;
  Remove(*oldest);
  return true;
}

void UpdateMerger::Remove(MemberRecord& record) {
  gossip_.Remove(record);
  // A member that left does not return by itself, but a member that seems dead may be behind a partition.
  if (record.update.state == State::kDead) peers_.AddFormer(record.peer);
  table_.Erase(record);
}

void UpdateMerger::Expire(TimePoint now) {
  std::vector<MemberRecord*> expired;
  for (auto& [name, record] : table_.others()) {
    if (record.flaps > 0 && now - record.flapped_at > kFlapDecayPeriods * context_.Period()) {
      --record.flaps;
      record.flapped_at = now;
    }
    const bool is_departed = !IsLive(record.update.state);
    if (is_departed && now - record.since > Duration(context_.limits.forget)) expired.push_back(&record);
  }
  for (MemberRecord* record : expired) Remove(*record);
}

}  // namespace postspread::membership
