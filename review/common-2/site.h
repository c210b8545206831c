// Stand-ins on loopback for the cases of the second review: a poll loop with timers, connections, workers,
// discovery, the shared counter, and the gateway as a child process that is started with the deploy file's
// command. POSIX and the standard library only.
#ifndef POSTSPREAD_REVIEW_COMMON_2_SITE_H_
#define POSTSPREAD_REVIEW_COMMON_2_SITE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

inline constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;  // exit codes of a case

// ---- Time and the record

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline long WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline FILE*& RecordFile() {
  static FILE* file = nullptr;
  return file;
}

__attribute__((format(printf, 1, 2))) inline void Record(const char* format, ...) {
  FILE* file = RecordFile() != nullptr ? RecordFile() : stderr;
  std::fprintf(file, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file, format, arguments);
  va_end(arguments);
  std::fputc('\n', file);
  std::fflush(file);
}

[[noreturn]] inline void CouldNotRun(const std::string& why) {
  Record("could not run: %s", why.c_str());
  std::exit(kCouldNotRun);
}

inline std::string Variable(const char* name, const char* fallback = "") {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}
// Whether the case plays its disruption.
inline bool HasTrouble() { return Variable("TROUBLE", "1") != "0"; }

// ---- Loop

class Loop {
 public:
  using Ready = std::function<void(short events)>;
  struct Watch {
    int fd;
    short events;
    Ready ready;
    bool removed = false;
  };

  std::shared_ptr<Watch> Add(int fd, short events, Ready ready) {
    watches_.push_back(std::make_shared<Watch>(Watch{fd, events, std::move(ready)}));
    return watches_.back();
  }
  void After(double seconds, std::function<void()> run) { timers_.emplace(Now() + seconds, std::move(run)); }

  // Runs until `done` returns true. Returns false if `seconds` pass before.
  bool Run(
      double seconds, const std::function<bool()>& done = [] { return false; }) {
    const double until = Now() + seconds;
    while (!done()) {
      if (Now() >= until) return false;
      Step(until);
    }
    return true;
  }

 private:
  void Step(double until) {
    std::erase_if(watches_, [](const auto& watch) { return watch->removed; });
    const std::vector<std::shared_ptr<Watch>> watches = watches_;
    std::vector<pollfd> fds;
    for (const auto& watch : watches) fds.push_back({watch->fd, watch->events, 0});
    double wait = until - Now();
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - Now());
    const int wait_ms = std::clamp(static_cast<int>(wait * 1000) + 1, 0, 1000);
    poll(fds.data(), fds.size(), wait <= 0 ? 0 : wait_ms);
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if (fds[i].revents != 0 && !watches[i]->removed) watches[i]->ready(fds[i].revents);
    }
    while (!timers_.empty() && timers_.begin()->first <= Now()) {
      const auto run = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      run();
    }
  }

  std::vector<std::shared_ptr<Watch>> watches_;
  std::multimap<double, std::function<void()>> timers_;
};

// ---- Connections

inline sockaddr_in Loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}

