// MemberTable holds the members as the local one knows them, the hash of this view, and the orders in which
// members are visited. The Membership owns it. It holds at most kMaxMembers members.
#ifndef POSTSPREAD_MEMBERSHIP_MEMBER_TABLE_H_
#define POSTSPREAD_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/context.h"
#include "membership/digest.h"
#include "membership/types.h"

namespace postspread::membership {

// The local member's suspicion of another one.
struct Suspicion {
  bool active = false;
  TimePoint started_at{0};
  TimePoint last_confirmation_at{0};  // The last confirmation probe was sent at this time.
  int confirmations = 0;              // the confirmation probes sent since the suspicion began
};

struct MemberRecord {
  std::string name;
  std::uint64_t digest = 0;  // DigestName
  PeerId peer = 0;
  MemberUpdate update;
  TimePoint since{0};  // The state, incarnation or suspicion last changed at this time.
  Suspicion suspicion;
  // The member was last sent an update about itself, which it has to refute, at this time.
  TimePoint notified_at{0};
  // The member has refuted this many deaths recently. The count decays.
  int flaps = 0;
  TimePoint flapped_at{0};
  bool queued = false;    // The record is in the gossip queue.
  int transmissions = 0;  // how often the update has been sent
};

// Returns the member's state in the local view: the state in its update, or kSuspect.
[[nodiscard]] State LocalState(const MemberRecord& record);

// A pointer to a record is valid until the record is erased.
class MemberTable {
 public:
  MemberTable(Context& context, const Self& self, TimePoint now);

  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  // Returns the record of the local member, which Find, Sample, Live and others() exclude.
  MemberRecord& self() { return self_; }
  [[nodiscard]] const MemberRecord& self() const { return self_; }
  void SetOwnUpdate(const MemberUpdate& update);
  [[nodiscard]] bool has_left() const { return self_.update.state == State::kLeft; }
  // Records that a successor process has taken over the name and address. The local member sends nothing from
  // then on.
  void SetSuperseded() { superseded_ = true; }
  [[nodiscard]] bool superseded() const { return superseded_; }
  // Returns whether the local member detects failures. It does not after it has left or was superseded.
  [[nodiscard]] bool detects_failures() const { return !has_left() && !superseded_; }

  // Returns nullptr if the member is unknown.
  MemberRecord* Find(std::string_view name);
  [[nodiscard]] bool IsFull() const { return others_.size() + 1 >= kMaxMembers; }
  // Adds a member, whose update the caller sets.
  MemberRecord& Insert(const std::string& name, PeerId peer);
  // Removes a member that is not live.
  void Erase(MemberRecord& record);
  // Returns the member that has been dead or left for longest, or nullptr if all are live.
  MemberRecord* OldestDeparted();

  // Returns the member's contribution to the view's hash, which is 0 unless the member is live.
  [[nodiscard]] static std::uint64_t HashOf(const MemberRecord& record);
  // Updates the hashes after a change of the record's state or incarnation. Before it HashOf was
  // `hash_before`.
  void OnUpdated(const MemberRecord& record, std::uint64_t hash_before);

  // Returns the number of changes so far by OnUpdated and Erase, by which callers validate their caches.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  [[nodiscard]] BucketHashes bucket_hashes() const;

  // All other members, sorted by name.
  std::map<std::string, MemberRecord, std::less<>>& others() { return others_; }
  [[nodiscard]] const std::map<std::string, MemberRecord, std::less<>>& others() const { return others_; }
  // Returns the other live members, sorted by name.
  const std::vector<MemberRecord*>& Live();
  // Returns the members that changed last, latest first, as of the last call of OnUpdated or Erase.
  const std::vector<MemberRecord*>& Recent();
  // Returns all members sorted by digest, including the local one.
  [[nodiscard]] const std::vector<MemberRecord*>& by_digest() const { return by_digest_; }
  // Returns up to `count` random other members that are live and not suspected, except for the one named
  // `except`.
  std::vector<MemberRecord*> Sample(std::size_t count, std::string_view except = {});
  // Recomputes the results of Live and Recent if the table has changed.
  void RefreshCaches();

  [[nodiscard]] View Snapshot() const;
  // Returns the update of another member at this address, of the latest incarnation if there were several.
  [[nodiscard]] std::optional<MemberUpdate> At(PeerId peer) const;

 private:
  void UpdateHash(std::size_t bucket, std::uint64_t before, std::uint64_t after);
  void OnChanged();

  Context& context_;
  MemberRecord self_;
  bool superseded_ = false;
  std::map<std::string, MemberRecord, std::less<>> others_;
  std::vector<MemberRecord*> by_digest_;
  std::uint64_t hash_ = 0;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t generation_ = 0;
  bool caches_stale_ = true;
  std::vector<MemberRecord*> live_;
  std::vector<MemberRecord*> recent_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_MEMBER_TABLE_H_
