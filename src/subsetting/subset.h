// Deterministic subsetting: which upstreams a gateway uses, so that the choices of all gateways add up to an
// equal share of gateways for each upstream. Free of I/O and clock. Design: docs/concert-design.md.
//
// Gateways and upstreams lie on a ring; a gateway uses the upstreams that its arc covers.
//
// Promises, for gateways with the same members and upstreams:
//  - each upstream lies under the same number of arcs, weighted by how much of it each covers; the number of
//    gateways that use it is within one of the mean among upstreams of one weight;
//  - a gateway or an upstream that comes or goes changes at most two places of any subset or, where there are
//    fewer gateways than upstreams, two for each upstream that lies between two gateways (the optimum is
//    one);
//  - at least `least` ready upstreams of each zone are in each subset, or all that there are; an upstream
//  that
//    is not ready is in none.
// With members that differ, arcs are off by the difference, and no upstream is left out by more than that.
//
// Cost: sorting the upstreams at each call; called at changes of the endpoint list or of the members.
#ifndef POSTSPREAD_SUBSETTING_SUBSET_H_
#define POSTSPREAD_SUBSETTING_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace postspread::subsetting {

// The operator file's block `concert`.
struct Limits {
  bool subsets = false;   // else all upstreams are used
  std::size_t nodes = 6;  // of the own zone, at least
  std::size_t least = 2;  // of each other zone, at least
  bool operator==(const Limits&) const = default;
};

// The local gateway among the live ones, of which there are `count`.
struct RingPosition {
  std::size_t index = 0;
  std::size_t count = 1;
};

// In the order of a hash of names, which all members compute alike. `members` may hold `own` or not.
RingPosition RingPositionOf(std::string_view own, const std::vector<std::string>& members);

struct Upstream {
  std::string name;
  std::string zone;  // empty in all: there are no zones
  std::int64_t cell = 0;
  double weight = 1;
  bool ready = true;
};

// What is chosen or left out as one.
enum class Grouping : std::uint8_t { kSingle, kByCell };

struct Assignment {
  std::size_t upstream = 0;  // index in the list handed in
  double fraction = 1;       // of it that the gateway's arc covers
};

// The upstreams that the gateway uses.
std::vector<Assignment> Subset(const Limits& limits, const RingPosition& position, std::string_view own_zone,
                               Grouping grouping, const std::vector<Upstream>& upstreams);

}  // namespace postspread::subsetting

#endif  // POSTSPREAD_SUBSETTING_SUBSET_H_
