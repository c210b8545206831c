#include "discovery/address_owners.h"

namespace postspread::discovery {

AddressOwners::Decision AddressOwners::OnAdded(const Claim& claim) {
  const auto own = addresses_.find(claim.name);
  const bool has_moved = own != addresses_.end() && own->second != claim.address;
  if (has_moved) OnRemoved(claim.name);
  const auto owner = owners_.find(claim.address);
  Decision decision{.is_owner = true};
  if (owner != owners_.end() && owner->second.name != claim.name) {
    const auto lost = displaced_addresses_.find(claim.name);
    const bool has_lost_it = lost != displaced_addresses_.end() && lost->second == claim.address;
    const bool is_later = claim.started > owner->second.started;
    const bool is_newer_claim = claim.started == owner->second.started && !has_lost_it;
    if (!is_later && !is_newer_claim) {
      displaced_addresses_[claim.name] = claim.address;
      return {};
    }
    decision.displaced = owner->second.name;
    addresses_.erase(owner->second.name);
    displaced_addresses_[owner->second.name] = claim.address;
  }
  displaced_addresses_.erase(claim.name);
  owners_[claim.address] = claim;
  addresses_[claim.name] = claim.address;
  return decision;
}

void AddressOwners::OnRemoved(const std::string& name) {
  displaced_addresses_.erase(name);
  const auto own = addresses_.find(name);
  if (own == addresses_.end()) return;
  owners_.erase(own->second);
  addresses_.erase(own);
}

void AddressOwners::Clear() {
  owners_.clear();
  addresses_.clear();
  displaced_addresses_.clear();
}

}  // namespace postspread::discovery
