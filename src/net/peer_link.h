// Sends and receives UDP datagrams between gateways: either within a group of configured addresses, or with
// any gateway that knows this gateway's address. A datagram that the socket does not accept is dropped, since
// datagrams may be lost anyway.
#ifndef POSTSPREAD_NET_PEER_LINK_H_
#define POSTSPREAD_NET_PEER_LINK_H_

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace postspread::net {

class PeerLink {
 public:
  // Tells whether another process may be bound to the same address. The process that bound last receives the
  // datagrams.
  enum class AddressSharing { kExclusive, kShared };
  using OnDatagram = std::function<void(int rank, std::string_view bytes)>;
  using OnPeerDatagram = std::function<void(std::uint64_t peer, std::string_view bytes)>;

  // Exchanges datagrams within a group. `peers` holds the address of each rank, this gateway's included;
  // datagrams from other addresses are dropped. `group_address` reaches all of them. Throws
  // std::runtime_error if `listen` can't be bound.
  PeerLink(event_base* base, const config::Address& listen, std::vector<config::Address> peers,
           std::optional<config::Address> group_address, AddressSharing sharing, OnDatagram on_datagram);
  // Receives datagrams from any IPv4 address. PeerIdOf of its address identifies the sender.
  PeerLink(event_base* base, const config::Address& listen, AddressSharing sharing,
           OnPeerDatagram on_peer_datagram);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Sends to the gateway of a rank. Does nothing if the rank is unknown.
  void Send(int rank, std::string_view bytes);
  // Sends to the IPv4 address and port for which PeerIdOf returns `peer`.
  void SendTo(std::uint64_t peer, std::string_view bytes);
  // Sends to every other gateway of the group: one datagram to the group address if there is one, else one to
  // each peer.
  void SendToAll(int own_rank, std::string_view bytes);

  // Returns an IPv4 address and its port as one number.
  static std::uint64_t PeerIdOf(const sockaddr_in& address);
  // Formats a result of PeerIdOf as "address:port".
  static std::string FormatPeerId(std::uint64_t peer);

 private:
  void Open(event_base* base, const config::Address& listen, AddressSharing sharing);
  void Read();
  void Receive(const sockaddr_storage& from, std::string_view bytes);

  std::vector<config::Address> peers_;
  std::optional<config::Address> group_address_;
  OnDatagram on_datagram_;
  OnPeerDatagram on_peer_datagram_;
  int fd_ = -1;
  EventHandle event_;
  RateLimitedLog unknown_sender_log_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_PEER_LINK_H_
