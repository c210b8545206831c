// Which upstreams a gateway uses, so that what all gateways choose adds up: each node gets its fair
// share of gateways. Free of I/O and clock. Design: docs/concert-design.md.
//
// Promises, for gateways that hold the same members and nodes:
//  - each node lies under the same number of arcs, weighed by how much of it each covers; the number of
//    gateways that use it is within one of the mean among nodes of one weight;
//  - a gateway or a node that comes or goes changes two places of any subset at most, and where there are
//  fewer
//    gateways than nodes two for each node that a gateway's spacing is wide (the optimum is one);
//  - `least` ready nodes of each zone are in each subset, or all that there are; a node that is not ready is
//  in none
//    as soon as the list says so.
// With members that differ, arcs are off by the difference, and no node is left out by more than that.
//
// Cost: sorting the nodes at each call; called at changes of the list or of the members.
#ifndef POSTSPREAD_SUBSETTING_SUBSET_H_
#define POSTSPREAD_SUBSETTING_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace postspread::subsetting {

// What an operator sets: the block `concert`.
struct Limits {
  bool subsets = false;
  std::size_t nodes = 6;  // of the own zone, at least
  std::size_t least = 2;  // of each other zone, at least
  bool operator==(const Limits&) const = default;
};

// This gateway among those that live.
struct RingPosition {
  std::size_t index = 0;
  std::size_t count = 1;
};
// In the order of a hash of names, as all members use it.
RingPosition RingPositionOf(std::string_view own, const std::vector<std::string>& members);

struct Node {
  std::string name;
  std::string zone;
  std::int64_t pod = 0;
  double weight = 1;
  bool ready = true;
};

struct Assignment {
  std::size_t node = 0;  // in the list handed in
  double share = 1;      // of the node, that this gateway's arc covers
};

// `by_pod`: pods are taken whole. Without zones all nodes are of one.
std::vector<Assignment> Subset(const Limits& limits, const RingPosition& position, std::string_view own_zone,
                               bool by_pod, const std::vector<Node>& nodes);

}  // namespace postspread::subsetting

#endif  // POSTSPREAD_SUBSETTING_SUBSET_H_
