// Stand-ins of the platform on loopback: calendar nodes in pods that drop repeats, discovery, the shared
// counter, and the way of datagrams between gateways with loss and delay.
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

// The value of NAME in "a=1,NAME=2".
inline std::string Member(std::string_view extras, std::string_view name) {
  const std::string list = "," + std::string(extras), look = "," + std::string(name) + "=";
  const std::size_t at = list.find(look);
  if (at == std::string::npos) return "";
  const std::size_t begin = at + look.size();
  return list.substr(begin, list.find(',', begin) - begin);
}

// Nodes of several pods. A pod remembers each key for `window` from when its first request came: a repeat
// gets the same value once that is there, and changes nothing.
class Nodes {
 public:
  Nodes(event_base* base, int pods, int each, std::uint64_t seed, std::chrono::milliseconds window)
      : base_(base), random_(seed), window_(window), known_(static_cast<std::size_t>(pods)) {
    for (int i = 0; i < pods * each; ++i) {
      const int pod = i / each;
      servers_.push_back(std::make_unique<Server>(
          base, [this, i, pod](Server::Connection& connection) { Read(i, pod, connection); }));
      lives_.push_back(0);
    }
  }
  int size() const { return static_cast<int>(servers_.size()); }
  void Kill(int node) {
    servers_[static_cast<std::size_t>(node)]->Kill();
    ++lives_[static_cast<std::size_t>(node)];
  }
  void Restart(int node) { servers_[static_cast<std::size_t>(node)]->Restart(); }
  nlohmann::json Listed(int each) const {
    nlohmann::json out = nlohmann::json::array();
    for (int i = 0; i < size(); ++i) {
      const auto& server = servers_[static_cast<std::size_t>(i)];
      out.push_back({{"name", "s-" + std::to_string(i)},
                     {"address", server->address()},
                     {"zone", std::string("hall-") + static_cast<char>('a' + i / each)},
                     {"group", i / each},
                     {"status", server->alive() ? "Ready" : "Gone"}});
    }
    return out;
  }

  // An attempt has come whole to a node: its id, and its names and values.
  std::function<void(int node, std::string_view id, std::string_view extras)> on_attempt =
      [](int, std::string_view, std::string_view) {};
  // How many bytes the value for a read has at least.
  std::function<std::size_t(std::string_view id)> value_size = [](std::string_view) {
    return std::size_t{0};
  };
  // Whether a node is stuck: it takes attempts and says nothing.
  std::function<bool(int node)> hangs = [](int) { return false; };
  milliseconds least_service{2};
  std::uint64_t requests = 0, changes = 0, repeats_dropped = 0;
  // By customer and key: how often the change was made.
  std::unordered_map<std::string, int> applied;

 private:
  struct Known {
    Clock::time_point first, done;
    std::string value;
  };

  void Read(int node, int pod, Server::Connection& connection) {
    resp::Command command;
    while (resp::ParseCommand(connection.input(), command) == resp::Progress::kWhole) {
      const std::string_view verb = command.parts[0];
      if (verb == "API.WRITE" || verb == "API.READ") on_attempt(node, command.parts[2], command.parts[3]);
      if (verb.starts_with("API.") && hangs(node)) {
        ++requests;
      } else if (verb == "API.WRITE" && Member(command.parts[3], "k").empty()) {
        ++requests;
        Answer(node, connection, Service(), "done " + std::string(command.parts[2]));
      } else if (verb == "API.WRITE") {
        Change(node, pod, connection, std::string(command.parts[1]), command.parts[3]);
      } else if (verb == "API.READ") {
        ++requests;
        std::string value = "dates of " + std::string(command.parts[2]);
        value.resize(std::max(value.size(), value_size(command.parts[2])), '.');
        Answer(node, connection, Service(), std::move(value));
      } else {
        connection.Send("-ERR unknown\r\n");
      }
      connection.Consume(command.size);
    }
  }

  void Change(int node, int pod, Server::Connection& connection, const std::string& customer,
              std::string_view extras) {
    ++requests;
    const auto now = Clock::now();
    const std::string key = customer + "/" + Member(extras, "k");
    Known& known = known_[static_cast<std::size_t>(pod)][key];
    if (known.value.empty() || now >= known.first + window_) {
      ++changes;
      const int times = ++applied[key];
      known.first = now;
      const milliseconds service = Service();
      known.done = now + service;
      known.value = "made " + key + " " + std::to_string(times) + " by " + std::to_string(node) + " ";
      if (std::hash<std::string>()(key) % 250 == 0) known.value.resize(60'000, 'x');
    } else {
      ++repeats_dropped;
    }
    const auto left = std::chrono::ceil<milliseconds>(known.done - now);
    Answer(node, connection, std::max(milliseconds(1), left), known.value);
  }

  void Answer(int node, Server::Connection& connection, milliseconds after, std::string value) {
    const std::uint64_t number = connection.number();
    const int incarnation = lives_[static_cast<std::size_t>(node)];
    After(base_, after, [this, node, incarnation, number, value = std::move(value)] {
      if (lives_[static_cast<std::size_t>(node)] != incarnation) return;  // it died meanwhile
      Server::Connection* to = servers_[static_cast<std::size_t>(node)]->Find(number);
      if (to == nullptr) return;
      std::string out = "*3\r\n";
      resp::AppendBulk(value, out);
      to->Send(out + "$-1\r\n$9\r\nutil=0.25\r\n");
    });
  }
  milliseconds Service() { return least_service + milliseconds(random_() % 20); }

  event_base* base_;
  std::mt19937_64 random_;
  milliseconds window_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<int> lives_;
  std::vector<std::unordered_map<std::string, Known>> known_;  // by pod
};

class Discovery {
 public:
  explicit Discovery(event_base* base) : server_(base, [this](Server::Connection& c) { Read(c); }) {}
  [[nodiscard]] std::string address() const { return server_.address(); }
  void Tell(nlohmann::json endpoints) {
    ++index_;
    list_ = std::move(endpoints);
    for (const std::uint64_t number : std::exchange(watching_, {})) {
      if (Server::Connection* c = server_.Find(number)) Answer(*c);
    }
  }

