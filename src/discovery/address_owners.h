// Decides which upstream an address belongs to. A new process may come up at the address of one that has
// gone, before the endpoint list tells that the old one is gone. It does no I/O and reads no clock.
#ifndef POSTSPREAD_DISCOVERY_ADDRESS_OWNERS_H_
#define POSTSPREAD_DISCOVERY_ADDRESS_OWNERS_H_

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

namespace postspread::discovery {

// An address belongs to one upstream at a time: to the one that started later, and among equals to the one
// that was listed there later. It holds one entry for each listed upstream.
class AddressOwners {
 public:
  struct Claim {
    std::string name;
    std::string address;
    std::chrono::milliseconds started{0};  // as in the endpoint list
  };
  struct Decision {
    bool is_owner = false;
    std::optional<std::string> displaced{};  // the upstream that owned the address until now
  };
  // Records that the endpoint list has an upstream at an address, and decides which upstream owns the
  // address.
  Decision OnAdded(const Claim& claim);
  void OnRemoved(const std::string& name);
  void Clear();

 private:
  std::unordered_map<std::string, Claim> owners_;                     // by address
  std::unordered_map<std::string, std::string> addresses_;            // of the owners, by name
  std::unordered_map<std::string, std::string> displaced_addresses_;  // lost by others, by name
};

}  // namespace postspread::discovery

#endif  // POSTSPREAD_DISCOVERY_ADDRESS_OWNERS_H_
