#include "net/gateway/membership_report.h"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace postspread::net {

ops::MembershipMetrics CollectMembershipMetrics(const membership::Membership& membership,
                                                const PeerDatagrams& peers) {
  const membership::Counts& counts = membership.counts();
  ops::MembershipMetrics metrics;
  for (std::size_t i = 0; i < membership::kStates; ++i) {
    metrics.members[std::string(membership::Name(static_cast<membership::State>(i)))] = 0;
  }
  const membership::View view = membership.view();
  for (const membership::Member& member : view.members) {
    ++metrics.members[std::string(Name(member.update.state))];
  }
  metrics.dropped = {{"unreadable", counts.unreadable}, {"foreign", counts.foreign},
                     {"future", counts.future},         {"former_life", counts.former_incarnation},
                     {"unasked", counts.unsolicited},   {"no_room", counts.over_capacity}};
  metrics.suspicions_raised = counts.suspicions_raised;
  metrics.suspicions_refuted = counts.suspicions_refuted;
  metrics.deaths_declared = counts.deaths_declared;
  metrics.view_changes = counts.view_changes;
  metrics.datagrams_sent = counts.sent;
  metrics.bytes_sent = counts.bytes_sent;
  metrics.name_conflicts = counts.name_conflicts;
  metrics.throttled = counts.throttled + peers.throttled();
  return metrics;
}

std::string MembershipJson(const membership::Membership& membership, const PeerDatagrams& peers) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const membership::View view = membership.view();
  char hash[17];  // The buffer holds 16 digits and the terminating zero.
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(view.hash));
  nlohmann::json members = nlohmann::json::array();
  for (const membership::Member& member : view.members) {
    members.push_back({{"name", member.name},
                       {"address", peers.AddressOf(member.peer)},
                       {"state", Name(member.update.state)},
                       {"life", member.update.incarnation},
                       {"since_ms", duration_cast<milliseconds>(member.since).count()},
                       {"word", member.update.refutations}});
  }
  return nlohmann::json{
      {"self", membership.name()}, {"life", membership.incarnation()}, {"view", hash}, {"members", members}}
      .dump();
}

}  // namespace postspread::net
