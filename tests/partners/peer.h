// Sockets of scripted partners: connections that a test reads and writes step by step, and listening ports.
// Waits end with an event or after a timeout that fails the test.
#ifndef POSTSPREAD_TESTS_PARTNERS_PEER_H_
#define POSTSPREAD_TESTS_PARTNERS_PEER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "partners/loopback.h"
#include "resp/frame.h"

namespace postspread::site {

using partners::Loopback;

constexpr int kTimeoutMs = 20'000;  // a test fails if an event takes longer

inline bool Readable(int fd, int wait_ms = kTimeoutMs) {
  pollfd p{fd, POLLIN, 0};
  return poll(&p, 1, wait_ms) == 1;
}

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() { Close(); }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  [[nodiscard]] int fd() const { return fd_; }

 private:
  int fd_;
};

// The test's end of a connection. Reads fail after kTimeoutMs.
class Peer {
 public:
  explicit Peer(int fd) : socket_(fd) {}
  void Send(const std::string& bytes) {
    REQUIRE(send(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  // Reads until `end` has arrived, and returns all bytes up to and including it.
  std::string Until(const std::string& end) {
    while (buffer_.find(end) == std::string::npos) {
      if (!Fill()) FAIL("the connection ended or stalled after: " + buffer_);
    }
    const std::size_t size = buffer_.find(end) + end.size();
    std::string out = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return out;
  }
  std::string Line() { return Until("\r\n"); }
  // Reads a complete command of bulk strings, and returns its parts.
  std::vector<std::string> Command() {
    resp::Command command;
    while (resp::ParseCommand(buffer_, command) == resp::Progress::kPartial) {
      if (!Fill()) FAIL("the connection ended or stalled after: " + buffer_);
    }
    REQUIRE(command.size > 0);
    std::vector<std::string> out(command.parts.begin(), command.parts.begin() + command.count);
    buffer_.erase(0, command.size);
    return out;
  }
  // Reads `size` bytes, or fewer if the connection ends or stalls first.
  std::string Bytes(std::size_t size) {
    std::string out;
    for (std::string part; out.size() < size && !(part = ReadSome(size - out.size())).empty();) out += part;
    return out;
  }
  // Waits for bytes and returns those that have arrived, up to `max_size`. Returns nothing if the connection
  // ended or stalled.
  std::string ReadSome(std::size_t max_size) {
    if (buffer_.empty() && !Fill()) return {};
    std::string out = buffer_.substr(0, max_size);
    buffer_.erase(0, out.size());
    return out;
  }
  // Sends as many bytes as the socket takes without blocking. Returns their number.
  std::size_t SendSome(std::string_view bytes) {
    const ssize_t sent = send(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  // Closes with a reset, as the system does for a process that crashes.
  void Reset() {
    const linger reset_on_close{1, 0};
    setsockopt(socket_.fd(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    socket_.Close();
  }
  void HalfClose() { shutdown(socket_.fd(), SHUT_WR); }
  // Waits for the other end to close. Returns false if bytes arrive first or are unread.
  bool Ended() { return !Fill() && buffer_.empty(); }
  // Waits for the other end to close or reset the connection, whether bytes are unread or not.
  [[nodiscard]] bool HangsUp(int wait_ms = kTimeoutMs) const {
    pollfd p{socket_.fd(), POLLRDHUP, 0};
    return poll(&p, 1, wait_ms) == 1;
  }
  // Returns whether bytes or a close can be read now, or within `wait_ms`.
  bool HasMore(int wait_ms = 0) { return !buffer_.empty() || Readable(socket_.fd(), wait_ms); }
  void Close() { socket_.Close(); }
  [[nodiscard]] int fd() const { return socket_.fd(); }

 private:
  bool Fill() {
    char bytes[4096];
    if (!Readable(socket_.fd())) return false;
    const ssize_t size = recv(socket_.fd(), bytes, sizeof bytes, 0);
    if (size > 0) buffer_.append(bytes, static_cast<std::size_t>(size));
    return size > 0;
  }
  Socket socket_;
  std::string buffer_;
};

class Port {
 public:
  explicit Port(int backlog = 16) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = Loopback(0);
    REQUIRE(bind(socket_.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(socket_.fd(), backlog) == 0);
    socklen_t size = sizeof address;
    getsockname(socket_.fd(), reinterpret_cast<sockaddr*>(&address), &size);
    number_ = ntohs(address.sin_port);
  }
  Peer Accept() {
    if (!Readable(socket_.fd())) FAIL("no connection arrived");
    return Peer(accept4(socket_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  }
  // Returns whether a connection waits to be accepted.
  [[nodiscard]] bool HasPendingConnection() const { return Readable(socket_.fd(), 0); }
  void Close() { socket_.Close(); }
  [[nodiscard]] int fd() const { return socket_.fd(); }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(number_); }
  [[nodiscard]] int number() const { return number_; }

 private:
  Socket socket_;
  int number_ = 0;
};

inline Peer Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return Peer(fd);
}

inline std::string Command(std::initializer_list<std::string_view> parts) {
  std::string out;
  resp::AppendCommand(parts, out);
  return out;
}

}  // namespace postspread::site

#endif  // POSTSPREAD_TESTS_PARTNERS_PEER_H_
