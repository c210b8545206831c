#include "subsetting/subset.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace postspread::subsetting {
namespace {

// All ready upstreams are used if there are no more than this multiple of the required ones: a subset would
// save almost nothing.
constexpr double kUseAllFactor = 1.5;
constexpr double kMinFraction = 1e-9;  // a smaller fraction is a rounding error

std::uint64_t Digest(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

// Upstreams that are assigned together: one upstream or the upstreams of one cell.
struct Group {
  std::uint64_t order = 0;  // sort key on the ring
  double weight = 0;
  std::vector<std::size_t> upstreams;
};

struct Zone {
  std::vector<Group> groups;
  std::map<std::int64_t, std::size_t> group_of_cell;  // index in `groups`
  std::size_t ready = 0;
};

using Zones = std::map<std::string, Zone>;

Group& GroupOf(const Upstream& upstream, Grouping grouping, Zone& zone) {
  std::size_t index = zone.groups.size();
  if (grouping == Grouping::kByCell)
    index = zone.group_of_cell.try_emplace(upstream.cell, index).first->second;
  if (index == zone.groups.size()) zone.groups.emplace_back();
  return zone.groups[index];
}

// Returns the ready upstreams by zone, each zone in the order of the ring.
Zones GroupByZone(Grouping grouping, const std::vector<Upstream>& upstreams) {
  Zones zones;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const Upstream& upstream = upstreams[i];
    if (!upstream.ready) continue;
    Zone& zone = zones[upstream.zone];
    ++zone.ready;
    Group& group = GroupOf(upstream, grouping, zone);
    group.order = grouping == Grouping::kByCell ? Digest("pod " + std::to_string(upstream.cell))
                                                : Digest(upstream.name);
    group.weight += upstream.weight > 0 ? upstream.weight : 1;
    group.upstreams.push_back(i);
  }
  for (auto& [name, zone] : zones) {
    std::sort(zone.groups.begin(), zone.groups.end(),
              [](const Group& a, const Group& b) { return a.order < b.order; });
  }
  return zones;
}

// Returns how many upstreams of each other zone are required. If the gateway has no zone, or fewer than
// `min_other_zone` upstreams of its zone are ready, the other zones together replace what that zone would
// contribute.
std::size_t RequiredElsewhere(const Limits& limits, std::string_view own_zone, const Zones& zones) {
  const auto own = zones.find(std::string(own_zone));
  const bool has_own = own != zones.end();
  const std::size_t own_ready = has_own ? own->second.ready : 0;
  const std::size_t others = zones.size() - (has_own ? 1 : 0);
  if (own_ready >= limits.min_other_zone || others == 0) return limits.min_other_zone;
  return std::max(limits.min_other_zone, (limits.min_own_zone + others - 1) / others);
}

// Returns the fraction of the ring that a gateway's arc has to cover to contain `required` upstreams.
double ArcWidth(std::size_t required, std::size_t ready, const RingPosition& position) {
  const auto all = static_cast<double>(ready);
  const auto gateways = static_cast<double>(position.count);
  if (all <= kUseAllFactor * static_cast<double>(required)) return 1;
  return std::ceil(gateways * static_cast<double>(required) / all) / gateways;
}

void Assign(const Group& group, double fraction, std::vector<Assignment>& out) {
  for (const std::size_t upstream : group.upstreams) out.push_back({upstream, fraction});
}

// Adds the upstreams of the groups that the gateway's arc covers.
void AssignArc(const Zone& zone, std::size_t required, const RingPosition& position,
               std::vector<Assignment>& out) {
  if (required == 0 || zone.ready == 0) return;
  const double width = ArcWidth(required, zone.ready, position);
  if (width >= 1) {
    for (const Group& group : zone.groups) Assign(group, 1, out);
    return;
  }
  double total = 0;
  for (const Group& group : zone.groups) total += group.weight;
  const double begin = static_cast<double>(position.index) / static_cast<double>(position.count);
  const double end = begin + width;
  double weight_before = 0;
  for (const Group& group : zone.groups) {
    const double from = weight_before / total;
    const double to = (weight_before + group.weight) / total;
    weight_before += group.weight;
    // The arc may extend past the ring's end.
    const double covered = std::max(0.0, std::min(end, to) - std::max(begin, from)) +
                           std::max(0.0, std::min(end, to + 1) - std::max(begin, from + 1));
    const double fraction = covered / (to - from);
    if (fraction >= kMinFraction) Assign(group, std::min(1.0, fraction), out);
  }
}

}  // namespace

RingPosition RingPositionOf(std::string_view own, const std::vector<std::string>& members) {
  RingPosition out{0, 1};
  const std::uint64_t digest = Digest(own);
  for (const std::string& member : members) {
    if (member == own) continue;
    ++out.count;
    const std::uint64_t other = Digest(member);
    if (other < digest || (other == digest && member < own)) ++out.index;
  }
  return out;
}

std::vector<Assignment> Subset(const Limits& limits, const RingPosition& position, std::string_view own_zone,
                               Grouping grouping, const std::vector<Upstream>& upstreams) {
  const Zones zones = GroupByZone(grouping, upstreams);
  const std::size_t elsewhere = RequiredElsewhere(limits, own_zone, zones);
  std::vector<Assignment> out;
  for (const auto& [name, zone] : zones) {
    AssignArc(zone, name == own_zone ? limits.min_own_zone : elsewhere, position, out);
  }
  return out;
}

}  // namespace postspread::subsetting
