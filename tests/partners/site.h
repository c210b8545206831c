// Runs the gateway program as a process among scripted partners. Each test plays discovery, the counter, the
// upstreams and a client step by step, and synchronizes on events instead of delays.
#ifndef POSTSPREAD_TESTS_PARTNERS_SITE_H_
#define POSTSPREAD_TESTS_PARTNERS_SITE_H_

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "partners/peer.h"
#include "resp/frame.h"

namespace postspread::site {

using nlohmann::json;

// A request as a client sends it.
inline std::string Read(std::string_view id) {
  return Command({"API.READ", "0000000000000001", id, "c=lookup,t=team,d=60000,units=1,spread=2,first=0"});
}
// Settings under which a request is admitted without a call to the counter.
inline json NoQuota() {
  return {{"settings", {{"Contracts", {{{"Name", "team"}, {"PerSecond", 0}, {"Depth", 0}}}}}}};
}
// A successful reply of an upstream.
inline const char* const kValue = "*3\r\n$2\r\nhi\r\n$-1\r\n$9\r\nutil=0.25\r\n";

// Returns the number of a port that is free now.
inline int FreePortNumber() {
  Port free;
  const int number = free.number();
  free.Close();
  return number;
}

// The gateway process with its partners. The time limits in the settings are long, so that none expires by
// chance.
class Site {
 public:
  // `changes` are merged into the configuration; if they hold `ops`, whatever its value, the admin server
  // listens on port ops(). `with_variables` passes discovery's address as an environment variable too.
  // `operator_file` is the text of the operator file, or null for none. `inherited` is the listening socket
  // for clients, which the process gets as descriptor 7, or null for none.
  explicit Site(int upstreams, const json& changes = json::object(), bool with_variables = false,
                const char* operator_file = nullptr, Port* inherited = nullptr)
      : upstreams_(static_cast<std::size_t>(upstreams)), inherited_(inherited) {
    port_ = inherited != nullptr ? inherited->number() : FreePortNumber();
    config_ = {{"name", "n0"},
               {"listen", "127.0.0.1:" + std::to_string(port_)},
               {"discovery", discovery_.address()},
               {"counter", counter_.address()},
               {"seed", "1"},
               {"known", List(true, json::array())},
               {"settings",
                {{"Classes",
                  {{{"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}}}},
                 {"Contracts", {{{"Name", "team"}, {"PerSecond", 1000}, {"Depth", 1000}}}},
                 {"Domain", {{"SharedCounter", true}, {"CountLimit", 60'000'000}, {"MaxUnits", 4}}},
                 {"GroupSize", 2},
                 {"Limits",
                  {{"Cancelling", true},
                   {"MostTries", 4},
                   {"DialTimeout", 60'000'000},
                   {"ConnIdle", 60'000'000}}}}}};
    config_.merge_patch(changes);
    if (changes.contains("ops")) config_["ops"] = "127.0.0.1:" + std::to_string(ops_ = FreePortNumber());
    path_ = "process_test_" + std::to_string(getpid()) + "_" + std::to_string(port_) + ".json";
    std::ofstream(path_) << config_.dump();
    operator_path_ = operator_file != nullptr ? path_ + ".conf" : "";
    if (operator_file != nullptr) std::ofstream(operator_path_) << operator_file;
    std::vector<std::string> variables;
    if (with_variables) variables.push_back("ROUTER_DISCOVERY=" + discovery_.address());
    pid_ = Spawn(variables);
  }
  // Starts a further process with these environment variables beside the usual ones.
  pid_t Spawn(std::vector<std::string> variables) {
    variables.push_back("ROUTER_CONFIG=" + path_);
    if (inherited_ != nullptr) variables.push_back("ROUTER_FD=7");
    std::vector<char*> environment;
    environment.reserve(variables.size());
    for (std::string& variable : variables) environment.push_back(variable.data());
    for (char** e = environ; *e != nullptr; ++e) environment.push_back(*e);
    environment.push_back(nullptr);
    char* arguments[] = {const_cast<char*>(GATEWAY_PROGRAM), nullptr, nullptr, nullptr};
    if (!operator_path_.empty()) {
      arguments[1] = const_cast<char*>("--operator");
      arguments[2] = operator_path_.data();
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log().c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    if (inherited_ != nullptr) posix_spawn_file_actions_adddup2(&actions, inherited_->fd(), 7);
    pid_t pid = -1;
    REQUIRE(posix_spawn(&pid, GATEWAY_PROGRAM, &actions, nullptr, arguments, environment.data()) == 0);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
  }
  ~Site() {
    if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    unlink(path_.c_str());
    unlink(log().c_str());
    unlink((path_ + ".conf").c_str());
  }
  Site(const Site&) = delete;

  // Plays discovery and the counter until the gateway serves. The endpoint list holds the first `count`
  // upstreams and `others`.
  void Start(int count, const json& others = json::array()) {
    watch_.emplace_back(discovery_.Accept());
    CHECK(watch().Until("\r\n\r\n").find("GET /api/targets HTTP/1.1\r\n") == 0);
    json entries = Entries(0, count, "Ready");
    entries.insert(entries.end(), others.begin(), others.end());
    Publish(List(true, std::move(entries)));
    CHECK(watch().Until("\r\n\r\n").find("GET /api/targets?since=41&timeout_ms=") == 0);
    counter_connections_.emplace_back(counter_.Accept());
    WaitUntilReady();
  }
  void WaitUntilReady() {
    Peer client = Client();
    for (int waited = 0; waited < kTimeoutMs; waited += 5) {
      client.Send(Command({"PING"}));
      if (client.Line() == "+PONG\r\n") return;
      usleep(5'000);
    }
    FAIL("the gateway does not get ready");
  }

  json Entries(int first, int count, const char* status) {
    json out = json::array();
    for (int i = first; i < first + count; ++i) {
      out.push_back(
          {{"name", "s-" + std::to_string(i)}, {"address", upstream(i).address()}, {"status", status}});
    }
    return out;
  }
  static json List(bool is_snapshot, json entries) {
    return {{"index", 41}, {"snapshot", is_snapshot}, {"endpoints", std::move(entries)}};
  }
  // Sends `list` as discovery's response to the open poll.
  void Publish(const json& list) { Publish(watch(), list); }
  static void Publish(Peer& watch, const json& list) {
    const std::string body = list.dump();
    watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // A request in flight: an upstream has received it, and its client waits for the response.
  struct InFlightRequest {
    Peer client, upstream;
    void Serve() {
      upstream.Send(kValue);
      CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
    }
  };
  // Starts a request that the first upstream receives.
  InFlightRequest StartRequest(std::string_view id) {
    Peer client = Client();
    client.Send(Read(id));
    Grant();
    Peer upstream = this->upstream(0).Accept();
    CHECK(upstream.Command().at(2) == id);
    return {std::move(client), std::move(upstream)};
  }
  // Sends PING on a new connection or on this one, and returns the response.
  std::string Ping() {
    Peer client = Client();
    return Ping(client);
  }
  static std::string Ping(Peer& client) {
    client.Send(Command({"PING"}));
    return client.Line();
  }
  // Sends one call to the admin server, and returns its complete response.
  [[nodiscard]] std::string CallAdmin(const std::string& line) const { return CallAdmin(ops_, line); }
  static std::string CallAdmin(int port, const std::string& line) {
    Peer peer = Connect(port);
    peer.Send(line + " HTTP/1.1\r\nHost: gatekeeper\r\n\r\n");
    return peer.Bytes(1 << 20);
  }
  // Returns the value of a metric from the admin server.
  [[nodiscard]] double Metric(const std::string& name) const {
    const std::string text = CallAdmin("GET /v1/metrics");
    const std::size_t at = text.find("\n" + name + " ");
    if (at == std::string::npos) FAIL("no metric " + name + " in " + text);
    return std::stod(text.substr(at + name.size() + 2));
  }
  [[nodiscard]] int ops() const { return ops_; }
  // Plays the counter for one call, and returns the amount that the call adds. The total covers all earlier
  // amounts, since the gateway would correct a lower total by a further call.
  double Grant() {
    const auto call = counter_connection().Command();
    REQUIRE(call.size() == 4);
    CHECK(call[0] == "CNT.ADD");
    total_ += std::stod(call[2]);
    std::string reply;
    resp::AppendBulk(std::to_string(total_), reply);
    counter_connection().Send(reply);
    return std::stod(call[2]);
  }
  // Waits for the process to end. Returns its exit code, or -1 if a signal ended it.
  int Wait() {
    int status = -1;
    REQUIRE(waitpid(std::exchange(pid_, -1), &status, 0) > 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // Returns the peak resident memory of the process, in bytes.
  [[nodiscard]] std::size_t PeakMemory() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0) return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
  }
  void Terminate() { kill(pid_, SIGTERM); }
  void Kill() { kill(pid_, SIGKILL); }
  // Limits the process to `count` descriptors, as the platform does.
  void LimitDescriptors(rlim_t count) const {
    const rlimit limit{count, count};
    REQUIRE(prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0);
  }
  // Makes `pid` the process that the other functions act on. Returns the one before.
  pid_t SwitchProcess(pid_t pid) { return std::exchange(pid_, pid); }
  void Pause() { kill(pid_, SIGSTOP); }
  void Resume() { kill(pid_, SIGCONT); }
  // Replaces the operator file, which the next reload reads too.
  void WriteOperatorFile(const char* text) const { std::ofstream(path_ + ".conf") << text; }
  // Replaces the configuration file and sends SIGHUP.
  void Reload(const json& changes) {
    json config = config_;
    config.merge_patch(changes);
    std::ofstream(path_) << config.dump();
    kill(pid_, SIGHUP);
  }
  // Returns whether the log contains `line`.
  [[nodiscard]] bool HasLogged(const std::string& line) const {
    std::ostringstream text;
    text << std::ifstream(log()).rdbuf();
    return text.str().find(line) != std::string::npos;
  }
  // Waits until the log contains `line`.
  void WaitForLog(const std::string& line) const {
    for (int waited = 0; waited < kTimeoutMs; waited += 10) {
      if (HasLogged(line)) return;
      usleep(10'000);
    }
    FAIL("no such line in the log: " + line);
  }
  [[nodiscard]] std::string log() const { return path_ + ".log"; }
  // Connects a client. Retries while the gateway is still starting and does not listen yet.
  Peer Client() {
    for (int i = 0; i < 2000; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = Loopback(port_);
      if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return Peer(fd);
      close(fd);
      usleep(10'000);
    }
    FAIL("the gateway does not listen");
    return Peer(-1);
  }
  // Returns whether the gateway refuses new client connections.
  [[nodiscard]] bool RefusesConnections() const {
    const Socket probe(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Loopback(port_);
    return connect(probe.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0;
  }
  // The current connections of the gateway to discovery and to the counter.
  Peer& watch() { return watch_.back(); }
  Peer& counter_connection() { return counter_connections_.back(); }
  Port& counter() { return counter_; }
  Port& discovery() { return discovery_; }
  Port& upstream(int i) { return upstreams_[static_cast<std::size_t>(i)]; }
  // Waits for a connection to one of two upstreams, and returns which.
  int AwaitDialedUpstream() {
    pollfd p[] = {{upstream(0).fd(), POLLIN, 0}, {upstream(1).fd(), POLLIN, 0}};
    REQUIRE(poll(p, 2, kTimeoutMs) >= 1);
    return (p[0].revents & POLLIN) != 0 ? 0 : 1;
  }

 private:
  Port discovery_, counter_;
  std::vector<Port> upstreams_;
  std::vector<Peer> watch_, counter_connections_;
  json config_;
  double total_ = 0;
  Port* inherited_ = nullptr;
  std::string path_, operator_path_;
  int port_ = 0, ops_ = 0;
  pid_t pid_ = -1;
};

}  // namespace postspread::site

#endif  // POSTSPREAD_TESTS_PARTNERS_SITE_H_
