// TCP relay that a test can interrupt. While it is cut, it transfers nothing and closes nothing, as with a
// network cable that is unplugged, and new connections hang.
#ifndef POSTSPREAD_TESTS_FLEET_RELAY_H_
#define POSTSPREAD_TESTS_FLEET_RELAY_H_

#include <list>
#include <memory>
#include <string>

#include "partners/server.h"

namespace postspread::fleet_rig {

// Listens on a loopback port and forwards each connection to `target`.
class Relay {
 public:
  Relay(event_base* base, std::string target) : base_(base), target_(std::move(target)) {
    const sockaddr_in address = partners::Loopback(0);
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<Relay*>(self)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 128, reinterpret_cast<const sockaddr*>(&address),
        sizeof address));
    if (!listener_) throw std::runtime_error("relay can't listen on loopback");
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = partners::LoopbackAddress(ntohs(bound.sin_port));
  }
  [[nodiscard]] const std::string& address() const { return address_; }
  void Cut() { SetCut(true); }
  void Heal() { SetCut(false); }
  // Resets every connection through the relay.
  void Reset() {
    for (const auto& pair : pairs_) {
      const linger hard{1, 0};
      for (bufferevent* side : {pair->near.get(), pair->far.get()}) {
        setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      }
    }
    pairs_.clear();
  }
  // The number of connections that the relay has accepted.
  std::uint64_t dials = 0;

 private:
  // The two sides of one relayed connection.
  struct Pair {
    Relay* relay = nullptr;
    net::BufferEvent near, far;
  };
  void SetCut(bool cut) {
    cut_ = cut;
    for (const auto& pair : pairs_) Update(*pair);
  }
  // Enables or disables transfers on both sides of the pair.
  void Update(Pair& pair) const {
    for (bufferevent* side : {pair.near.get(), pair.far.get()}) {
      if (side == nullptr) continue;
      (cut_ ? bufferevent_disable : bufferevent_enable)(side, EV_READ | EV_WRITE);
    }
  }
  void Accept(evutil_socket_t fd) {
    ++dials;
    auto pair = std::make_unique<Pair>();
    pair->relay = this;
    pair->near.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    const auto address = config::Address::Parse(target_);
    pair->far = net::Dial(base_, *address, OnRead, nullptr, OnEvent, pair.get());
    if (!pair->far) return;
    bufferevent_setcb(pair->near.get(), OnRead, nullptr, OnEvent, pair.get());
    Update(*pair);
    pairs_.push_back(std::move(pair));
  }
  static void OnRead(bufferevent* from, void* context) {
    const auto* pair = static_cast<const Pair*>(context);
    bufferevent* to = from == pair->near.get() ? pair->far.get() : pair->near.get();
    bufferevent_write_buffer(to, bufferevent_get_input(from));
  }
  static void OnEvent(bufferevent*, short what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    auto* pair = static_cast<Pair*>(context);
    pair->relay->pairs_.remove_if([pair](const auto& p) { return p.get() == pair; });
  }

  event_base* base_;
  std::string target_, address_;
  net::Listener listener_;
  bool cut_ = false;
  std::list<std::unique_ptr<Pair>> pairs_;
};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_RELAY_H_
