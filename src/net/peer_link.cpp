#include "net/peer_link.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace postspread::net {
namespace {

// Gateways never send a datagram above this size. A larger one is truncated when it is received, and then
// rejected.
constexpr std::size_t kMaxDatagramBytes = 1'500;
constexpr unsigned kMaxDatagramsPerIteration = 16;  // before the event loop serves other sockets
constexpr int kPortBits = 16;
constexpr std::uint64_t kPortMask = 0xffff;

bool IsSameAddress(const sockaddr_storage& from, const config::Address& peer) {
  if (from.ss_family != peer.get()->sa_family) return false;
  if (from.ss_family == AF_INET) {
    const auto& a = reinterpret_cast<const sockaddr_in&>(from);
    const auto& b = *reinterpret_cast<const sockaddr_in*>(peer.get());
    return a.sin_port == b.sin_port && a.sin_addr.s_addr == b.sin_addr.s_addr;
  }
  const auto& a = reinterpret_cast<const sockaddr_in6&>(from);
  const auto& b = *reinterpret_cast<const sockaddr_in6*>(peer.get());
  return a.sin6_port == b.sin6_port && std::memcmp(&a.sin6_addr, &b.sin6_addr, sizeof a.sin6_addr) == 0;
}

}  // namespace

PeerLink::PeerLink(event_base* base, const config::Address& listen, std::vector<config::Address> peers,
                   std::optional<config::Address> group_address, AddressSharing sharing,
                   OnDatagram on_datagram)
    : peers_(std::move(peers)),
      group_address_(std::move(group_address)),
      on_datagram_(std::move(on_datagram)) {
  Open(base, listen, sharing);
}

PeerLink::PeerLink(event_base* base, const config::Address& listen, AddressSharing sharing,
                   OnPeerDatagram on_peer_datagram)
    : on_peer_datagram_(std::move(on_peer_datagram)) {
  Open(base, listen, sharing);
}

void PeerLink::Open(event_base* base, const config::Address& listen, AddressSharing sharing) {
  OpenWithRetries([&] {
    fd_ = socket(listen.get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    return fd_ >= 0;
  });
  const int one = 1;
  if (fd_ >= 0 && sharing == AddressSharing::kShared)
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd_ < 0 || bind(fd_, listen.get(), listen.size()) != 0) {
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("can't listen for peers on " + listen.text());
  }
  event_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<PeerLink*>(self)->Read(); }, this));
  if (!OpenWithRetries([this] { return event_add(event_.get(), nullptr) == 0; })) {
    throw std::runtime_error("can't watch " + listen.text());
  }
}

PeerLink::~PeerLink() {
  event_.reset();
  close(fd_);
}

void PeerLink::Send(int rank, std::string_view bytes) {
  if (rank < 0 || rank >= static_cast<int>(peers_.size())) return;
  const config::Address& peer = peers_[static_cast<std::size_t>(rank)];
  [[maybe_unused]] const ssize_t sent =
      sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, peer.get(), peer.size());
}

std::uint64_t PeerLink::PeerIdOf(const sockaddr_in& address) {
  return std::uint64_t{ntohl(address.sin_addr.s_addr)} << kPortBits | ntohs(address.sin_port);
}

std::string PeerLink::FormatPeerId(std::uint64_t peer) {
  std::string text;
  for (int shift = 40; shift >= kPortBits; shift -= 8) {
    text += std::to_string(peer >> shift & 0xff) + (shift > kPortBits ? "." : ":");
  }
  return text + std::to_string(peer & kPortMask);
}

void PeerLink::SendTo(std::uint64_t peer, std::string_view bytes) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(peer >> kPortBits));
  to.sin_port = htons(static_cast<std::uint16_t>(peer & kPortMask));
  [[maybe_unused]] const ssize_t sent = sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                               reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void PeerLink::SendToAll(int own_rank, std::string_view bytes) {
  if (group_address_) {
    [[maybe_unused]] const ssize_t sent =
        sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, group_address_->get(), group_address_->size());
    return;
  }
  for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank) {
    if (rank != own_rank) Send(rank, bytes);
  }
}

void PeerLink::Read() {
  // Datagrams are received one at a time, as not every platform has recvmmsg.
  for (unsigned i = 0; i < kMaxDatagramsPerIteration; ++i) {
    char bytes[kMaxDatagramBytes];
    sockaddr_storage from{};
    socklen_t from_size = sizeof from;
    const ssize_t size =
        recvfrom(fd_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) return;
    Receive(from, {bytes, static_cast<std::size_t>(size)});
  }
}

void PeerLink::Receive(const sockaddr_storage& from, std::string_view bytes) {
  if (on_peer_datagram_) {
    if (from.ss_family != AF_INET) return;
    return on_peer_datagram_(PeerIdOf(reinterpret_cast<const sockaddr_in&>(from)), bytes);
  }
  const auto sender = std::find_if(peers_.begin(), peers_.end(), [&from](const config::Address& peer) {
    return IsSameAddress(from, peer);
  });
  if (sender == peers_.end()) return unknown_sender_log_("datagram dropped", "its sender is no peer");
  on_datagram_(static_cast<int>(sender - peers_.begin()), bytes);
}

}  // namespace postspread::net
