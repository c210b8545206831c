// Stand-ins of the platform on loopback: upstreams in cells that drop duplicates, discovery, the shared
// counter, and a relay of datagrams between gateways with loss and delay.
#ifndef POSTSPREAD_TESTS_PARTNERS_PLATFORM_H_
#define POSTSPREAD_TESTS_PARTNERS_PLATFORM_H_

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "partners/server.h"
#include "resp/frame.h"

namespace postspread::partners {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Returns the value of NAME in "a=1,NAME=2", or an empty string if NAME is missing.
inline std::string ExtraValue(std::string_view extras, std::string_view name) {
  const std::string list = "," + std::string(extras), prefix = "," + std::string(name) + "=";
  const std::size_t at = list.find(prefix);
  if (at == std::string::npos) return "";
  const std::size_t begin = at + prefix.size();
  return list.substr(begin, list.find(',', begin) - begin);
}

// Upstreams in several cells. A cell stores each idempotency key for `window` after its first request. A
// duplicate within that time changes nothing and receives the same value, once the first request is complete.
class Upstreams {
 public:
  Upstreams(event_base* base, int cells, int per_cell, std::uint64_t seed, std::chrono::milliseconds window)
      : base_(base), random_(seed), window_(window), records_(static_cast<std::size_t>(cells)) {
    for (int i = 0; i < cells * per_cell; ++i) {
      const int cell = i / per_cell;
      servers_.push_back(std::make_unique<Server>(
          base, [this, i, cell](Server::Connection& connection) { Read(i, cell, connection); }));
      incarnations_.push_back(0);
    }
  }
  int size() const { return static_cast<int>(servers_.size()); }
  void Kill(int upstream) {
    servers_[static_cast<std::size_t>(upstream)]->Kill();
    ++incarnations_[static_cast<std::size_t>(upstream)];
  }
  void Restart(int upstream) { servers_[static_cast<std::size_t>(upstream)]->Restart(); }
  nlohmann::json EndpointEntries(int per_cell) const {
    nlohmann::json out = nlohmann::json::array();
    for (int i = 0; i < size(); ++i) {
      const auto& server = servers_[static_cast<std::size_t>(i)];
      out.push_back({{"name", "s-" + std::to_string(i)},
                     {"address", server->address()},
                     {"zone", std::string("hall-") + static_cast<char>('a' + i / per_cell)},
                     {"group", i / per_cell},
                     {"status", server->alive() ? "Ready" : "Gone"}});
    }
    return out;
  }

  // Called when an upstream has received a complete attempt. `extras` are the attempt's names and values.
  std::function<void(int upstream, std::string_view id, std::string_view extras)> on_attempt =
      [](int, std::string_view, std::string_view) {};
  // Returns the minimum size of the value for a read, in bytes.
  std::function<std::size_t(std::string_view id)> value_size = [](std::string_view) {
    return std::size_t{0};
  };
  // Returns whether an upstream hangs: it receives attempts and never responds.
  std::function<bool(int upstream)> hangs = [](int) { return false; };
  milliseconds min_service_time{2};  // service times are up to 20 ms longer
  std::uint64_t requests = 0, changes = 0, repeats_dropped = 0;
  // How often each change was executed, by customer and key.
  std::unordered_map<std::string, int> applied;

 private:
  struct KeyRecord {
    Clock::time_point first_at, done_at;
    std::string value;
  };

  void Read(int upstream, int cell, Server::Connection& connection) {
    resp::Command command;
    while (resp::ParseCommand(connection.input(), command) == resp::Progress::kComplete) {
      const std::string_view verb = command.parts[0];
      if (verb == "API.WRITE" || verb == "API.READ") on_attempt(upstream, command.parts[2], command.parts[3]);
      if (verb.starts_with("API.") && hangs(upstream)) {
        ++requests;
      } else if (verb == "API.WRITE" && ExtraValue(command.parts[3], "k").empty()) {
        ++requests;
        Respond(upstream, connection, ServiceTime(), "done " + std::string(command.parts[2]));
      } else if (verb == "API.WRITE") {
        ApplyChange(upstream, cell, connection, std::string(command.parts[1]), command.parts[3]);
      } else if (verb == "API.READ") {
        ++requests;
        std::string value = "dates of " + std::string(command.parts[2]);
        value.resize(std::max(value.size(), value_size(command.parts[2])), '.');
        Respond(upstream, connection, ServiceTime(), std::move(value));
      } else {
        connection.Send("-ERR unknown\r\n");
      }
      connection.Consume(command.size);
    }
  }

