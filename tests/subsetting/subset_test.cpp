// Subsets of many gateways together: load and connections by node, places changed, zones lost, views that
// differ.
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

const Limits kLimits{true, 12, 3};

std::vector<Node> Nodes(int count, int zones = 1, int pod_size = 5) {
  std::vector<Node> out;
  out.reserve(count);
  for (int i = 0; i < count; ++i) {
    out.push_back({"s-" + std::to_string(i), "zone-" + std::to_string(i % zones),
                   i / zones / pod_size * zones + i % zones, 1, true});
  }
  return out;
}
std::vector<std::string> Members(int count) {
  std::vector<std::string> out;
  out.reserve(count);
  for (int i = 0; i < count; ++i) out.push_back("gk-" + std::to_string(i));
  return out;
}

struct Sum {
  std::vector<double> load, connections;  // by node; the load in gateways' worth, all equal
  [[nodiscard]] double MaxOverMean(const std::vector<double>& of) const {
    const double mean = std::accumulate(of.begin(), of.end(), 0.0) / static_cast<double>(of.size());
    return *std::max_element(of.begin(), of.end()) / mean;
  }
  [[nodiscard]] double Jain(const std::vector<double>& of) const {
    double sum = 0, squares = 0;
    for (const double x : of) sum += x, squares += x * x;
    return sum * sum / (static_cast<double>(of.size()) * squares);
  }
};

// Each gateway goes by its own list of members.
Sum Add(const Limits& limits, const std::vector<std::vector<std::string>>& views,
        const std::vector<std::string>& members, const std::vector<Node>& nodes,
        const std::string& zone = "zone-0") {
  Sum out{std::vector<double>(nodes.size(), 0), std::vector<double>(nodes.size(), 0)};
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::vector<Assignment> assignments =
        Subset(limits, RingPositionOf(members[i], views[i]), zone, false, nodes);
    double all = 0;
    for (const Assignment& assignment : assignments) all += assignment.share * nodes[assignment.node].weight;
    for (const Assignment& assignment : assignments) {
      out.load[assignment.node] += assignment.share * nodes[assignment.node].weight / all;
      out.connections[assignment.node] += 1;
    }
  }
  return out;
}
Sum Add(const Limits& limits, const std::vector<std::string>& members, const std::vector<Node>& nodes) {
  return Add(limits, std::vector<std::vector<std::string>>(members.size(), members), members, nodes);
}

TEST_CASE("with equal views every node gets its fair share, and connections within one of the mean") {
  for (const int gateways : {3, 16, 100, 300}) {
    for (const int count : {9, 30, 60, 200}) {
      const std::vector<Node> nodes = Nodes(count);
      const Sum sum = Add(kLimits, Members(gateways), nodes);
      INFO(gateways << " gatekeepers, " << count << " nodes");
      CHECK(sum.MaxOverMean(sum.load) <= 1.05);
      CHECK(sum.Jain(sum.load) >= 0.999);
      const double mean =
          std::accumulate(sum.connections.begin(), sum.connections.end(), 0.0) / static_cast<double>(count);
      for (const double c : sum.connections) CHECK(std::abs(c - mean) <= 1.0 + 1e-9);
      // A part of the nodes it is, where there are many.
      if (count >= 60) CHECK(mean <= 0.5 * gateways);
    }
  }
  // By weight: a node that is worth two gets twice as much.
  std::vector<Node> nodes = Nodes(60);
  for (int i = 0; i < 60; i += 3) nodes[static_cast<std::size_t>(i)].weight = 2;
  const Sum sum = Add(kLimits, Members(100), nodes);
  const double unit = 100.0 / 80;
  for (std::size_t i = 0; i < 60; ++i) CHECK(sum.load[i] == Approx(unit * nodes[i].weight).epsilon(0.05));
}

std::size_t Changed(const std::vector<Assignment>& before, const std::vector<Node>& old_nodes,
                    const std::vector<Assignment>& after, const std::vector<Node>& new_nodes) {
  std::set<std::string> a, b;
  for (const Assignment& p : before) a.insert(old_nodes[p.node].name);
  for (const Assignment& p : after) b.insert(new_nodes[p.node].name);
  std::size_t out = 0;
  for (const std::string& name : b) out += !a.contains(name);
  return out;
}

