// Stand-ins for the cases under review/: a poll loop, RESP framing, the platform's discovery agent and
// counter, workers and clients on loopback, and the gateway as a child process. It shares no code with the
// gateway.
#ifndef POSTSPREAD_REVIEW_RIG_H_
#define POSTSPREAD_REVIEW_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

enum ExitCode { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// The record of a run. Each line begins with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void Line(const std::string& text) {
    const auto ms = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start_).count();
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%10.3f ", static_cast<double>(ms) / 1000.0);
    file_ << stamp << text << "\n";
  }
  void Flush() { file_.flush(); }

 private:
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

class Loop {
 public:
  using Callback = std::function<void()>;
  void At(Clock::time_point when, Callback callback) { timers_.emplace(when, std::move(callback)); }
  void After(milliseconds delay, Callback callback) { At(Clock::now() + delay, std::move(callback)); }
  void Watch(int fd, std::function<short()> wanted, std::function<void(short)> ready) {
    watched_[fd] = {std::move(wanted), std::move(ready)};
  }
  void Forget(int fd) { watched_.erase(fd); }
  // Runs until `done` returns true or the time is over. Returns whether `done` returned true.
  bool Run(const std::function<bool()>& done, milliseconds limit) {
    const auto end = Clock::now() + limit;
    while (!done()) {
      if (Clock::now() >= end) return false;
      Step(end);
    }
    return true;
  }
  void Sleep(milliseconds time) {
    Run([] { return false; }, time);
  }

 private:
  struct Watched {
    std::function<short()> wanted;
    std::function<void(short)> ready;
  };
  void Step(Clock::time_point end) {
    auto next = end;
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(next - Clock::now()).count();
    std::vector<pollfd> polled;
    for (const auto& [fd, watched] : watched_) polled.push_back({fd, watched.wanted(), 0});
    timespec timeout{};
    if (wait > 0) timeout = {wait / 1'000'000'000, wait % 1'000'000'000};
    if (ppoll(polled.data(), polled.size(), &timeout, nullptr) > 0) {
      for (const pollfd& entry : polled) {
        if (entry.revents == 0) continue;
        const auto found = watched_.find(entry.fd);
        if (found == watched_.end()) continue;
        const auto ready = found->second.ready;
        ready(entry.revents);
      }
    }
    const auto now = Clock::now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const Callback callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
  }
  std::map<int, Watched> watched_;
  std::multimap<Clock::time_point, Callback> timers_;  // destroyed first: what they hold forgets its socket
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}
inline std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

// A port that is free now. It lies below the ports that the system gives to connections.
inline int FreePort(int type = SOCK_STREAM) {
  static int next = 11'000 + static_cast<int>(std::random_device{}() % 19'000);
  for (int tries = 0; tries < 19'000; ++tries) {
    next = next >= 30'000 ? 11'000 : next + 1;
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(next);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (is_free) return next;
  }
  throw std::runtime_error("no free port");
}

// A non-blocking connection.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Loop& loop, int fd, bool connecting = false) : loop_(loop), fd_(fd), connecting_(connecting) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start() {
    loop_.Watch(
        fd_,
        [this] {
          return static_cast<short>((reads_ ? POLLIN : 0) | (connecting_ || !out_.empty() ? POLLOUT : 0));
        },
        [this](short events) {
          const auto self = shared_from_this();
          Handle(events);
        });
  }
  void Send(std::string_view bytes) {
    out_ += bytes;
    if (!connecting_) Flush();
  }
  void SetReading(bool reads) { reads_ = reads; }
  [[nodiscard]] bool open() const { return fd_ >= 0; }
  [[nodiscard]] std::size_t unsent() const { return out_.size(); }
  // Closes with a reset, as a process that dies does.
  void Reset() {
    if (fd_ < 0) return;
    const linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  void Close() {
    if (fd_ < 0) return;
    loop_.Forget(fd_);
    close(fd_);
    fd_ = -1;
  }
  [[nodiscard]] int fd() const { return fd_; }

  std::string in;
  std::function<void(Connection&)> on_data;
  std::function<void(Connection&, const char* how)> on_end = [](Connection&, const char*) {};
  std::uint64_t number = 0;

 private:
  void Handle(short events) {
    if (connecting_ && (events & (POLLOUT | POLLERR | POLLHUP)) != 0) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return End("refused");
      connecting_ = false;
    }
    if (!out_.empty()) Flush();
    if (fd_ < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    if (!reads_ && (events & (POLLHUP | POLLERR)) == 0) return;
    static char bytes[1 << 18];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) return End(size == 0 ? "closed" : "reset");
    in.append(bytes, static_cast<std::size_t>(size));
    on_data(*this);
  }
  void Flush() {
    while (fd_ >= 0 && !out_.empty()) {
      const ssize_t size = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (size < 0) return;  // the next read tells of an error
      out_.erase(0, static_cast<std::size_t>(size));
    }
  }
  void End(const char* how) {
    Close();
    on_end(*this, how);
  }
  Loop& loop_;
  int fd_;
  bool connecting_;
  bool reads_ = true;
  std::string out_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