inline std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  std::string in;  // bytes that have been read and not consumed
  std::function<void(Connection&)> on_data;
  std::function<void(Connection&)> on_close;  // the peer has closed or reset
  int number = 0;

  Connection(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
  ~Connection() { Close(); }

  void Start() {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const std::weak_ptr<Connection> weak = weak_from_this();
    watch_ = loop_.Add(fd_, POLLIN, [weak](short events) {
      if (const auto self = weak.lock()) self->OnReady(events);
    });
  }
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  [[nodiscard]] int fd() const { return fd_; }

  void Send(std::string_view bytes) {
    if (!is_open()) return;
    out_ += bytes;
    Flush();
  }
  // Stops or goes on reading.
  void SetReading(bool on) {
    if (watch_) watch_->events = static_cast<short>((watch_->events & ~POLLIN) | (on ? POLLIN : 0));
  }
  // Reads at most `bytes` now.
  void ReadSome(std::size_t bytes) {
    std::string buffer(bytes, '\0');
    Take(recv(fd_, buffer.data(), buffer.size(), 0), buffer);
  }
  void Close() {
    if (watch_) watch_->removed = true;
    watch_.reset();
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger option{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    Close();
  }

 private:
  void OnReady(short events) {
    const auto keep = shared_from_this();
    if ((events & POLLOUT) != 0) Flush();
    if (!is_open() || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    std::string buffer(65536, '\0');
    Take(recv(fd_, buffer.data(), buffer.size(), 0), buffer);
  }
  void Take(ssize_t size, const std::string& buffer) {
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) {
      Close();
      if (on_close) on_close(*this);
      return;
    }
    in.append(buffer, 0, static_cast<std::size_t>(size));
    if (on_data) on_data(*this);
  }
  void Flush() {
    while (!out_.empty()) {
      const ssize_t size = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (size <= 0) break;
      out_.erase(0, static_cast<std::size_t>(size));
    }
    if (watch_)
      watch_->events = static_cast<short>((watch_->events & ~POLLOUT) | (out_.empty() ? 0 : POLLOUT));
  }

  Loop& loop_;
  int fd_ = -1;
  std::string out_;
  std::shared_ptr<Loop::Watch> watch_;
};

class Listener {
 public:
  using OnAccept = std::function<void(Connection&)>;
  Listener(Loop& loop, OnAccept on_accept) : loop_(loop), on_accept_(std::move(on_accept)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in any = Loopback(0);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 || listen(fd_, 128) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
      CouldNotRun("no port to listen on");
    }
    port_ = ntohs(bound.sin_port);
    watch_ = loop_.Add(fd_, POLLIN, [this](short) { Accept(); });
  }
  Listener(const Listener&) = delete;
  ~Listener() {
    watch_->removed = true;
    close(fd_);
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return Address(port_); }
  std::vector<std::shared_ptr<Connection>>& connections() { return connections_; }
  void SetOnAccept(OnAccept on_accept) { on_accept_ = std::move(on_accept); }

 private:
  void Accept() {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    std::erase_if(connections_, [](const auto& connection) { return !connection->is_open(); });
    connections_.push_back(std::make_shared<Connection>(loop_, fd));
    const auto connection = connections_.back();
    connection->number = ++accepted_;
    connection->Start();
    on_accept_(*connection);
  }

  Loop& loop_;
  OnAccept on_accept_;
  int fd_ = -1, port_ = 0, accepted_ = 0;
  std::shared_ptr<Loop::Watch> watch_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

inline std::shared_ptr<Connection> Dial(Loop& loop, int port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const sockaddr_in to = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return nullptr;
  }
  auto connection = std::make_shared<Connection>(loop, fd);
  connection->Start();
  return connection;
}

// A port that is free now, for a program that listens by itself.
inline int FreePort(int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in any = Loopback(0);
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof any);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  close(fd);
  return ntohs(bound.sin_port);
}

// ---- RESP

inline std::string Bulk(std::string_view value) {
  return "$" + std::to_string(value.size()) + "\r\n" + std::string(value) + "\r\n";
}

inline std::string Command(const std::vector<std::string>& parts) {
  std::string out = "*" + std::to_string(parts.size()) + "\r\n";
  for (const std::string& part : parts) out += Bulk(part);
  return out;
}

// Returns the size of the RESP value at `at`, or 0 if it is not complete.
inline std::size_t ValueSize(std::string_view bytes, std::size_t at = 0) {
  const std::size_t end = bytes.find("\r\n", at);
  if (end == std::string_view::npos) return 0;
  const std::size_t head = end + 2 - at;
  const char kind = bytes[at];
  if (kind != '$' && kind != '*') return head;
  const long length = std::strtol(std::string(bytes.substr(at + 1, end - at - 1)).c_str(), nullptr, 10);
  if (length < 0) return head;
  if (kind == '$') {
    const std::size_t size = head + static_cast<std::size_t>(length) + 2;
    return bytes.size() - at >= size ? size : 0;
  }
  std::size_t size = head;
  for (long i = 0; i < length; ++i) {
    if (at + size >= bytes.size()) return 0;
    const std::size_t part = ValueSize(bytes, at + size);
    if (part == 0) return 0;
    size += part;
  }
  return size;
}

