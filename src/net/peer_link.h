// Datagrams between the gateways of a group, or of a fleet whose members are known by their addresses.
// What comes from an address that is none of a peer's is dropped; so is what a socket will not take:
// datagrams may be lost in any case.
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
  using OnDatagram = std::function<void(int rank, std::string_view bytes)>;

  // `peers`: an address for each rank, the own one included. `shared`: another process may be bound there,
  // too; datagrams come to the one that bound last. Throws std::runtime_error where `listen` can't be bound.
  PeerLink(event_base* base, const config::Address& listen, std::vector<config::Address> peers,
           std::optional<config::Address> all, bool shared, OnDatagram on_datagram);
  // One that hears anybody: who it is from is told by its place, as PeerIdOf counts them.
  using OnPeerDatagram = std::function<void(std::uint64_t peer, std::string_view bytes)>;
  PeerLink(event_base* base, const config::Address& listen, bool shared, OnPeerDatagram on_peer_datagram);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void Send(int rank, std::string_view bytes);
  void SendTo(std::uint64_t peer, std::string_view bytes);
  // An IPv4 address and its port as one number.
  static std::uint64_t PeerIdOf(const sockaddr_in& address);
  static std::string TextOf(std::uint64_t peer);
  // To every other gateway: by the address that reaches all, else one by one.
  void SendToAll(int own_rank, std::string_view bytes);

 private:
  void Open(event_base* base, const config::Address& listen, bool shared);
  void Read();

  std::vector<config::Address> peers_;
  std::optional<config::Address> all_;
  OnDatagram on_datagram_;
  OnPeerDatagram on_peer_datagram_;
  int fd_ = -1;
  EventHandle event_;
  RareLog strange_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_PEER_LINK_H_
