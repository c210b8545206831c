// Addresses at which no live member is known: of seeds, of dead members and of dead ones that have been
// removed. They are contacted for ever, since a partition may heal after any time.
#ifndef POSTSPREAD_MEMBERSHIP_UNOCCUPIED_PEERS_H_
#define POSTSPREAD_MEMBERSHIP_UNOCCUPIED_PEERS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "membership/member_table.h"
#include "membership/types.h"

namespace postspread::membership {

class UnoccupiedPeers {
 public:
  UnoccupiedPeers(const MemberTable& table, std::vector<PeerId> seeds);

  // A dead member is removed from the table: its address stays. Of kMaxMembers addresses the latest ones do.
  void Remember(PeerId peer);

  // In ascending order.
  const std::vector<PeerId>& Get();

 private:
  const MemberTable& table_;
  std::vector<PeerId> seeds_;
  std::deque<PeerId> former_;
  std::vector<PeerId> cached_;
  std::optional<std::uint64_t> cached_generation_;  // of the table
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_UNOCCUPIED_PEERS_H_