inline ConnectionPtr Connect(Loop& loop, int port, std::function<void(Connection&)> on_data,
                             std::function<void(Connection&, const char*)> on_end) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(port);
  const int failed = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  auto out = std::make_shared<Connection>(loop, fd, failed != 0 && errno == EINPROGRESS);
  out->on_data = std::move(on_data);
  out->on_end = std::move(on_end);
  out->Start();
  return out;
}

// A listener and its connections.
class Listener {
 public:
  Listener(Loop& loop, std::function<void(Connection&)> on_data)
      : loop_(loop), on_data_(std::move(on_data)), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd_, 512) != 0) {
      throw std::runtime_error("can't listen");
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    loop_.Watch(
        fd_, [] { return static_cast<short>(POLLIN); }, [this](short) { Accept(); });
  }
  ~Listener() {
    loop_.Forget(fd_);
    close(fd_);
  }
  [[nodiscard]] int port() const { return port_; }
  // Returns an open connection by its number, or null.
  ConnectionPtr Find(std::uint64_t number) {
    const auto found = connections_.find(number);
    return found == connections_.end() ? nullptr : found->second;
  }
  std::function<void(Connection&)> on_end = [](Connection&) {};

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0) return;
      auto connection = std::make_shared<Connection>(loop_, fd);
      connection->number = ++next_;
      connection->on_data = on_data_;
      connection->on_end = [this](Connection& ended, const char*) {
        on_end(ended);
        connections_.erase(ended.number);
      };
      connections_[next_] = connection;
      connection->Start();
    }
  }
  Loop& loop_;
  std::function<void(Connection&)> on_data_;
  int fd_, port_ = 0;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, ConnectionPtr> connections_;
};

// ---- RESP

inline std::string Bulk(std::string_view text) {
  return "$" + std::to_string(text.size()) + "\r\n" + std::string(text) + "\r\n";
}
inline std::string Command(const std::vector<std::string>& parts) {
  std::string out = "*" + std::to_string(parts.size()) + "\r\n";
  for (const std::string& part : parts) out += Bulk(part);
  return out;
}
// Reads the line at `at` and moves past it. Returns nothing where it is incomplete.
inline std::optional<std::string> ReadLine(std::string_view in, std::size_t& at) {
  const std::size_t end = in.find("\r\n", at);
  if (end == std::string_view::npos) return std::nullopt;
  std::string line(in.substr(at, end - at));
  at = end + 2;
  return line;
}
enum class Parse { kPartial, kComplete, kBad };
// Takes a command of bulk strings from the front of `in`.
inline Parse TakeCommand(std::string& in, std::vector<std::string>& parts) {
  std::size_t at = 0;
  if (in.empty()) return Parse::kPartial;
  if (in[0] != '*') return Parse::kBad;
  const auto head = ReadLine(in, at);
  if (!head) return Parse::kPartial;
  parts.clear();
  for (int count = std::atoi(head->c_str() + 1); count > 0; --count) {
    if (at < in.size() && in[at] != '$') return Parse::kBad;
    const auto line = ReadLine(in, at);
    if (!line) return Parse::kPartial;
    const auto size = static_cast<std::size_t>(std::atol(line->c_str() + 1));
    if (in.size() < at + size + 2) return Parse::kPartial;
    if (in.compare(at + size, 2, "\r\n") != 0) return Parse::kBad;
    parts.push_back(in.substr(at, size));
    at += size + 2;
  }
  in.erase(0, at);
  return Parse::kComplete;
}
// Takes an answer of the gateway from the front of `in`: a line, or a bulk string. The kind is the first
// byte.
inline Parse TakeAnswer(std::string& in, char& kind, std::string& text) {
  std::size_t at = 0;
  if (in.empty()) return Parse::kPartial;
  kind = in[0];
  const auto head = ReadLine(in, at);
  if (!head) return Parse::kPartial;
  text = head->substr(1);
  if (kind == '$') {
    const long size = std::atol(text.c_str());
    if (size >= 0) {
      if (in.size() < at + static_cast<std::size_t>(size) + 2) return Parse::kPartial;
      text = in.substr(at, static_cast<std::size_t>(size));
      at += static_cast<std::size_t>(size) + 2;
    }
  } else if (kind != '+' && kind != '-' && kind != ':') {
    return Parse::kBad;
  }
  in.erase(0, at);
  return Parse::kComplete;
}
// The value of `name` in the names and values of a command.
inline std::string Field(std::string_view fields, const std::string& name) {
  const std::string list = "," + std::string(fields), prefix = "," + name + "=";
  const std::size_t at = list.find(prefix);
  if (at == std::string::npos) return "";
  const std::size_t begin = at + prefix.size();
  return list.substr(begin, list.find(',', begin) - begin);
}