 private:
  void Read(Server::Connection& connection) {
    for (;;) {
      const std::string input(connection.input());
      const std::size_t end = input.find("\r\n\r\n");
      if (end == std::string::npos) return;
      connection.Consume(end + 4);
      const bool watches = input.find("since=" + std::to_string(index_) + "&") != std::string::npos;
      if (watches) {
        watching_.push_back(connection.number());
      } else {
        Answer(connection);
      }
    }
  }
  void Answer(Server::Connection& connection) {
    const std::string body =
        nlohmann::json({{"index", index_}, {"snapshot", true}, {"endpoints", list_}}).dump();
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  Server server_;
  int index_ = 40;
  nlohmann::json list_ = nlohmann::json::array();
  std::vector<std::uint64_t> watching_;
};

class Counter {
 public:
  explicit Counter(event_base* base) : server_(base, [this](Server::Connection& c) { Read(c); }) {}
  std::string address() const { return server_.address(); }

 private:
  void Read(Server::Connection& connection) {
    resp::Command command;
    while (resp::ParseCommand(connection.input(), command) == resp::Progress::kWhole) {
      if (command.parts[0] == "CNT.ADD") {
        const auto now = Clock::now();
        auto& [total, until] = names_[std::string(command.parts[1])];
        if (now >= until) {
          total = 0;
          until = now + milliseconds(std::stol(std::string(command.parts[3])));
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
  std::unordered_map<std::string, std::pair<double, Clock::time_point>> names_;
};

// Between n gateways each pair has addresses of its own, so that a datagram's sender is known by where it
// comes from.
class Datagrams {
 public:
  Datagrams(event_base* base, int gateways, std::uint64_t seed) : base_(base), random_(seed), n_(gateways) {
    for (int i = 0; i < n_; ++i) listen_.push_back(FreePort(SOCK_DGRAM));
    for (int i = 0; i < n_ * n_; ++i) sockets_.push_back(std::make_unique<Way>(*this, i / n_, i % n_));
  }
  double loss = 0;
  milliseconds most_delay{20};
  std::function<bool(int from, int to)> cut = [](int, int) { return false; };
  std::uint64_t passed = 0, lost = 0, too_long = 0;
  // Hands a gateway bytes as though they came from that other one.
  void Inject(int from, int to, std::string_view bytes) {
    const sockaddr_in target = Loopback(listen_[static_cast<std::size_t>(to)]);
    sendto(way(to, from).fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target),
           sizeof target);
  }

  [[nodiscard]] std::string listen(int rank) const {
    return LoopbackAddress(listen_[static_cast<std::size_t>(rank)]);
  }
  // The gateways' addresses as the one of this rank knows them.
  [[nodiscard]] nlohmann::json peers(int rank) const {
    nlohmann::json out = nlohmann::json::array();
    for (int to = 0; to < n_; ++to) out.push_back(LoopbackAddress(way(rank, to).port));
    return out;
  }

 private:
  struct Way {
    Way(Datagrams& all, int from, int to) : all(all), from(from), to(to) {
      fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in address = Loopback(0);
      socklen_t size = sizeof address;
      if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) throw std::runtime_error("no port");
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
      port = ntohs(address.sin_port);
      event.reset(event_new(
          all.base_, fd, EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Way*>(self)->Read(); }, this));
      event_add(event.get(), nullptr);
    }
    ~Way() {
      event.reset();
      close(fd);
    }
    void Read() {
      char bytes[2048];
      for (ssize_t size = 0; (size = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) >= 0;) {
        all.Pass(from, to, std::string(bytes, static_cast<std::size_t>(size)));
      }
    }
    Datagrams& all;
    int from, to, fd = -1, port = 0;
    net::EventHandle event;
  };
  [[nodiscard]] const Way& way(int from, int to) const {
    return *sockets_[static_cast<std::size_t>(from) * static_cast<std::size_t>(n_) +
                     static_cast<std::size_t>(to)];
  }

  void Pass(int from, int to, const std::string& bytes) {
    too_long += bytes.size() > 256;
    if (cut(from, to) || std::uniform_real_distribution<double>(0, 1)(random_) < loss) {
      ++lost;
      return;
    }
    const int copies = loss > 0 && random_() % 20 == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const milliseconds delay(
          most_delay.count() == 0 ? 0 : static_cast<std::int64_t>(random_()) % most_delay.count());
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
  int n_;
  std::vector<int> listen_;
  std::vector<std::unique_ptr<Way>> sockets_;
};

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_PLATFORM_H_