// Removes the first command from `in`. Returns nothing if it is not complete.
inline std::optional<std::vector<std::string>> TakeCommand(std::string& in) {
  const std::size_t size = in.empty() ? 0 : ValueSize(in);
  if (size == 0) return std::nullopt;
  std::vector<std::string> parts;
  std::size_t at = in.find("\r\n") + 2;
  while (at < size) {
    const std::size_t part = ValueSize(in, at);
    const std::size_t head = in.find("\r\n", at) + 2;
    parts.push_back(in.substr(head, at + part - 2 - head));
    at += part;
  }
  in.erase(0, size);
  return parts;
}

// Returns the value of `name` in "a=1,name=2".
inline std::string Field(const std::string& fields, const std::string& name) {
  const std::string list = "," + fields, prefix = "," + name + "=";
  const std::size_t at = list.find(prefix);
  if (at == std::string::npos) return {};
  const std::size_t begin = at + prefix.size();
  return list.substr(begin, list.find(',', begin) - begin);
}

// ---- Partners

// A worker's listener. PING and the like are answered as the protocol page says.
class Worker {
 public:
  struct Request {
    std::string verb, customer, id, fields, body;
    std::shared_ptr<Connection> connection;
  };
  std::string name;
  int cell = 0;
  std::string zone = "a";
  std::function<void(const Request&)> on_request;
  std::function<void(Connection&)> on_accept;

  Worker(Loop& loop, std::string name, int cell)
      : name(std::move(name)), cell(cell), listener(loop, [this](Connection& connection) {
          if (on_accept) on_accept(connection);
          connection.on_data = [this](Connection& from) { OnData(from); };
        }) {}

  [[nodiscard]] std::string Entry(const std::string& status, long since_ms = 0) const {
    return EntryAs(name, status, since_ms, cell);
  }
  [[nodiscard]] std::string EntryAs(const std::string& as, const std::string& status, long since_ms,
                                    int in_cell) const {
    return R"({"name":")" + as + R"(","address":")" + listener.address() + R"(","zone":")" + zone +
           R"(","type":"std-2core","group":)" + std::to_string(in_cell) + R"(,"status":")" + status +
           R"(","weight":1.0,"since_ms":)" + std::to_string(since_ms) + "}";
  }

  Listener listener;

 private:
  void OnData(Connection& from) {
    while (const auto parts = TakeCommand(from.in)) {
      const std::string& verb = parts->at(0);
      if (verb == "PING") {
        from.Send("+PONG\r\n");
      } else if (verb == "INFO") {
        from.Send(Bulk("util=0.20,latency_ms=20"));
      } else if (verb == "API.READ" || verb == "API.WRITE") {
        Request request{verb, parts->at(1), parts->at(2), parts->at(3), "", from.shared_from_this()};
        if (parts->size() > 4) request.body = parts->at(4);
        on_request(request);
      } else {
        from.Send("-ERR unknown\r\n");
      }
    }
  }
};

// A worker's good answer with this value.
inline std::string Served(std::string_view value) {
  return "*3\r\n" + Bulk(value) + "$-1\r\n" + Bulk("util=0.20,latency_ms=20");
}

class Discovery {
 public:
  explicit Discovery(Loop& loop)
      : loop_(loop), listener_(loop, [this](Connection& connection) {
          connection.on_data = [this](Connection& from) { OnData(from); };
        }) {}
  [[nodiscard]] std::string address() const { return listener_.address(); }
  // Sets the whole list at the start.
  void SetList(const std::vector<std::string>& entries) { list_ = entries; }
  // Tells a change at once to the open watch, or to the next one.
  void Tell(const std::vector<std::string>& changes) {
    ++index_;
    changes_[index_] = changes;
    AnswerWatches();
  }
  [[nodiscard]] std::string Whole() const { return Body(true, list_); }
  [[nodiscard]] int told() const { return told_; }  // the version that was written last

