#include "net/peer_link.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>
#include <utility>

namespace postspread::net {
namespace {

constexpr std::size_t kMaxDatagram = 1'500;  // what is longer is no datagram of ours: cut, it is refused
constexpr unsigned kDatagramsATurn = 16;     // read before the loop turns to others

bool IsSame(const sockaddr_storage& from, const config::Address& peer) {
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
                   std::optional<config::Address> all, bool shared, OnDatagram on_datagram)
    : peers_(std::move(peers)), all_(std::move(all)), on_datagram_(std::move(on_datagram)) {
  Open(base, listen, shared);
}

PeerLink::PeerLink(event_base* base, const config::Address& listen, bool shared,
                   OnPeerDatagram on_peer_datagram)
    : on_peer_datagram_(std::move(on_peer_datagram)) {
  Open(base, listen, shared);
}

void PeerLink::Open(event_base* base, const config::Address& listen, bool shared) {
  OpenWithRetries([&] {
    fd_ = socket(listen.get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    return fd_ >= 0;
  });
  // The kernel gives datagrams to the process that bound last: the one that stays.
  const int one = 1;
  if (fd_ >= 0 && shared) setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
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
  return std::uint64_t{ntohl(address.sin_addr.s_addr)} << 16 | ntohs(address.sin_port);
}

std::string PeerLink::TextOf(std::uint64_t peer) {
  std::string out;
  for (int shift = 40; shift >= 16; shift -= 8)
    out += std::to_string(peer >> shift & 0xff) + (shift > 16 ? "." : ":");
  return out + std::to_string(peer & 0xffff);
}

void PeerLink::SendTo(std::uint64_t peer, std::string_view bytes) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(peer >> 16));
  to.sin_port = htons(static_cast<std::uint16_t>(peer & 0xffff));
  [[maybe_unused]] const ssize_t sent = sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                               reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void PeerLink::SendToAll(int own_rank, std::string_view bytes) {
  if (all_) {
    [[maybe_unused]] const ssize_t sent =
        sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, all_->get(), all_->size());
    return;
  }
  for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank) {
    if (rank != own_rank) Send(rank, bytes);
  }
}

void PeerLink::Read() {
  // One at a time: not every platform carries the call that takes several at once, and a loop told for ever
  // that there is something to read would spin.
  for (unsigned i = 0; i < kDatagramsATurn; ++i) {
    char bytes[kMaxDatagram];
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(fd_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    if (on_peer_datagram_) {
      if (from.ss_family != AF_INET) continue;
      on_peer_datagram_(PeerIdOf(reinterpret_cast<const sockaddr_in&>(from)),
                        {bytes, static_cast<std::size_t>(got)});
      continue;
    }
    int rank = 0;
    while (rank < static_cast<int>(peers_.size()) && !IsSame(from, peers_[static_cast<std::size_t>(rank)])) {
      ++rank;
    }
    if (rank == static_cast<int>(peers_.size())) {
      strange_("datagram dropped", "its sender is no peer");
      continue;
    }
    on_datagram_(rank, {bytes, static_cast<std::size_t>(got)});
  }
}

}  // namespace postspread::net
