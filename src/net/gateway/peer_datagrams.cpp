#include "net/gateway/peer_datagrams.h"

#include <cstddef>
#include <string_view>
#include <utility>

#include "net/gateway/gateway_setup.h"

namespace postspread::net {

void PeerDatagrams::Open(event_base* base, const operator_file::OperatorFile& operator_config) {
  const auto sharing =
      config_.inherited ? PeerLink::AddressSharing::kShared : PeerLink::AddressSharing::kExclusive;
  if (std::optional<config::Peers> peers = ToPeerGroup(config_, operator_config)) {
    group_.emplace(base, peers->listen, std::move(peers->by_rank), std::move(peers->all), sharing,
                   [this](int rank, std::string_view bytes) {
                     driver_.Report(planner::PeerReport{rank, std::string(bytes)});
                   });
  }
  if (operator_config.membership.enabled && !operator_config.membership.listen.empty()) {
    membership_.emplace(base, *config::Address::Parse(operator_config.membership.listen), sharing,
                        [this](std::uint64_t peer, std::string_view bytes) {
                          driver_.Report(planner::MembershipReport{peer, std::string(bytes)});
                        });
  }
}

void PeerDatagrams::Send(const planner::SendDatagram& datagram) {
  if (!group_) return;
  const bool to_all = datagram.rank == planner::SendDatagram::kAll;
  const std::size_t receivers = to_all ? config_.peers.size() - 1 : 1;
  const auto kind = to_all ? flow::DatagramKind::kUsage : flow::DatagramKind::kIdempotency;
  if (!budget_.TryConsume(kind, receivers, Clock::now())) return;
  if (to_all) return group_->SendToAll(config_.settings.rank, datagram.bytes);
  group_->Send(datagram.rank, datagram.bytes);
}

void PeerDatagrams::Send(const planner::SendMembershipDatagram& datagram) {
  if (membership_) return membership_->SendTo(datagram.peer, datagram.bytes);
  if (!group_ || !budget_.TryConsume(flow::DatagramKind::kMembership, 1, Clock::now())) return;
  group_->Send(static_cast<int>(datagram.peer), datagram.bytes);
}

std::string PeerDatagrams::AddressOf(std::uint64_t peer) const {
  if (membership_) return PeerLink::FormatPeerId(peer);
  if (group_ && peer < config_.peers.size()) return config_.peers[peer];
  return std::to_string(peer);
}

}  // namespace postspread::net