 private:
  struct Pending {
    std::weak_ptr<Connection> connection;
    int since;
    int number;
  };
  [[nodiscard]] std::string Body(bool whole, const std::vector<std::string>& entries) const {
    std::string out = R"({"index":)" + std::to_string(index_) + R"(,"snapshot":)" +
                      (whole ? "true" : "false") + R"(,"endpoints":[)";
    for (std::size_t i = 0; i < entries.size(); ++i) out += (i > 0 ? "," : "") + entries[i];
    return out + "]}";
  }
  void Answer(Connection& to, const std::string& body) {
    to.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    told_ = index_;
  }
  void OnData(Connection& from) {
    for (std::size_t end = 0; (end = from.in.find("\r\n\r\n")) != std::string::npos;) {
      const std::string line = from.in.substr(0, from.in.find("\r\n"));
      from.in.erase(0, end + 4);
      const std::size_t since = line.find("since=");
      if (since == std::string::npos) {
        Answer(from, WholeNow());
        continue;
      }
      const int version = std::atoi(line.c_str() + since + 6);
      const std::size_t at = line.find("timeout_ms=");
      const double wait = at == std::string::npos ? 0 : std::atof(line.c_str() + at + 11) / 1000;
      const int number = ++calls_;
      pending_.push_back({from.weak_from_this(), version, number});
      loop_.After(wait, [this, number] { TimeOut(number); });
      AnswerWatches();
    }
  }
  // The list with all changes applied, by name.
  [[nodiscard]] std::string WholeNow() const {
    std::map<std::string, std::string> entries;
    const auto apply = [&entries](const std::string& entry) {
      const std::size_t at = entry.find(R"("name":")") + 8;
      const std::string name = entry.substr(at, entry.find('"', at) - at);
      if (entry.find(R"("status":"Gone")") != std::string::npos) {
        entries.erase(name);
      } else {
        entries[name] = entry;
      }
    };
    for (const std::string& entry : list_) apply(entry);
    for (const auto& [version, changes] : changes_) {
      for (const std::string& entry : changes) apply(entry);
    }
    std::vector<std::string> out;
    for (const auto& [name, entry] : entries) out.push_back(entry);
    return Body(true, out);
  }
  void AnswerWatches() {
    for (auto it = pending_.begin(); it != pending_.end();) {
      std::vector<std::string> entries;
      for (auto change = changes_.upper_bound(it->since); change != changes_.end(); ++change) {
        entries.insert(entries.end(), change->second.begin(), change->second.end());
      }
      const auto connection = it->connection.lock();
      if (entries.empty() && connection) {
        ++it;
        continue;
      }
      it = pending_.erase(it);
      if (connection) Answer(*connection, Body(false, entries));
    }
  }
  void TimeOut(int number) {
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [number](const Pending& call) { return call.number == number; });
    if (found == pending_.end()) return;
    const auto connection = found->connection.lock();
    pending_.erase(found);
    if (connection && connection->is_open()) Answer(*connection, Body(false, {}));
  }

  Loop& loop_;
  Listener listener_;
  std::vector<std::string> list_;
  std::map<int, std::vector<std::string>> changes_;
  std::vector<Pending> pending_;
  int index_ = 41, told_ = 0, calls_ = 0;
};

class Counter {
 public:
  explicit Counter(Loop& loop)
      : listener_(loop, [this](Connection& connection) {
          connection.on_data = [this](Connection& from) { OnData(from); };
        }) {}
  [[nodiscard]] std::string address() const { return listener_.address(); }

 private:
  struct Total {
    double value = 0, until = 0;
  };
  void OnData(Connection& from) {
    while (const auto parts = TakeCommand(from.in)) {
      if (parts->at(0) == "PING") {
        from.Send("+PONG\r\n");
      } else if (parts->at(0) == "CNT.ADD" && parts->size() == 4) {
        Total& total = totals_[parts->at(1)];
        if (total.until <= Now()) total = {0, Now() + std::min(60.0, std::stod(parts->at(3)) / 1000)};
        total.value += std::stod(parts->at(2));
        char text[40];
        std::snprintf(text, sizeof text, "%.7g", total.value);
        from.Send(Bulk(text));
      } else if (parts->at(0) == "CLIENT" || parts->at(0) == "SELECT") {
        from.Send("+OK\r\n");
      } else {
        from.Send("-ERR no such call\r\n");
      }
    }
  }