// ---- The platform

struct Worker {
  std::string name, zone;
  int group = 0;
  int port = 0;
};

inline std::string EndpointsJson(const std::vector<Worker>& workers) {
  std::string out = "[";
  for (const Worker& worker : workers) {
    if (out.size() > 1) out += ",";
    out += "{\"name\":\"" + worker.name + "\",\"address\":\"" + AddressOf(worker.port) + "\",\"zone\":\"" +
           worker.zone + "\",\"type\":\"std-2core\",\"group\":" + std::to_string(worker.group) +
           ",\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}";
  }
  return out + "]";
}

// The discovery agent: tells one list, and holds watches open until they time out.
class Discovery {
 public:
  explicit Discovery(Loop& loop) : loop_(loop), server_(loop, [this](Connection& c) { Read(c); }) {}
  [[nodiscard]] int port() const { return server_.port(); }
  std::vector<Worker> workers;

 private:
  void Read(Connection& connection) {
    const std::size_t end = connection.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string head = connection.in.substr(0, end);
    connection.in.erase(0, end + 4);
    const std::size_t since = head.find("since=41");
    if (since == std::string::npos) {
      return Answer(connection,
                    "{\"index\":41,\"snapshot\":true,\"endpoints\":" + EndpointsJson(workers) + "}");
    }
    const std::size_t wait = head.find("timeout_ms=");
    const int ms = wait == std::string::npos ? 0 : std::atoi(head.c_str() + wait + 11);
    loop_.After(milliseconds(ms), [this, number = connection.number] {
      if (const ConnectionPtr to = server_.Find(number)) {
        Answer(*to, "{\"index\":41,\"snapshot\":false,\"endpoints\":[]}");
      }
    });
  }
  static void Answer(Connection& to, const std::string& body) {
    to.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  Loop& loop_;
  Listener server_;
};

// The shared counter.
class Counter {
 public:
  explicit Counter(Loop& loop) : server_(loop, [this](Connection& c) { Read(c); }) {}
  [[nodiscard]] int port() const { return server_.port(); }

