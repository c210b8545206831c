// Deterministic subsetting: selects the upstreams that a gateway uses, so that the choices of all gateways
// together give each upstream an equal number of gateways. This module has no I/O and no clock. Design:
// docs/concert-design.md.
//
// Gateways and upstreams are placed on a ring; a gateway uses the upstreams that its arc covers.
//
// Guarantees for gateways with the same members and upstreams:
//  - Each upstream is covered by the same number of arcs, weighted by the fraction that each arc covers.
//  - The number of gateways that use an upstream is within one of the mean for upstreams of its weight.
//  - A gateway or an upstream that is added or removed changes at most two upstreams of any subset. With
//    fewer gateways than upstreams, it changes at most two for each upstream between two adjacent gateways.
//    The optimum is one.
//  - A subset contains `min_other_zone` ready upstreams of each zone or more, or all if there are fewer.
//  - An upstream that is not ready is in no subset.
// If gateways differ in their members, the error of the arcs, and of the coverage of any upstream, is bounded
// by that difference.
//
// Cost: each call sorts the upstreams. Call it when the endpoint list or the members change.
#ifndef POSTSPREAD_SUBSETTING_SUBSET_H_
#define POSTSPREAD_SUBSETTING_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace postspread::subsetting {

// Settings of the operator file's block `concert`.
struct Limits {
  bool subsets = false;            // if false, each gateway uses all upstreams
  std::size_t min_own_zone = 6;    // minimum number of upstreams of the gateway's own zone
  std::size_t min_other_zone = 2;  // minimum number of upstreams of each other zone
  bool operator==(const Limits&) const = default;
};

// The index of the local gateway among the `count` live ones on the ring.
struct RingPosition {
  std::size_t index = 0;
  std::size_t count = 1;
};

// Returns the position of `own` in the order of a hash of the names, which is the same on all members.
// `members` may or may not contain `own`.
RingPosition RingPositionOf(std::string_view own, const std::vector<std::string>& members);

struct Upstream {
  std::string name;
  std::string zone;  // empty for all upstreams if there are no zones
  std::int64_t cell = 0;
  double weight = 1;
  bool ready = true;
};

// The unit of assignment: a single upstream, or all upstreams of a cell.
enum class Grouping : std::uint8_t { kSingle, kByCell };

struct Assignment {
  std::size_t upstream = 0;  // index in the list passed to Subset
  double fraction = 1;       // fraction of the upstream that the gateway's arc covers
};

// Returns the upstreams that the gateway uses.
std::vector<Assignment> Subset(const Limits& limits, const RingPosition& position, std::string_view own_zone,
                               Grouping grouping, const std::vector<Upstream>& upstreams);

}  // namespace postspread::subsetting

#endif  // POSTSPREAD_SUBSETTING_SUBSET_H_
