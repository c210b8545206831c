// UnoccupiedPeers lists the addresses at which no live member is known: those of seeds, of dead members and
// of dead members that have been removed. They are contacted forever, since a partition may heal after any
// time. The Membership owns it.
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

  // Adds the address of a dead member that is removed from the table. The latest kMaxMembers addresses are
  // retained.
  void AddFormer(PeerId peer);

  // Returns the addresses in ascending order.
  const std::vector<PeerId>& Addresses();

 private:
  const MemberTable& table_;
  std::vector<PeerId> seeds_;
  std::deque<PeerId> former_;
  std::vector<PeerId> cached_;
  // The table had this generation when cached_ was computed.
  std::optional<std::uint64_t> cached_generation_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_UNOCCUPIED_PEERS_H_