  void ApplyChange(int upstream, int cell, Server::Connection& connection, const std::string& customer,
                   std::string_view extras) {
    ++requests;
    const auto now = Clock::now();
    const std::string key = customer + "/" + ExtraValue(extras, "k");
    KeyRecord& record = records_[static_cast<std::size_t>(cell)][key];
    if (record.value.empty() || now >= record.first_at + window_) {
      ++changes;
      const int times = ++applied[key];
      record.first_at = now;
      const milliseconds service = ServiceTime();
      record.done_at = now + service;
      record.value = "made " + key + " " + std::to_string(times) + " by " + std::to_string(upstream) + " ";
      if (std::hash<std::string>()(key) % 250 == 0) record.value.resize(60'000, 'x');
    } else {
      ++repeats_dropped;
    }
    const auto left = std::chrono::ceil<milliseconds>(record.done_at - now);
    Respond(upstream, connection, std::max(milliseconds(1), left), record.value);
  }

  void Respond(int upstream, Server::Connection& connection, milliseconds after, std::string value) {
    const std::uint64_t number = connection.number();
    const int incarnation = incarnations_[static_cast<std::size_t>(upstream)];
    After(base_, after, [this, upstream, incarnation, number, value = std::move(value)] {
      // The upstream was killed meanwhile.
      if (incarnations_[static_cast<std::size_t>(upstream)] != incarnation) return;
      Server::Connection* to = servers_[static_cast<std::size_t>(upstream)]->Find(number);
      if (to == nullptr) return;
      std::string out = "*3\r\n";
      resp::AppendBulk(value, out);
      to->Send(out + "$-1\r\n$9\r\nutil=0.25\r\n");
    });
  }
  milliseconds ServiceTime() { return min_service_time + milliseconds(random_() % 20); }

  event_base* base_;
  std::mt19937_64 random_;
  milliseconds window_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<int> incarnations_;
  std::vector<std::unordered_map<std::string, KeyRecord>> records_;  // by cell
};

// Serves the endpoint list, and completes long polls when it changes.
class Discovery {
 public:
  explicit Discovery(event_base* base) : server_(base, [this](Server::Connection& c) { Read(c); }) {}
  [[nodiscard]] std::string address() const { return server_.address(); }
  void Publish(nlohmann::json endpoints) {
    ++index_;
    list_ = std::move(endpoints);
    for (const std::uint64_t number : std::exchange(long_polls_, {})) {
      if (Server::Connection* c = server_.Find(number)) Respond(*c);
    }
  }

 private:
  void Read(Server::Connection& connection) {
    for (;;) {
      const std::string input(connection.input());
      const std::size_t end = input.find("\r\n\r\n");
      if (end == std::string::npos) return;
      connection.Consume(end + 4);
      const bool is_long_poll = input.find("since=" + std::to_string(index_) + "&") != std::string::npos;
      if (is_long_poll) {
        long_polls_.push_back(connection.number());
      } else {
        Respond(connection);
      }
    }
  }
  void Respond(Server::Connection& connection) {
    const std::string body =
        nlohmann::json({{"index", index_}, {"snapshot", true}, {"endpoints", list_}}).dump();
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  Server server_;
  int index_ = 40;
  nlohmann::json list_ = nlohmann::json::array();
  std::vector<std::uint64_t> long_polls_;
};

// The shared counter: adds up amounts under names that expire.
class Counter {
 public:
  explicit Counter(event_base* base) : server_(base, [this](Server::Connection& c) { Read(c); }) {}
  std::string address() const { return server_.address(); }

