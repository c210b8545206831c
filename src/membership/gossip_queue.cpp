#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>

namespace postspread::membership {
namespace {

// The limit of transmissions is this factor times log2 of the members, plus kExtraTransmissions.
constexpr double kTransmissionFactor = 1.2;
constexpr int kExtraTransmissions = 2;
constexpr int kMinTransmissions = 2;
constexpr int kSyncedTransmissions = 2;
// A datagram of 256 bytes, the default, holds fewer entries, so the rest of the queue need not be sorted.
constexpr std::size_t kMaxPiggyback = 24;

}  // namespace

GossipQueue::GossipQueue(const Context& context, MemberTable& table) : context_(context), table_(table) {}

void GossipQueue::Enqueue(MemberRecord& record) { Add(record, 0); }

void GossipQueue::EnqueueSynced(MemberRecord& record) {
  Add(record, std::max(0, TransmissionLimit() - kSyncedTransmissions));
}

void GossipQueue::Add(MemberRecord& record, int transmissions) {
  record.transmissions = transmissions;
  if (record.queued) return;
  record.queued = true;
  queue_.push_back(&record);
}

void GossipQueue::Remove(MemberRecord& record) { std::erase(queue_, &record); }

void GossipQueue::Piggyback(Writer& writer, const MemberRecord* present) {
  if (queue_.empty()) return;
  SortByPrecedence();
  for (MemberRecord* record : queue_) {
    if (record == present) continue;
    if (!writer.Add(record->name, record->peer, record->update, EntryKind::kGossip)) break;
    ++record->transmissions;
  }
  std::erase_if(queue_, [limit = TransmissionLimit()](MemberRecord* record) {
    if (record->transmissions < limit) return false;
    record->queued = false;
    return true;
  });
}

// Sorts by fewest transmissions, then by latest change, so that a new update is sent at once however long the
// queue is.
void GossipQueue::SortByPrecedence() {
  if (!context_.HasDefense(DisabledDefense::kGossipOrder)) return;
  const auto sorted = static_cast<std::ptrdiff_t>(std::min(queue_.size(), kMaxPiggyback));
  std::partial_sort(queue_.begin(), queue_.begin() + sorted, queue_.end(),
                    [](const MemberRecord* a, const MemberRecord* b) {
                      if (a->transmissions != b->transmissions) return a->transmissions < b->transmissions;
                      return a->since > b->since;
                    });
}

// Returns how often an update is sent. A long queue lowers the limit, since an update would otherwise be sent
// when it is no longer recent. Other members gossip it as well, and synchronization repairs what is missed.
int GossipQueue::TransmissionLimit() {
  const double log_members = static_cast<double>(std::bit_width(table_.Live().size() + 1));
  const double limit = kTransmissionFactor * log_members + kExtraTransmissions;
  const double datagrams = std::max(1.0, static_cast<double>(queue_.size()) / kMaxPiggyback);
  return std::max(kMinTransmissions, static_cast<int>(limit / datagrams));
}

}  // namespace postspread::membership