 private:
  struct Total {
    double total = 0;
    Clock::time_point ends;
  };
  void Read(Connection& connection) {
    std::vector<std::string> parts;
    while (TakeCommand(connection.in, parts) == Parse::kComplete) {
      if (parts.size() == 4 && parts[0] == "CNT.ADD") {
        Total& total = totals_[parts[1]];
        const auto now = Clock::now();
        if (now >= total.ends) total = {0, now + milliseconds(std::atol(parts[3].c_str()))};
        total.total += std::atof(parts[2].c_str());
        char text[64];
        std::snprintf(text, sizeof text, "%.7g", total.total);
        connection.Send(Bulk(text));
      } else {
        connection.Send(parts[0] == "PING" ? "+PONG\r\n" : "+OK\r\n");
      }
    }
  }
  std::map<std::string, Total> totals_;
  Listener server_;
};

// ---- The gateway

// The settings of almaty-calendar as WIRE tells them.
struct SettingsOptions {
  int group_size = 3;
  int rank = 0;
  std::string zone = "hall-a";
  milliseconds key_ttl{15'000};  // for how long the workers of a group drop a repeat
};
inline std::string SettingsJson(const SettingsOptions& options) {
  std::ostringstream out;
  out << R"({"Classes":[)"
      << R"({"Aim":800000,"DedupScope":"all","Effect":"safe","HardLimit":3000000,"Importance":1.0,)"
      << R"("KeyTtl":5000000,"LateShare":0.0,"Name":"calendar-read","Stream":false},)"
      << R"({"Aim":2000000,"DedupScope":"cell","Effect":"keyed","HardLimit":8000000,"Importance":3.0,)"
      << "\"KeyTtl\":" << options.key_ttl.count() * 1000
      << R"(,"LateShare":0.0,"Name":"schedule-change","Stream":false}],)"
      << R"("Clients":{"MarksRetry":false},)"
      << R"("Contracts":[{"AtOnce":0,"CapRate":0.0,"CeilingSlack":0.0,"Depth":37.0,"ExcessCost":0.6,)"
      << R"("ExcessWorth":0.0,"HardBurst":0.0,"Name":"city","Pays":1.6,"PerSecond":17.0}],)"
      << R"("Domain":{"CallPrice":0.02,"CostAfter":false,"CountLimit":30000,"MailPerS":40.0,"MaxUnits":4,)"
      << R"("MeterPeriod":0,"SharedCounter":true},"Family":"gate",)"
      << R"("Goal":{"Whole":0.45,"WorstClass":0.1,"WorstTenant":0.15,"WorstWindow":0.3},)"
      << "\"GroupSize\":" << options.group_size << ","
      << R"("Limits":{"Cancelling":true,"ConnIdle":30000000,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,)"
      << R"("DialTimeout":250000,"MaxOpen":20000,"MaxRetryAfter":500000,"MayTell":true,"MostTries":4,)"
      << R"("Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100},)"
      << R"("LoadReport":{"Columns":["utilization","recent_ms"],"Source":"answers"},)"
      << R"("MembershipMode":"automatic","MyZone":")" << options.zone << "\","
      << R"("Prices":{"Connection":0.0,"CrossZone":0.01,"Handshake":0.0,"LateFail":0.08,"MembershipMode":0.0,)"
      << R"("Moves":0.0,"Origin":0.0,"Peer":0.023,"Probe":0.01,"Waste":0.097},)"
      << "\"Rank\":" << options.rank << ","
      << R"("Safety":{"AnswerSlack":16000,"AskWithin":10000000,"ColdShare":0.23,"DrainGrace":250000,)"
      << R"("Fall":2000000,"FallMultiple":4.0,"WarmWithin":15000000},"Shapes":["std-2core"],"Stage":0,)"
      << R"("Tick":4000,"Tiers":["calendar-fleet"],"Weights":"nominal",)"
      << R"("Zones":["hall-a","hall-b","hall-c"]})";
  return out.str();
}

// Returns the `run` command of the deploy file.
inline std::string RunCommand() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) != 0) continue;
    return line.substr(7, line.rfind('"') - 7);
  }
  throw std::runtime_error("deploy/balancer.toml has no run command");
}

