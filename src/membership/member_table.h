// The members as the local one knows them, the hash of the view over them, and the orders in which they are
// visited.
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
  TimePoint last_confirmation_at{0};  // when it was last sent a confirmation probe
  int confirmations = 0;              // probes sent in vain since it was suspected
};

struct MemberRecord {
  std::string name;
  std::uint64_t digest = 0;  // DigestName
  PeerId peer = 0;
  MemberUpdate update;
  TimePoint since{0};  // when state, incarnation or suspicion last changed
  Suspicion suspicion;
  TimePoint notified_at{0};  // when it was last sent an update about itself that it has to refute
  int flaps = 0;             // deaths that it refuted; decays
  TimePoint flapped_at{0};
  bool queued = false;    // in the gossip queue ...
  int transmissions = 0;  // ... and sent this often
};

// Its state in the local view: as gossiped, or kSuspect.
[[nodiscard]] State LocalState(const MemberRecord& record);

// Pointers to records are valid until the record is erased.
class MemberTable {
 public:
  MemberTable(Context& context, const Self& self, TimePoint now);

  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  // The local member, which Find, Sample and the other members' lists leave out.
  MemberRecord& self() { return self_; }
  [[nodiscard]] const MemberRecord& self() const { return self_; }
  void SetOwnUpdate(const MemberUpdate& update);
  [[nodiscard]] bool has_left() const { return self_.update.state == State::kLeft; }
  // Another process has taken over the local member's name and address: nothing is sent any more.
  void SetSuperseded() { superseded_ = true; }
  [[nodiscard]] bool superseded() const { return superseded_; }
  // A member that leaves or is superseded detects no failures.
  [[nodiscard]] bool detects_failures() const { return !has_left() && !superseded_; }

  // nullptr: unknown.
  MemberRecord* Find(std::string_view name);
  [[nodiscard]] bool IsFull() const { return others_.size() + 1 >= kMaxMembers; }
  // Adds a member without an update.
  MemberRecord& Insert(const std::string& name, PeerId peer);
  // Removes a member that is not live.
  void Erase(MemberRecord& record);
  // Of those dead or left the one that has been so for longest; nullptr: all are live.
  MemberRecord* OldestDeparted();

  // The part of the view's hash that is this member's: 0 unless it is live.
  [[nodiscard]] static std::uint64_t HashOf(const MemberRecord& record);
  // The record's state or incarnation has changed; HashOf was `hash_before`.
  void OnUpdated(const MemberRecord& record, std::uint64_t hash_before);

  // Counts changes that OnUpdated and Erase make known, for caches outside.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  [[nodiscard]] BucketHashes bucket_hashes() const;

  // All others, by name.
  std::map<std::string, MemberRecord, std::less<>>& others() { return others_; }
  [[nodiscard]] const std::map<std::string, MemberRecord, std::less<>>& others() const { return others_; }
  // Other members that are live, by name.
  const std::vector<MemberRecord*>& Live();
  // The members that changed last, the latest first, as of the last change of a state.
  const std::vector<MemberRecord*>& Recent();
  // All members, the local one included, by digest.
  [[nodiscard]] const std::vector<MemberRecord*>& by_digest() const { return by_digest_; }
  // Up to `count` random live members that are not suspected, without the one named `except`.
  std::vector<MemberRecord*> Sample(std::size_t count, std::string_view except = {});
  // Brings Live and Recent up to date.
  void RefreshCaches();

  [[nodiscard]] View Snapshot() const;
  // The update of the member at this address: of the latest incarnation if several were there.
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
