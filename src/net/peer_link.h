// Datagrams between gateways: of a group, whose addresses are configured, or of any that have this one's
// address. What a socket does not take is dropped: datagrams may be lost in any case.
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
  // Whether another process may be bound to the same address; datagrams go to the one that bound last.
  enum class AddressSharing { kExclusive, kShared };
  using OnDatagram = std::function<void(int rank, std::string_view bytes)>;
  using OnPeerDatagram = std::function<void(std::uint64_t peer, std::string_view bytes)>;

  // `peers`: an address for each rank, the own one included; datagrams from other addresses are dropped.
  // `all`: an address that reaches all of them. Throws std::runtime_error where `listen` can't be bound.
  PeerLink(event_base* base, const config::Address& listen, std::vector<config::Address> peers,
           std::optional<config::Address> all, AddressSharing sharing, OnDatagram on_datagram);
  // Receives from any IPv4 address; the sender is identified as by PeerIdOf.
  PeerLink(event_base* base, const config::Address& listen, AddressSharing sharing,
           OnPeerDatagram on_peer_datagram);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // To the gateway of a rank; nothing where there is none.
  void Send(int rank, std::string_view bytes);
  void SendTo(std::uint64_t peer, std::string_view bytes);
  // To every other gateway of the group: by the address that reaches all, else one by one.
  void SendToAll(int own_rank, std::string_view bytes);

  // An IPv4 address and its port as one number.
  static std::uint64_t PeerIdOf(const sockaddr_in& address);
  // Such a number as "address:port".
  static std::string TextOf(std::uint64_t peer);

 private:
  void Open(event_base* base, const config::Address& listen, AddressSharing sharing);
  void Read();
  void Receive(const sockaddr_storage& from, std::string_view bytes);

  std::vector<config::Address> peers_;
  std::optional<config::Address> all_;
  OnDatagram on_datagram_;
  OnPeerDatagram on_peer_datagram_;
  int fd_ = -1;
  EventHandle event_;
  RareLog unknown_sender_log_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_PEER_LINK_H_