TEST_CASE("one gatekeeper or node that comes or goes changes two places at most, growing and shrinking") {
  for (const int gateways : {16, 100, 300}) {
    for (const int count : {30, 60, 200}) {
      const std::vector<std::string> members = Members(gateways);
      const std::vector<Node> nodes = Nodes(count);
      std::size_t most = 0;
      for (const std::string& own : members) {
        const std::vector<Assignment> before =
            Subset(kLimits, RingPositionOf(own, members), "zone-0", false, nodes);
        std::vector<std::string> more = members, fewer = members;
        more.push_back("gk-new");
        fewer.erase(std::find(fewer.begin(), fewer.end(), own == "gk-5" ? "gk-6" : "gk-5"));
        most = std::max(
            most, Changed(before, nodes, Subset(kLimits, RingPositionOf(own, more), "zone-0", false, nodes),
                          nodes));
        most = std::max(
            most, Changed(before, nodes, Subset(kLimits, RingPositionOf(own, fewer), "zone-0", false, nodes),
                          nodes));
        std::vector<Node> grown = nodes, shrunk = nodes;
        grown.push_back({"s-new", "zone-0", 0, 1, true});
        shrunk[4].ready = false;
        most = std::max(
            most, Changed(before, nodes,
                          Subset(kLimits, RingPositionOf(own, members), "zone-0", false, grown), grown));
        const std::vector<Assignment> after =
            Subset(kLimits, RingPositionOf(own, members), "zone-0", false, shrunk);
        most = std::max(most, Changed(before, nodes, after, shrunk));
        CHECK(std::none_of(after.begin(), after.end(), [](const Assignment& p) { return p.node == 4; }));
      }
      INFO(gateways << " gatekeepers, " << count << " nodes");
      CHECK(most <= 2 * static_cast<std::size_t>((count + gateways - 1) / gateways));
    }
  }
}

TEST_CASE("views that differ by a fifth of the members leave loads near, and nobody is left out") {
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
    const Sum sum = Add(kLimits, views, members, Nodes(60));
    CHECK(sum.Jain(sum.load) >= 0.98);
    CHECK(*std::min_element(sum.load.begin(), sum.load.end()) > 0);
    // Two halves that see only themselves: each covers the whole ring by itself.
    std::vector<std::vector<std::string>> halves;
    for (std::size_t i = 0; i < members.size(); ++i) {
      std::vector<std::string> view;
      for (std::size_t m = i % 2; m < members.size(); m += 2) view.push_back(members[m]);
      halves.push_back(std::move(view));
    }
    const Sum split = Add(kLimits, halves, members, Nodes(60));
    CHECK(split.MaxOverMean(split.load) <= 1.15);
  }
}

TEST_CASE("each zone is reached, the others carry a lost one's part, and pods stay whole") {
  const Limits limits{true, 12, 3};
  const std::vector<std::string> members = Members(300);
  std::vector<Node> nodes = Nodes(180, 3);
  const auto by_zone = [&](const std::vector<Assignment>& assignments) {
    std::map<std::string, int> out;
    for (const Assignment& p : assignments) ++out[nodes[p.node].zone];
    return out;
  };
  for (const std::string& own : members) {
    const auto zones = by_zone(Subset(limits, RingPositionOf(own, members), "zone-1", false, nodes));
    CHECK(zones.at("zone-1") >= 12);
    CHECK(zones.at("zone-0") >= 3);
    CHECK(zones.at("zone-2") >= 3);
    CHECK(zones.at("zone-0") <= 6);
  }
  for (Node& node : nodes) node.ready = node.zone != "zone-1" || node.name == "s-1";
  for (const std::string& own : members) {
    const auto zones = by_zone(Subset(limits, RingPositionOf(own, members), "zone-1", false, nodes));
    CHECK(zones.at("zone-0") >= 6);
    CHECK(zones.at("zone-2") >= 6);
    CHECK(zones.at("zone-1") == 1);  // all that there is
  }
  nodes = Nodes(180, 3);
  for (const std::string& own : members) {
    const std::vector<Assignment> assignments =
        Subset(limits, RingPositionOf(own, members), "zone-1", true, nodes);
    std::map<std::int64_t, int> pods;
    for (const Assignment& p : assignments) ++pods[nodes[p.node].pod];
    for (const auto& [pod, count] : pods) CHECK(count == 5);
    CHECK(assignments.size() >= 18);
  }
  // Few nodes are all used, by three gateways as by one.
  CHECK(Subset(limits, RingPositionOf("gk-0", Members(3)), "zone-0", false, Nodes(9, 3)).size() == 9);
  CHECK(Subset(limits, RingPositionOf("gk-0", {}), "", false, Nodes(200)).size() == 200);
}

}  // namespace
}  // namespace postspread::subsetting