struct GatewayOptions {
  int rank = 0;
  int group_size = 3;
  int memory_mb = 192;
  int sockets = 1024;
  milliseconds key_ttl{15'000};
  std::vector<int> peer_ports;
};

// A gateway process, started by the deploy file's command as the platform does.
class Gateway {
 public:
  Gateway(const std::string& folder, const GatewayOptions& options, const Discovery& discovery,
          const Counter& counter)
      : options_(options), port_(FreePort()) {
    const std::string name = "n" + std::to_string(options.rank);
    static const char* const kZones[] = {"hall-a", "hall-b", "hall-c"};
    std::string peers;
    for (const int port : options.peer_ports) {
      peers += (peers.empty() ? "\"" : ",\"") + AddressOf(port) + "\"";
    }
    config_ = folder + "/" + name + ".json";
    log_ = folder + "/" + name + ".log";
    tmp_ = folder + "/" + name + ".tmp";
    std::ofstream file(config_);
    file << "{\"name\":\"" << name << "\",\"listen\":\"" << AddressOf(port_) << "\",\"discovery\":\""
         << AddressOf(discovery.port()) << "\",\"counter\":\"" << AddressOf(counter.port())
         << "\",\"seed\":\"" << std::hex << 0x8c1f30d2 + options.rank + getpid() << std::dec
         << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << options.memory_mb
         << ",\"sockets\":" << options.sockets << "},";
    if (!peers.empty()) {
      file << "\"peer_listen\":\"" << AddressOf(options.peer_ports.at(static_cast<std::size_t>(options.rank)))
           << "\",\"peers\":[" << peers << "],";
    }
    file << "\"known\":{\"index\":40,\"snapshot\":true,\"endpoints\":" << EndpointsJson(discovery.workers)
         << "},\"settings\":"
         << SettingsJson({.group_size = options.group_size,
                          .rank = options.rank,
                          .zone = kZones[options.rank % 3],
                          .key_ttl = options.key_ttl})
         << "}\n";
    file.close();
    environment_ = {"ROUTER_CONFIG=" + config_, "ROUTER_NAME=" + name, "ROUTER_LISTEN=" + AddressOf(port_),
                    "ROUTER_DISCOVERY=" + AddressOf(discovery.port()), "TMPDIR=" + tmp_};
    Start();
  }
  ~Gateway() { Kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start() {
    if (access(tmp_.c_str(), F_OK) != 0 && system(("mkdir -p '" + tmp_ + "'").c_str()) != 0) {
      throw std::runtime_error("can't make a temporary folder");
    }
    const std::string command = RunCommand();
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the stand-ins, whatever ends them
    const auto sockets = static_cast<rlim_t>(options_.sockets);
    const rlimit descriptors{sockets, sockets};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    for (const std::string& variable : environment_) putenv(strdup(variable.c_str()));
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const int none = open("/dev/null", O_RDONLY);
    dup2(none, STDIN_FILENO);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  // Whether it has ended by itself. `status` is that of waitpid.
  bool Ended(int& status) {
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  [[nodiscard]] bool alive() const { return pid_ > 0; }
  [[nodiscard]] int port() const { return port_; }
  // A line of /proc/PID/status in kB, 0 where there is none.
  [[nodiscard]] long StatusKb(const std::string& name) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(name + ":", 0) == 0) return std::atol(line.c_str() + name.size() + 1);
    }
    return 0;
  }
  // Asks PING as the front does, until it is answered with +PONG.
  bool AwaitReady(Loop& loop, milliseconds limit) {
    bool ready = false;
    std::vector<ConnectionPtr> asked;
    std::function<void()> ask = [&] {
      if (ready) return;
      asked.push_back(Connect(
          loop, port_, [&](Connection& c) { ready = ready || c.in.rfind("+PONG", 0) == 0; },
          [](Connection&, const char*) {}));
      asked.back()->Send(Command({"PING"}));
      loop.After(milliseconds(100), [&ask, alive = std::weak_ptr<int>(token_)] {
        if (!alive.expired()) ask();
      });
    };
    ask();
    const bool result = loop.Run([&] { return ready; }, limit);
    token_ = std::make_shared<int>(0);
    return result;
  }

 private:
  GatewayOptions options_;
  int port_;
  pid_t pid_ = -1;
  std::string config_, log_, tmp_;
  std::vector<std::string> environment_;
  std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

// Raises this process's own soft limit of descriptors as far as an ordinary user may.
inline void AllowDescriptors(rlim_t count) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, count));
  setrlimit(RLIMIT_NOFILE, &limit);
}

inline std::vector<int> PeerPorts(int count) {
  std::vector<int> out;
  for (int i = 0; i < count; ++i) out.push_back(FreePort(SOCK_DGRAM));
  return out;
}

// A request's customer as the protocol writes it.
inline std::string Customer(int number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(0x1000 + number));
  return text;
}
// A served answer of a worker: the value, no figures on use, and the load report.
inline std::string Served(std::string_view value) {
  return "*3\r\n" + Bulk(value) + "$-1\r\n" + Bulk("util=0.30,latency_ms=110");
}
// An entry of the roster: three workers a pod, and so many pods a hall.
inline Worker RosterEntry(int number, int port, int pods_per_hall = 1) {
  const int pod = number / 3;
  return {"s-" + std::to_string(number), std::string("hall-") + static_cast<char>('a' + pod / pods_per_hall),
          pod, port};
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

}  // namespace rig

#endif  // POSTSPREAD_REVIEW_RIG_H_
