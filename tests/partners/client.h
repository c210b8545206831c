// Clients of gateways on libevent. Each connection carries one request at a time. Idle connections are
// reused, lost ones replaced.
#ifndef POSTSPREAD_TESTS_PARTNERS_CLIENT_H_
#define POSTSPREAD_TESTS_PARTNERS_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "partners/server.h"
#include "resp/frame.h"

namespace postspread::partners {

// One connection, which carries one request at a time.
class Client {
 public:
  // `is_received` is false if the connection was lost first. `response` begins with '-' for an error, with
  // '+' otherwise.
  using Done = std::function<void(bool is_received, std::string response)>;
  Client(event_base* base, int port) {
    const auto address = config::Address::Parse(LoopbackAddress(port));
    event_ = net::Dial(
        base, *address, [](bufferevent*, void* self) { static_cast<Client*>(self)->Read(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<Client*>(self)->End(false, "");
        },
        this);
    if (event_) bufferevent_enable(event_.get(), EV_READ | EV_WRITE);
  }
  [[nodiscard]] bool is_usable() const { return event_ != nullptr && !is_broken_; }
  // Returns whether a request is in flight.
  [[nodiscard]] bool is_busy() const { return done_ != nullptr; }
  void Send(const std::string& message, Done done) {
    done_ = std::move(done);
    bufferevent_write(event_.get(), message.data(), message.size());
  }

 private:
  void Read() {
    const std::string_view input = net::Peek(event_.get(), net::ReadSize(event_.get()));
    resp::Reply reply;
    if (resp::ParseReply(input, reply) != resp::Progress::kComplete) return;
    std::string text(reply.kind == resp::Reply::Kind::kError ? "-" : "+");
    text += reply.text;
    net::Consume(event_.get(), reply.size);
    End(true, std::move(text));
  }
  void End(bool is_received, std::string response) {
    is_broken_ = is_broken_ || !is_received;
    if (const Done done = std::exchange(done_, nullptr)) done(is_received, std::move(response));
  }
  net::BufferEvent event_;
  Done done_;
  bool is_broken_ = false;
};

// Connection pools to several gateways, by rank.
class Clients {
 public:
  // `port` returns the port on which the gateway of a rank listens.
  Clients(event_base* base, int gateways, std::function<int(int rank)> port)
      : base_(base), port_(std::move(port)), pools_(static_cast<std::size_t>(gateways)) {}
  void Send(int rank, const std::string& message, Client::Done done) {
    auto& pool = pools_[static_cast<std::size_t>(rank)];
    std::erase_if(pool, [](const auto& c) { return !c->is_usable() && !c->is_busy(); });
    for (const auto& client : pool) {
      if (!client->is_busy() && client->is_usable()) return client->Send(message, std::move(done));
    }
    pool.push_back(std::make_unique<Client>(base_, port_(rank)));
    if (!pool.back()->is_usable()) return done(false, "");
    pool.back()->Send(message, std::move(done));
  }

 private:
  event_base* base_;
  std::function<int(int)> port_;
  std::vector<std::vector<std::unique_ptr<Client>>> pools_;
};

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_CLIENT_H_
