#include "membership/unoccupied_peers.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace postspread::membership {

UnoccupiedPeers::UnoccupiedPeers(const MemberTable& table, std::vector<PeerId> seeds)
    : table_(table), seeds_(std::move(seeds)) {}

void UnoccupiedPeers::AddFormer(PeerId peer) {
  if (former_.size() >= kMaxMembers) former_.pop_front();
  former_.push_back(peer);
}

const std::vector<PeerId>& UnoccupiedPeers::Addresses() {
  if (cached_generation_ == table_.generation()) return cached_;
  cached_generation_ = table_.generation();
  std::set<PeerId> occupied{table_.self().peer};
  std::set<PeerId> candidates(seeds_.begin(), seeds_.end());
  candidates.insert(former_.begin(), former_.end());
  for (const auto& [name, record] : table_.others()) {
    if (IsLive(record.update.state)) occupied.insert(record.peer);
    if (record.update.state == State::kDead) candidates.insert(record.peer);
  }
  cached_.clear();
  std::set_difference(candidates.begin(), candidates.end(), occupied.begin(), occupied.end(),
                      std::back_inserter(cached_));
  return cached_;
}

}  // namespace postspread::membership
