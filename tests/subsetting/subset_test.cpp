// Tests of the subsets of many gateways together: load and connections per upstream, stability, zones, and
// gateways with differing views of the members.
#include "subsetting/subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <set>

namespace postspread::subsetting {
namespace {

const Limits kLimits{.subsets = true, .min_own_zone = 12, .min_other_zone = 3};

std::vector<Upstream> Upstreams(int count, int zones = 1, int cell_size = 5) {
  std::vector<Upstream> out;
  out.reserve(count);
  for (int i = 0; i < count; ++i) {
    out.push_back({"s-" + std::to_string(i), "zone-" + std::to_string(i % zones),
                   i / zones / cell_size * zones + i % zones, 1, true});
  }
  return out;
}
std::vector<std::string> Members(int count) {
  std::vector<std::string> out;
  out.reserve(count);
  for (int i = 0; i < count; ++i) out.push_back("gk-" + std::to_string(i));
  return out;
}

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double MaxOverMean(const std::vector<double>& values) {
  return *std::max_element(values.begin(), values.end()) / Mean(values);
}

// Returns Jain's fairness index, which is 1 if all values are equal.
double Fairness(const std::vector<double>& values) {
  double sum = 0;
  double squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return sum * sum / (static_cast<double>(values.size()) * squares);
}

// Sums over all gateways, by upstream.
struct Totals {
  std::vector<double> load;  // each gateway contributes a load of 1
  std::vector<double> connections;
};

// Returns the totals of gateways of which each has its own view of the members.
Totals SumOverGateways(const Limits& limits, const std::vector<std::vector<std::string>>& views,
                       const std::vector<std::string>& members, const std::vector<Upstream>& upstreams,
                       const std::string& zone = "zone-0") {
  Totals out{std::vector<double>(upstreams.size(), 0), std::vector<double>(upstreams.size(), 0)};
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::vector<Assignment> assignments =
        Subset(limits, RingPositionOf(members[i], views[i]), zone, Grouping::kSingle, upstreams);
    double all = 0;
    for (const Assignment& assignment : assignments)
      all += assignment.fraction * upstreams[assignment.upstream].weight;
    for (const Assignment& assignment : assignments) {
      out.load[assignment.upstream] += assignment.fraction * upstreams[assignment.upstream].weight / all;
      out.connections[assignment.upstream] += 1;
    }
  }
  return out;
}
Totals SumOverGateways(const Limits& limits, const std::vector<std::string>& members,
                       const std::vector<Upstream>& upstreams) {
  return SumOverGateways(limits, std::vector<std::vector<std::string>>(members.size(), members), members,
                         upstreams);
}

TEST_CASE("given equal views, the load of upstreams is equal, and connections are within one of the mean") {
  for (const int gateways : {3, 16, 100, 300}) {
    for (const int count : {9, 30, 60, 200}) {
      const std::vector<Upstream> upstreams = Upstreams(count);
      const Totals totals = SumOverGateways(kLimits, Members(gateways), upstreams);
      INFO(gateways << " gateways, " << count << " upstreams");
      CHECK(MaxOverMean(totals.load) <= 1.05);
      CHECK(Fairness(totals.load) >= 0.999);
      const double mean = Mean(totals.connections);
      for (const double connections : totals.connections) CHECK(std::abs(connections - mean) <= 1.0 + 1e-9);
      // If there are many upstreams, gateways use a subset.
      if (count >= 60) CHECK(mean <= 0.5 * gateways);
    }
  }
  // Load is proportional to weight: an upstream of weight two gets twice as much.
  std::vector<Upstream> upstreams = Upstreams(60);
  for (int i = 0; i < 60; i += 3) upstreams[static_cast<std::size_t>(i)].weight = 2;
  const Totals totals = SumOverGateways(kLimits, Members(100), upstreams);
  const double unit = 100.0 / 80;
  for (std::size_t i = 0; i < 60; ++i)
    CHECK(totals.load[i] == Approx(unit * upstreams[i].weight).epsilon(0.05));
}

// Returns how many upstreams are in the second subset but not in the first.
std::size_t Added(const std::vector<Assignment>& before, const std::vector<Upstream>& old_upstreams,
                  const std::vector<Assignment>& after, const std::vector<Upstream>& new_upstreams) {
  std::set<std::string> former;
  for (const Assignment& assignment : before) former.insert(old_upstreams[assignment.upstream].name);
  std::set<std::string> added;
  for (const Assignment& assignment : after) {
    const std::string& name = new_upstreams[assignment.upstream].name;
    if (!former.contains(name)) added.insert(name);
  }
  return added.size();
}

std::vector<Assignment> SubsetOf(const std::string& own, const std::vector<std::string>& members,
                                 const std::vector<Upstream>& upstreams) {
  return Subset(kLimits, RingPositionOf(own, members), "zone-0", Grouping::kSingle, upstreams);
}

TEST_CASE("when a gateway or an upstream is added or removed, at most two upstreams of a subset change") {
  for (const int gateways : {16, 100, 300}) {
    for (const int count : {30, 60, 200}) {
      const std::vector<std::string> members = Members(gateways);
      const std::vector<Upstream> upstreams = Upstreams(count);
      std::vector<Upstream> grown = upstreams;
      grown.push_back({"s-new", "zone-0", 0, 1, true});
      std::vector<Upstream> shrunk = upstreams;
      shrunk[4].ready = false;
      std::size_t max_added = 0;
      for (const std::string& own : members) {
        const std::vector<Assignment> before = SubsetOf(own, members, upstreams);
        const auto compare = [&](const std::vector<Assignment>& after, const std::vector<Upstream>& now) {
          max_added = std::max(max_added, Added(before, upstreams, after, now));
        };
        std::vector<std::string> more = members;
        more.push_back("gk-new");
        compare(SubsetOf(own, more, upstreams), upstreams);
        std::vector<std::string> fewer = members;
        fewer.erase(std::find(fewer.begin(), fewer.end(), own == "gk-5" ? "gk-6" : "gk-5"));
        compare(SubsetOf(own, fewer, upstreams), upstreams);
        compare(SubsetOf(own, members, grown), grown);
        const std::vector<Assignment> without = SubsetOf(own, members, shrunk);
        compare(without, shrunk);
        CHECK(std::none_of(without.begin(), without.end(),
                           [](const Assignment& assignment) { return assignment.upstream == 4; }));
      }
      INFO(gateways << " gateways, " << count << " upstreams");
      CHECK(max_added <= 2 * static_cast<std::size_t>((count + gateways - 1) / gateways));
    }
  }
}

TEST_CASE(
    "given views that differ by a fifth of the members, loads are similar, and no upstream is left out") {
  std::mt19937_64 random(5);
  for (const int gateways : {100, 300}) {
    const std::vector<std::string> members = Members(gateways);
    std::vector<std::vector<std::string>> views;
    for (const std::string& own : members) {
      std::vector<std::string> view;
      for (const std::string& m : members) {
        if (m == own || random() % 5 != 0) view.push_back(m);
      }
      views.push_back(std::move(view));
    }
    const Totals totals = SumOverGateways(kLimits, views, members, Upstreams(60));
    CHECK(Fairness(totals.load) >= 0.98);
    CHECK(*std::min_element(totals.load.begin(), totals.load.end()) > 0);
    // Each side of a network partition covers the whole ring by itself.
    std::vector<std::vector<std::string>> halves;
    for (std::size_t i = 0; i < members.size(); ++i) {
      std::vector<std::string> view;
      for (std::size_t m = i % 2; m < members.size(); m += 2) view.push_back(members[m]);
      halves.push_back(std::move(view));
    }
    const Totals split = SumOverGateways(kLimits, halves, members, Upstreams(60));
    CHECK(MaxOverMean(split.load) <= 1.15);
  }
}

TEST_CASE("each zone is used, the other zones replace a lost one, and each cell is used as a whole") {
  const std::vector<std::string> members = Members(300);
  std::vector<Upstream> upstreams = Upstreams(180, 3);
  const auto by_zone = [&](const std::vector<Assignment>& assignments) {
    std::map<std::string, int> out;
    for (const Assignment& assignment : assignments) ++out[upstreams[assignment.upstream].zone];
    return out;
  };
  for (const std::string& own : members) {
    const auto zones =
        by_zone(Subset(kLimits, RingPositionOf(own, members), "zone-1", Grouping::kSingle, upstreams));
    CHECK(zones.at("zone-1") >= 12);
    CHECK(zones.at("zone-0") >= 3);
    CHECK(zones.at("zone-2") >= 3);
    CHECK(zones.at("zone-0") <= 6);
  }
  for (Upstream& upstream : upstreams) {
    upstream.ready = upstream.zone != "zone-1" || upstream.name == "s-1";
  }
  for (const std::string& own : members) {
    const auto zones =
        by_zone(Subset(kLimits, RingPositionOf(own, members), "zone-1", Grouping::kSingle, upstreams));
    CHECK(zones.at("zone-0") >= 6);
    CHECK(zones.at("zone-2") >= 6);
    CHECK(zones.at("zone-1") == 1);  // the only ready upstream of the zone
  }
  upstreams = Upstreams(180, 3);
  for (const std::string& own : members) {
    const std::vector<Assignment> assignments =
        Subset(kLimits, RingPositionOf(own, members), "zone-1", Grouping::kByCell, upstreams);
    std::map<std::int64_t, int> cells;
    for (const Assignment& assignment : assignments) ++cells[upstreams[assignment.upstream].cell];
    for (const auto& [cell, count] : cells) CHECK(count == 5);
    CHECK(assignments.size() >= 18);
  }
  // If there are few upstreams, or a single gateway, all upstreams are used.
  CHECK(Subset(kLimits, RingPositionOf("gk-0", Members(3)), "zone-0", Grouping::kSingle, Upstreams(9, 3))
            .size() == 9);
  CHECK(Subset(kLimits, RingPositionOf("gk-0", {}), "", Grouping::kSingle, Upstreams(200)).size() == 200);
}

}  // namespace
}  // namespace postspread::subsetting