  Listener listener_;
  std::map<std::string, Total> totals_;
};

// ---- The gateway

// What a class is in the settings. Times in seconds.
struct Class {
  std::string name;
  double aim, limit;
  std::string effect;  // safe, keyed or unsafe
  std::string scope = "all";
  double key_ttl = 15;
};

struct Options {
  std::vector<Class> classes;
  bool second_copies = true, cancelling = true;
  int memory_mb = 192, sockets = 1024;
  std::string known;  // the list as last held
  int group_size = 2;
  double conn_idle = 30, dial_timeout = 0.25;
  bool with_ops = false;
};

class Gateway {
 public:
  Gateway(Loop& loop, const Options& options, const Discovery& discovery, const Counter& counter)
      : loop_(loop), port_(FreePort()), ops_(options.with_ops ? FreePort() : 0) {
    folder_ = Variable("CASE_TMP");
    if (folder_.empty()) CouldNotRun("CASE_TMP is not set: start the case by run.sh");
    const std::string path = folder_ + "/config.json";
    std::ofstream(path) << Config(options, discovery, counter);
    const std::string command = Variable("RUN");
    const std::string log = folder_ + "/gateway.log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (chdir(Variable("ROOT").c_str()) != 0) _exit(kCouldNotRun);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
      setenv("ROUTER_CONFIG", path.c_str(), 1);
      setenv("ROUTER_NAME", "n0", 1);
      setenv("ROUTER_LISTEN", Address(port_).c_str(), 1);
      setenv("ROUTER_DISCOVERY", discovery.address().c_str(), 1);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(kCouldNotRun);
    }
  }
  ~Gateway() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] int ops() const { return ops_; }
  [[nodiscard]] pid_t pid() const { return pid_; }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  // Whether the process has ended; `status` is as waitpid gives it.
  bool HasEnded(int& status) {
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  // Waits until PING gets +PONG.
  void AwaitReady() {
    for (const double until = Now() + 30; Now() < until;) {
      if (const auto connection = Dial(loop_, port_)) {
        connection->Send(Command({"PING"}));
        loop_.Run(0.5, [&] { return !connection->in.empty() || !connection->is_open(); });
        if (connection->in.starts_with("+PONG"))
          return Record("gateway ready, pid %d", static_cast<int>(pid_));
      }
      loop_.Run(0.1);
    }
    CouldNotRun("the gateway is not ready within 30 s");
  }

 private:
  std::string Config(const Options& options, const Discovery& discovery, const Counter& counter) const {
    const auto us = [](double seconds) { return std::to_string(static_cast<long>(seconds * 1e6)); };
    const auto flag = [](bool on) { return std::string(on ? "true" : "false"); };
    std::string classes;
    for (const Class& c : options.classes) {
      classes += (classes.empty() ? "" : ",") + std::string(R"({"Name":")") + c.name + R"(","Aim":)" +
                 us(c.aim) + R"(,"HardLimit":)" + us(c.limit) + R"(,"Effect":")" + c.effect +
                 R"(","DedupScope":")" + c.scope + R"(","KeyTtl":)" + us(c.key_ttl) +
                 R"(,"Importance":1.0,"LateShare":0.0,"Stream":false})";
    }
    std::string peers;
    for (int i = 0; i < options.group_size; ++i) {
      peers +=
          (i > 0 ? "," : "") + std::string("\"") + Address(i == 0 ? peer_port_ : FreePort(SOCK_DGRAM)) + "\"";
    }
    return R"({"name":"n0","listen":")" + Address(port_) + R"(","discovery":")" + discovery.address() +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(options.memory_mb) + R"(,"sockets":)" + std::to_string(options.sockets) +
           R"(},"peer_listen":")" + Address(peer_port_) + R"(","peers":[)" + peers + R"(],"counter":")" +
           counter.address() + "\"," + (options.with_ops ? R"("ops":")" + Address(ops_) + "\"," : "") +
           (options.known.empty() ? "" : R"("known":)" + options.known + ",") + R"("settings":{"Classes":[)" +
           classes +
           R"(],"Clients":{"MarksRetry":false},"Contracts":[{"Name":"team","PerSecond":200.0,"Depth":1000.0,"AtOnce":0,)"
           R"("CapRate":0.0,"CeilingSlack":0.0,"HardBurst":0.0,"ExcessCost":0.6,"ExcessWorth":0.0,"Pays":1.0}],)"
           R"("Domain":{"CallPrice":0.02,"CostAfter":false,"CountLimit":30000,"MailPerS":40.0,"MaxUnits":4,)"
           R"("MeterPeriod":0,"SharedCounter":true},"Family":"gate","GroupSize":)" +
           std::to_string(options.group_size) + R"(,"Limits":{"Cancelling":)" + flag(options.cancelling) +
           R"(,"ConnIdle":)" + us(options.conn_idle) + R"(,"DialTimeout":)" + us(options.dial_timeout) +
           R"(,"MaxOpen":20000,"MaxRetryAfter":500000,"MayTell":true,"MostTries":4,"Probes":true,"RetryAfter":true,)"
           R"("SecondCopies":)" +
           flag(options.second_copies) +
           R"(,"StreamsPerConn":100},"LoadReport":{"Columns":["utilization","recent_ms"],"Source":"answers"},)"
           R"("MembershipMode":"automatic","MyZone":"a","Prices":{"CrossZone":0.01,"Probe":0.01},"Rank":0,)"
           R"("Safety":{"AnswerSlack":16000,"AskWithin":10000000,"ColdShare":0.23,"DrainGrace":250000,"Fall":2000000,)"
           R"("FallMultiple":4.0,"WarmWithin":15000000},"Shapes":["std-2core"],"Stage":0,"Tick":4000,)"
           R"("Tiers":["fleet"],"Weights":"nominal","Zones":["a"]}})";
  }

  Loop& loop_;
  std::string folder_;
  int port_ = 0, ops_ = 0, peer_port_ = FreePort(SOCK_DGRAM);
  pid_t pid_ = -1;
};