 private:
  void Read(Server::Connection& connection) {
    resp::Command command;
    while (resp::ParseCommand(connection.input(), command) == resp::Progress::kComplete) {
      if (command.parts[0] == "CNT.ADD") {
        const auto now = Clock::now();
        auto& [total, expires_at] = totals_[std::string(command.parts[1])];
        if (now >= expires_at) {
          total = 0;
          expires_at = now + milliseconds(std::stol(std::string(command.parts[3])));
        }
        total += std::stod(std::string(command.parts[2]));
        std::string out;
        resp::AppendBulk(std::to_string(total), out);
        connection.Send(out);
      } else {
        connection.Send("+PONG\r\n");
      }
      connection.Consume(command.size);
    }
  }
  Server server_;
  std::unordered_map<std::string, std::pair<double, Clock::time_point>> totals_;
};

// Relays datagrams between gateways. Each ordered pair of gateways has a socket of its own, so that a gateway
// identifies the sender by the datagram's source address.
class Datagrams {
 public:
  Datagrams(event_base* base, int gateways, std::uint64_t seed)
      : base_(base), random_(seed), gateway_count_(gateways) {
    for (int i = 0; i < gateway_count_; ++i) ports_.push_back(FreePort(SOCK_DGRAM));
    for (int i = 0; i < gateway_count_ * gateway_count_; ++i)
      routes_.push_back(std::make_unique<Route>(*this, i / gateway_count_, i % gateway_count_));
  }
  double loss = 0;  // probability; if not 0, one of 20 datagrams is duplicated
  milliseconds max_delay{20};
  std::function<bool(int from, int to)> cut = [](int, int) { return false; };
  std::uint64_t passed = 0, lost = 0, too_long = 0;
  // Sends bytes to gateway `to` with the source address of gateway `from`.
  void Inject(int from, int to, std::string_view bytes) {
    const sockaddr_in target = Loopback(ports_[static_cast<std::size_t>(to)]);
    sendto(route(to, from).fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target),
           sizeof target);
  }

  [[nodiscard]] std::string listen(int rank) const {
    return LoopbackAddress(ports_[static_cast<std::size_t>(rank)]);
  }
  // Returns the addresses of all gateways as configured at the gateway of this rank.
  [[nodiscard]] nlohmann::json peers(int rank) const {
    nlohmann::json out = nlohmann::json::array();
    for (int to = 0; to < gateway_count_; ++to) out.push_back(LoopbackAddress(route(rank, to).port));
    return out;
  }

 private:
  struct Route {
    Route(Datagrams& owner, int from, int to) : owner(owner), from(from), to(to) {
      fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in address = Loopback(0);
      socklen_t size = sizeof address;
      if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) throw std::runtime_error("bind failed");
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
      port = ntohs(address.sin_port);
      event.reset(event_new(
          owner.base_, fd, EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Route*>(self)->Read(); }, this));
      event_add(event.get(), nullptr);
    }
    ~Route() {
      event.reset();
      close(fd);
    }
    void Read() {
      char bytes[2048];
      for (ssize_t size = 0; (size = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) >= 0;) {
        owner.Forward(from, to, std::string(bytes, static_cast<std::size_t>(size)));
      }
    }
    Datagrams& owner;
    int from, to, fd = -1, port = 0;
    net::EventHandle event;
  };
  [[nodiscard]] const Route& route(int from, int to) const {
    return *routes_[static_cast<std::size_t>(from) * static_cast<std::size_t>(gateway_count_) +
                    static_cast<std::size_t>(to)];
  }

  void Forward(int from, int to, const std::string& bytes) {
    too_long += bytes.size() > 256;
    if (cut(from, to) || std::uniform_real_distribution<double>(0, 1)(random_) < loss) {
      ++lost;
      return;
    }
    const int copies = loss > 0 && random_() % 20 == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const milliseconds delay(
          max_delay.count() == 0 ? 0 : static_cast<std::int64_t>(random_()) % max_delay.count());
      const auto send = [this, from, to, bytes] {
        ++passed;
        Inject(from, to, bytes);
      };
      if (delay.count() <= 0) {
        send();
      } else {
        After(base_, delay, send);
      }
    }
  }

  event_base* base_;
  std::mt19937_64 random_;
  int gateway_count_;
  std::vector<int> ports_;  // on which the gateways listen, by rank
  std::vector<std::unique_ptr<Route>> routes_;
};

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_PLATFORM_H_
