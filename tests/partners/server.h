// A listener on loopback with its connections, on libevent. All stand-ins of partners are based on it.
#ifndef POSTSPREAD_TESTS_PARTNERS_SERVER_H_
#define POSTSPREAD_TESTS_PARTNERS_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/loop.h"
#include "partners/loopback.h"

namespace postspread::partners {

inline std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

// Allocates ports that no other process of these tests and benches uses while this one runs. Otherwise a
// gateway or stand-in that is killed and restarted could find its port taken. A process reserves a block of
// ports by binding a name in the abstract namespace of Unix sockets, which the system releases when the
// process ends. All blocks lie below the system's ephemeral port range.
class PortBlocks {
 public:
  int Next() {
    if (ports_left_ == 0) Reserve();
    --ports_left_;
    return next_port_++;
  }

 private:
  static constexpr int kFirst = 12'000, kPortsPerBlock = 400, kBlockCount = 50;

  void Reserve() {
    for (; block_ < kBlockCount; ++block_) {
      if (!BindName("postspread-test-ports-" + std::to_string(block_))) continue;
      next_port_ = kFirst + block_++ * kPortsPerBlock;
      ports_left_ = kPortsPerBlock;
      return;
    }
    throw std::runtime_error("no port block is left");
  }
  static bool BindName(const std::string& name) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    name.copy(address.sun_path + 1, sizeof address.sun_path - 1);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    const int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);  // open until the process ends
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), size) == 0) return true;
    close(fd);
    return false;
  }

  int block_ = 0, next_port_ = 0, ports_left_ = 0;
};

// Returns a port that is free now and that no other process of these tests gets.
inline int FreePort(int type = SOCK_STREAM) {
  static PortBlocks ports;
  for (;;) {
    const int port = ports.Next();
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (is_free) return port;
  }
}

class Server {
 public:
  class Connection {
   public:
    void Send(std::string_view bytes) {
      if (event_) net::Write(event_.get(), bytes);
    }
    std::string_view input() { return net::Peek(event_.get(), net::ReadSize(event_.get())); }
    void Consume(std::size_t size) { net::Consume(event_.get(), size); }
    [[nodiscard]] std::uint64_t number() const { return number_; }

   private:
    friend class Server;
    Server* server_ = nullptr;
    net::BufferEvent event_;
    std::uint64_t number_ = 0;
  };
  using OnData = std::function<void(Connection&)>;

  Server(event_base* base, OnData on_data) : base_(base), on_data_(std::move(on_data)) { Listen(0); }

  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return LoopbackAddress(port_); }

  // Simulates a crash: resets every connection and refuses new ones.
  void Kill() {
    listener_.reset();
    for (const auto& connection : connections_) {
      const linger reset_on_close{1, 0};
      setsockopt(bufferevent_getfd(connection->event_.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof reset_on_close);
    }
    connections_.clear();
  }
  void Restart() { Listen(port_); }
  [[nodiscard]] bool alive() const { return listener_ != nullptr; }

  // Returns the connection of this number, or null if it is closed.
  Connection* Find(std::uint64_t number) {
    for (const auto& connection : connections_) {
      if (connection->number_ == number) return connection.get();
    }
    return nullptr;
  }

 private:
  void Listen(int port) {
    const sockaddr_in address = Loopback(port);
    listener_.reset(evconnlistener_new_bind(
        base_,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<Server*>(self)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 512,
        reinterpret_cast<const sockaddr*>(&address), sizeof address));
    if (!listener_) throw std::runtime_error("can't listen on port " + std::to_string(port));
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
  }
  void Accept(evutil_socket_t fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto connection = std::make_unique<Connection>();
    connection->server_ = this;
    connection->number_ = next_number_++;
    connection->event_.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        connection->event_.get(),
        [](bufferevent*, void* c) {
          auto* self = static_cast<Connection*>(c);
          self->server_->on_data_(*self);
        },
        nullptr,
        [](bufferevent*, short what, void* c) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            auto* self = static_cast<Connection*>(c);
            self->server_->Remove(self);
          }
        },
        connection.get());
    bufferevent_enable(connection->event_.get(), EV_READ | EV_WRITE);
    connections_.push_back(std::move(connection));
  }
  void Remove(Connection* connection) {
    connections_.remove_if([connection](const auto& c) { return c.get() == connection; });
  }

  event_base* base_;
  OnData on_data_;
  net::Listener listener_;
  int port_ = 0;
  std::uint64_t next_number_ = 1;
  std::list<std::unique_ptr<Connection>> connections_;
};

// Calls `run` once, after `delay`.
inline void After(event_base* base, std::chrono::microseconds delay, std::function<void()> run) {
  auto* callback = new std::function<void()>(std::move(run));
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(delay.count() / 1'000'000);
  tv.tv_usec = static_cast<suseconds_t>(delay.count() % 1'000'000);
  event_base_once(
      base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* self) {
        const std::unique_ptr<std::function<void()>> f(static_cast<std::function<void()>*>(self));
        (*f)();
      },
      callback, &tv);
}

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_SERVER_H_