// ---- Requests

inline std::string NewId() {
  static unsigned long next = 0x9b1f03aa00000000UL;
  char text[20];
  std::snprintf(text, sizeof text, "%016lx", ++next);
  return text;
}

inline constexpr const char* kCustomer = "00000000b4d65521";

inline std::string Fields(const std::string& class_name, int deadline_ms, const std::string& key = "") {
  return "c=" + class_name + ",t=team,d=" + std::to_string(deadline_ms) + (key.empty() ? "" : ",k=" + key) +
         ",units=1,spread=1,first=0";
}
inline std::string ReadCommand(const std::string& id, const std::string& class_name, int deadline_ms) {
  return Command({"API.READ", kCustomer, id, Fields(class_name, deadline_ms)});
}
inline std::string WriteCommand(const std::string& id, const std::string& class_name, int deadline_ms,
                                const std::string& key = "", const std::string& body = "BODY") {
  return Command({"API.WRITE", kCustomer, id, Fields(class_name, deadline_ms, key), body});
}

// An answer as a line for the record.
inline std::string Shown(std::string_view bytes) {
  std::string out;
  for (const char c : bytes.substr(0, 60))
    out += c == '\r' ? std::string("\\r") : c == '\n' ? "\\n" : std::string(1, c);
  return bytes.size() > 60 ? out + "... (" + std::to_string(bytes.size()) + " bytes)" : out;
}

// Opens the record, which is written beside the case's script.
inline void Begin() {
  signal(SIGPIPE, SIG_IGN);
  Now();
  const std::string path = Variable("RECORD");
  if (!path.empty()) RecordFile() = std::fopen(path.c_str(), "w");
  Record("trouble: %s", HasTrouble() ? "yes" : "no");
}

inline int End(bool is_broken, const std::string& what) {
  Record("%s: %s", is_broken ? "RULE BROKEN" : "rule held", what.c_str());
  return is_broken ? kBroken : kHeld;
}

}  // namespace review

#endif  // POSTSPREAD_REVIEW_COMMON_2_SITE_H_
