#include "membership/view_sync.h"

#include <algorithm>

namespace postspread::membership {
namespace {

// A difference counts as recent for this time.
constexpr int kRecentDifferencePeriods = 3;
// Known pairs of hashes are remembered so that a lasting difference, as between versions, does not cause
// exchanges forever.
constexpr std::size_t kMaxKnownDifferences = 8;

}  // namespace

ViewSync::ViewSync(const Context& context, MemberTable& table) : context_(context), table_(table) {}

bool ViewSync::OnViewHash(std::uint32_t remote_hash, TimePoint now) {
  const HashPair pair{static_cast<std::uint32_t>(table_.hash()), remote_hash};
  if (pair.own == pair.remote) return false;
  differed_at_ = now;
  const auto known = std::find(known_differences_.begin(), known_differences_.end(), pair);
  if (known == known_differences_.end()) {
    if (known_differences_.size() >= kMaxKnownDifferences) known_differences_.pop_front();
    known_differences_.push_back(pair);
    syncing_until_ = now + kRecentDifferencePeriods * context_.Period();
  }
  return true;
}

bool ViewSync::DifferedRecently(TimePoint now) const {
  return differed_at_.count() != 0 && now - differed_at_ < kRecentDifferencePeriods * context_.Period();
}

SyncPosition ViewSync::Fill(Writer& writer, const SyncRange& range) {
  for (const MemberRecord* record : table_.Recent()) {
    writer.Add(record->name, record->peer, record->update, EntryKind::kSync);
  }
  const std::vector<MemberRecord*>& members = table_.by_digest();
  const BucketHashes own_buckets = table_.bucket_hashes();
  auto at = std::lower_bound(members.begin(), members.end(), range.from,
                             [](const MemberRecord* record, SyncPosition position) {
                               return SyncPositionOf(record->digest) < position;
                             });
  for (std::size_t i = 0; i < members.size(); ++i, ++at) {
    if (at == members.end()) at = members.begin();
    const MemberRecord& record = **at;
    const std::size_t bucket = BucketOf(record.digest);
    if (range.remote_buckets != nullptr && (*range.remote_buckets)[bucket] == own_buckets[bucket]) continue;
    if (!writer.Add(record.name, record.peer, record.update, EntryKind::kSync)) {
      return SyncPositionOf(record.digest);
    }
  }
  return range.from;
}

SyncPosition ViewSync::ReceivePosition(std::uint64_t number) const {
  return receive_positions_[number % receive_positions_.size()];
}

void ViewSync::OnExchanged(std::uint64_t number, std::string_view last_name) {
  receive_positions_[number % receive_positions_.size()] = SyncPositionOf(DigestName(last_name));
}

}  // namespace postspread::membership
