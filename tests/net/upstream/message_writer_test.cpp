// Tests of the writer of messages to upstreams, over pairs of connected sockets.
#include "net/upstream/message_writer.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/process_memory.h"
#include "partners/sanitizers.h"

namespace postspread::net {
namespace {

constexpr std::size_t kBodyBytes = 15'000;  // sent in one piece with the head
const std::string kHead = "head ";

// A writer with a socket that accepts only a part of a message, and the other end of it.
class SlowSocket {
 public:
  explicit SlowSocket(event_base* base) : writer(base, [] {}) {
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends_.data()) == 0);
    const int size = 1;  // the system rounds it up to its minimum
    REQUIRE(setsockopt(ends_[0], SOL_SOCKET, SO_SNDBUF, &size, sizeof size) == 0);
  }
  ~SlowSocket() {
    for (const int end : ends_) close(end);
  }
  SlowSocket(const SlowSocket&) = delete;
  SlowSocket& operator=(const SlowSocket&) = delete;

  [[nodiscard]] int fd() const { return ends_[0]; }
  // Reads what has arrived at the other end.
  void Drain() {
    std::array<char, 4'096> bytes{};
    for (ssize_t size = 0; (size = read(ends_[1], bytes.data(), bytes.size())) > 0;) {
      received.append(bytes.data(), static_cast<std::size_t>(size));
    }
  }

  MessageWriter writer;
  std::string received;

 private:
  std::array<int, 2> ends_{};
};

MessageWriter::Progress Begin(SlowSocket& socket, const std::shared_ptr<const std::string>& body) {
  const std::string joined = kHead + *body;
  return socket.writer.Begin(socket.fd(), {.head = kHead, .tail = *body, .owner = body, .joined = joined});
}

// Returns by how much the resident memory has grown beyond `before`.
std::size_t Growth(std::size_t before) {
  const std::size_t now = ResidentBytes();
  return partners::kHasSanitizers ? 0 : now - std::min(now, before);
}

}  // namespace

// Guards against copies of partly written messages, which no part had reserved, and which stayed with their
// connections after the messages were written.
TEST_CASE("given many messages that are written in part and then whole, the writers hold no copies of them") {
  constexpr int kWriters = 256;
  constexpr std::size_t kMaxGrowth = std::size_t{1'024} * 1'024;  // a quarter of the messages
  const EventBase base = MakeEventBase();
  const auto body = std::make_shared<const std::string>(kBodyBytes, 'b');
  std::vector<std::unique_ptr<SlowSocket>> sockets;
  sockets.reserve(kWriters);
  for (int i = 0; i < kWriters; ++i) sockets.push_back(std::make_unique<SlowSocket>(base.get()));
  const std::size_t before = ResidentBytes();
  for (const auto& socket : sockets) REQUIRE(Begin(*socket, body) == MessageWriter::Progress::kBlocked);
  CHECK(Growth(before) < kMaxGrowth);
  for (const auto& socket : sockets) {
    MessageWriter::Progress progress = MessageWriter::Progress::kBlocked;
    while (progress == MessageWriter::Progress::kBlocked) {
      socket->Drain();
      progress = socket->writer.Continue();
    }
    CHECK(progress == MessageWriter::Progress::kWritten);
    CHECK(socket->writer.remaining() == 0);
    socket->Drain();
    CHECK((socket->received == kHead + *body));
    std::string().swap(socket->received);
  }
  CHECK(Growth(before) < kMaxGrowth);
  CHECK(body.use_count() == 1);
}

TEST_CASE("given a message whose rest is discarded, the writer frees it, and goes on with another message") {
  const EventBase base = MakeEventBase();
  SlowSocket socket(base.get());
  const auto body = std::make_shared<const std::string>(kBodyBytes, 'b');
  REQUIRE(Begin(socket, body) == MessageWriter::Progress::kBlocked);
  const std::size_t remaining = socket.writer.remaining();
  socket.writer.DiscardRest();
  CHECK(body.use_count() == 1);
  CHECK(socket.writer.remaining() == remaining);
  socket.Drain();
  CHECK(socket.writer.Continue() == MessageWriter::Progress::kBroken);
  CHECK((socket.received.size() == kHead.size() + body->size() - remaining));
  CHECK(socket.writer.Begin(socket.fd(), {.head = "next"}) == MessageWriter::Progress::kWritten);
  CHECK(socket.writer.remaining() == 0);
}

}  // namespace postspread::net
