// This module exchanges datagrams with other gateways.
#ifndef POSTSPREAD_NET_GATEWAY_PEER_DATAGRAMS_H_
#define POSTSPREAD_NET_GATEWAY_PEER_DATAGRAMS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "config/config.h"
#include "flow/datagram_budget.h"
#include "net/gateway/planner_driver.h"
#include "net/loop.h"
#include "net/peer_link.h"
#include "operator/operator_file.h"
#include "planner/types.h"

namespace postspread::net {

// Reports received datagrams to the planner, and sends those that the planner requests. One budget bounds all
// that are sent over the group's socket; a datagram that exceeds it is dropped.
class PeerDatagrams {
 public:
  PeerDatagrams(const config::Config& config, PlannerDriver& driver)
      : config_(config), driver_(driver), budget_(config.settings.peer_messages_per_second) {}

  // Opens the sockets that the operator file requires; before that, nothing is sent. Throws
  // std::runtime_error if an address can't be bound.
  void Open(event_base* base, const operator_file::OperatorFile& operator_config);

  void Send(const planner::SendDatagram& datagram);
  void Send(const planner::SendMembershipDatagram& datagram);

  // Returns the address of a peer in the membership view, as text.
  [[nodiscard]] std::string AddressOf(std::uint64_t peer) const;
  void SetRate(double datagrams_per_second) { budget_.SetRate(datagrams_per_second); }
  [[nodiscard]] std::uint64_t throttled() const { return budget_.throttled(); }

 private:
  const config::Config& config_;
  PlannerDriver& driver_;
  flow::DatagramBudget budget_;
  // This socket exchanges datagrams with the gateways of this group, which are identified by rank.
  std::optional<PeerLink> group_;
  // This socket exists if the membership view has a socket of its own.
  std::optional<PeerLink> membership_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_PEER_DATAGRAMS_H_
