// Clients of gateways on libevent: one request at a time on a connection, connections kept and opened
// anew.
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

// One connection; one request at a time.
class Client {
 public:
  using Done = std::function<void(bool came, std::string answer)>;
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
  [[nodiscard]] bool usable() const { return event_ != nullptr && !broken_; }
  [[nodiscard]] bool busy() const { return done_ != nullptr; }
  void Ask(const std::string& message, Done done) {
    done_ = std::move(done);
    bufferevent_write(event_.get(), message.data(), message.size());
  }

 private:
  void Read() {
    const std::string_view input = net::Peek(event_.get(), net::ReadSize(event_.get()));
    resp::Reply reply;
    if (resp::ParseReply(input, reply) != resp::Progress::kWhole) return;
    std::string text(reply.kind == resp::Reply::Kind::kError ? "-" : "+");
    text += reply.text;
    net::Consume(event_.get(), reply.size);
    End(true, std::move(text));
  }
  void End(bool came, std::string answer) {
    broken_ = broken_ || !came;
    if (const Done done = std::exchange(done_, nullptr)) done(came, std::move(answer));
  }
  net::BufferEvent event_;
  Done done_;
  bool broken_ = false;
};

// Connections to several gateways, by rank.
class Clients {
 public:
  // `port`: where the gateway of a rank listens.
  Clients(event_base* base, int gateways, std::function<int(int rank)> port)
      : base_(base), port_(std::move(port)), pools_(static_cast<std::size_t>(gateways)) {}
  void Ask(int rank, const std::string& message, Client::Done done) {
    auto& pool = pools_[static_cast<std::size_t>(rank)];
    std::erase_if(pool, [](const auto& c) { return !c->usable() && !c->busy(); });
    for (const auto& client : pool) {
      if (!client->busy() && client->usable()) return client->Ask(message, std::move(done));
    }
    pool.push_back(std::make_unique<Client>(base_, port_(rank)));
    if (!pool.back()->usable()) return done(false, "");
    pool.back()->Ask(message, std::move(done));
  }

 private:
  event_base* base_;
  std::function<int(int)> port_;
  std::vector<std::vector<std::unique_ptr<Client>>> pools_;
};

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_CLIENT_H_
