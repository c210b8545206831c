#include "subsetting/subset.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace postspread::subsetting {
namespace {

// Where that many times the nodes that would be taken are all there are, all are taken: a part of few is no
// gain.
constexpr double kTakeAll = 1.5;

std::uint64_t Digest(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

// Nodes that are taken or left together.
struct Unit {
  std::uint64_t order = 0;
  double weight = 0;
  std::vector<std::size_t> nodes;
};

// Units of a zone that an arc covers, as wide as `wanted` nodes at least.
void Cover(const std::vector<Unit>& units, std::size_t wanted, std::size_t ready,
           const RingPosition& position, std::vector<Assignment>& out) {
  if (wanted == 0 || ready == 0) return;
  const auto all = static_cast<double>(ready);
  const auto count = static_cast<double>(position.count);
  double width = std::ceil(count * static_cast<double>(wanted) / all) / count;
  if (all <= kTakeAll * static_cast<double>(wanted)) width = 1;
  if (width >= 1) {
    for (const Unit& unit : units) {
      for (const std::size_t node : unit.nodes) out.push_back({node, 1});
    }
    return;
  }
  double total = 0;
  for (const Unit& unit : units) total += unit.weight;
  const double begin = static_cast<double>(position.index) / count, end = begin + width;
  double at = 0;
  for (const Unit& unit : units) {
    const double from = at / total, to = (at + unit.weight) / total;
    at += unit.weight;
    // The arc may go round past the ring's end.
    const double covered = std::max(0.0, std::min(end, to) - std::max(begin, from)) +
                           std::max(0.0, std::min(end, to + 1) - std::max(begin, from + 1));
    const double share = covered / (to - from);
    if (share < 1e-9) continue;
    for (const std::size_t node : unit.nodes) out.push_back({node, std::min(1.0, share)});
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
    out.index += other < digest || (other == digest && member < own);
  }
  return out;
}

std::vector<Assignment> Subset(const Limits& limits, const RingPosition& position, std::string_view own_zone,
                               bool by_pod, const std::vector<Node>& nodes) {
  struct Zone {
    std::vector<Unit> units;
    std::size_t ready = 0;
  };
  std::map<std::string, Zone> zones;
  std::map<std::pair<std::string, std::int64_t>, std::size_t> pods;  // place among the zone's units
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i].ready) continue;
    Zone& zone = zones[nodes[i].zone];
    ++zone.ready;
    std::size_t unit = zone.units.size();
    if (by_pod) unit = pods.try_emplace({nodes[i].zone, nodes[i].pod}, unit).first->second;
    if (unit == zone.units.size()) zone.units.emplace_back();
    const std::uint64_t digest =
        by_pod ? Digest("pod " + std::to_string(nodes[i].pod)) : Digest(nodes[i].name);
    zone.units[unit].order = digest;
    zone.units[unit].weight += nodes[i].weight > 0 ? nodes[i].weight : 1;
    zone.units[unit].nodes.push_back(i);
  }
  const auto own = zones.find(std::string(own_zone));
  const std::size_t own_ready = own == zones.end() ? 0 : own->second.ready;
  const std::size_t others = zones.size() - (own == zones.end() ? 0 : 1);
  // Without zones, or with the own one lost, the others carry what that would have.
  std::size_t each = limits.least;
  if (own_ready < limits.least && others > 0) each = std::max(each, (limits.nodes + others - 1) / others);
  std::vector<Assignment> out;
  for (auto& [name, zone] : zones) {
    std::sort(zone.units.begin(), zone.units.end(),
              [](const Unit& a, const Unit& b) { return a.order < b.order; });
    Cover(zone.units, name == own_zone ? limits.nodes : each, zone.ready, position, out);
  }
  return out;
}

}  // namespace postspread::subsetting
