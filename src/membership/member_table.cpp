#include "membership/member_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace postspread::membership {
namespace {

constexpr std::size_t kMaxRecentMembers = 4;

}  // namespace

State LocalState(const MemberRecord& record) {
  const bool suspected = record.suspicion.active && record.update.state == State::kAlive;
  return suspected ? State::kSuspect : record.update.state;
}

MemberTable::MemberTable(Context& context, const Self& self, TimePoint now) : context_(context) {
  self_.name = self.name;
  self_.digest = DigestName(self.name);
  self_.peer = self.peer;
  self_.update.incarnation = self.incarnation;
  self_.since = now;
  by_digest_.push_back(&self_);
  UpdateHash(BucketOf(self_.digest), 0, HashOf(self_));
}

void MemberTable::SetOwnUpdate(const MemberUpdate& update) {
  const std::uint64_t before = HashOf(self_);
  self_.update = update;
  UpdateHash(BucketOf(self_.digest), before, HashOf(self_));
}

MemberRecord* MemberTable::Find(std::string_view name) {
  const auto found = others_.find(name);
  return found == others_.end() ? nullptr : &found->second;
}

MemberRecord& MemberTable::Insert(const std::string& name, PeerId peer) {
  MemberRecord& record = others_[name];
  record.name = name;
  record.digest = DigestName(name);
  record.peer = peer;
  const auto at = std::upper_bound(
      by_digest_.begin(), by_digest_.end(), record.digest,
      [](std::uint64_t digest, const MemberRecord* other) { return digest < other->digest; });
  by_digest_.insert(at, &record);
  return record;
}

void MemberTable::Erase(MemberRecord& record) {
  std::erase(by_digest_, &record);
  OnChanged();
  others_.erase(others_.find(record.name));
}

MemberRecord* MemberTable::OldestDeparted() {
  MemberRecord* oldest = nullptr;
  for (auto& [name, record] : others_) {
    if (IsLive(record.update.state)) continue;
    if (oldest == nullptr || record.since < oldest->since) oldest = &record;
  }
  return oldest;
}

std::uint64_t MemberTable::HashOf(const MemberRecord& record) {
  return IsLive(record.update.state) ? DigestMember(record.name, record.update.incarnation) : 0;
}

void MemberTable::OnUpdated(const MemberRecord& record, std::uint64_t hash_before) {
  UpdateHash(BucketOf(record.digest), hash_before, HashOf(record));
  OnChanged();
}

void MemberTable::UpdateHash(std::size_t bucket, std::uint64_t before, std::uint64_t after) {
  if (before == after) return;
  hash_ ^= before ^ after;
  buckets_[bucket] ^= before ^ after;
  ++context_.counts.view_changes;
}

void MemberTable::OnChanged() {
  caches_stale_ = true;
  ++generation_;
}

BucketHashes MemberTable::bucket_hashes() const {
  BucketHashes out;
  std::transform(buckets_.begin(), buckets_.end(), out.begin(),
                 [](std::uint64_t bucket) { return static_cast<std::uint16_t>(bucket); });
  return out;
}

const std::vector<MemberRecord*>& MemberTable::Live() {
  RefreshCaches();
  return live_;
}

const std::vector<MemberRecord*>& MemberTable::Recent() {
  RefreshCaches();
  return recent_;
}

void MemberTable::RefreshCaches() {
  if (!std::exchange(caches_stale_, false)) return;
  live_.clear();
  for (auto& [name, record] : others_) {
    if (IsLive(record.update.state)) live_.push_back(&record);
  }
  recent_ = by_digest_;
  const auto count = static_cast<std::ptrdiff_t>(std::min(recent_.size(), kMaxRecentMembers));
  std::partial_sort(recent_.begin(), recent_.begin() + count, recent_.end(),
                    [](const MemberRecord* a, const MemberRecord* b) { return a->since > b->since; });
  recent_.resize(static_cast<std::size_t>(count));
}

std::vector<MemberRecord*> MemberTable::Sample(std::size_t count, std::string_view except) {
  RefreshCaches();
  std::vector<MemberRecord*> out;
  std::copy_if(live_.begin(), live_.end(), std::back_inserter(out), [except](const MemberRecord* record) {
    return !record->suspicion.active && record->name != except;
  });
  for (std::size_t i = 0; i < out.size() && i < count; ++i) {
    std::swap(out[i], out[i + context_.RandomBelow(out.size() - i)]);
  }
  out.resize(std::min(out.size(), count));
  return out;
}

View MemberTable::Snapshot() const {
  View out{context_.counts.view_changes, hash_, {}};
  out.members.push_back({self_.name, self_.peer, self_.update, self_.since});
  for (const auto& [name, record] : others_) {
    out.members.push_back({name, record.peer, record.update, record.since});
    out.members.back().update.state = LocalState(record);
  }
  std::sort(out.members.begin(), out.members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  return out;
}

std::optional<MemberUpdate> MemberTable::At(PeerId peer) const {
  std::optional<MemberUpdate> out;
  for (const auto& [name, record] : others_) {
    if (record.peer != peer || (out && out->incarnation >= record.update.incarnation)) continue;
    out = record.update;
    out->state = LocalState(record);
  }
  return out;
}

}  // namespace postspread::membership
