// Guards against responses lost in a graceful shutdown: SIGTERM arrives while requests, bodies, responses or
// upstream connections are incomplete.
#include <chrono>

#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The gateway still accepts connections for this long after SIGTERM.
constexpr milliseconds kListeningGrace{500};
// The platform sends SIGKILL this long after SIGTERM, if the longest deadline is at least 3 s.
constexpr milliseconds kKillDelay{3'700};

TEST_CASE(
    "given unread requests on a new and an existing connection, when the process stops listening, then "
    "both get responses") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer existing = site.Client();
  CHECK(Site::Ping(existing) == "+PONG\r\n");
  site.Terminate();
  site.WaitForLog("draining");
  site.Pause();
  Peer fresh = site.Client();  // established by the kernel, not yet accepted by the process
  fresh.Send(Read("fresh"));
  existing.Send(Read("existing"));
  // The process is paused until after the time at which it stops listening. When it resumes, both this and
  // the two requests are due.
  usleep(std::chrono::microseconds(kListeningGrace + milliseconds(100)).count());
  site.Resume();
  for (int i = 0; i < 2; ++i) {
    Peer upstream = site.upstream(0).Accept();
    const bool is_fresh = upstream.Command().at(2) == "fresh";
    upstream.Send(kValue);
    CHECK((is_fresh ? fresh : existing).Until("hi\r\n") == "$2\r\nhi\r\n");
  }
  CHECK(fresh.Ended());
  CHECK(existing.Ended());
  // Once the connection is shut down, the gateway forwards nothing more. A client that still sends must not
  // lose its response.
  fresh.Send(Read("late"));
  fresh.Close();
  existing.Close();
  CHECK(site.Wait() == 0);
  CHECK_FALSE(site.upstream(0).HasPendingConnection());
}

TEST_CASE(
    "given a request at an unresponsive upstream, when SIGTERM arrives, then the client gets a response "
    "before the platform may kill the process") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  Peer late = site.Client();
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();  // the upstream does not respond
  const auto terminated = steady_clock::now();
  site.Terminate();
  site.WaitForLog("draining");
  late.Send(Read("two"));
  Peer second = site.upstream(0).Accept();
  const auto command = second.Command();
  CHECK(command.at(2) == "two");
  const std::string& extras = command.at(3);
  const std::size_t at = extras.find(",d=");
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(extras.substr(at + 3)) < kKillDelay.count());  // within the time until the kill
  CHECK(client.Line() == "-ERR failed\r\n");
  CHECK_FALSE(late.Line().empty());
  CHECK(steady_clock::now() - terminated < kKillDelay);
  CHECK(client.Ended());
  client.Close();
  late.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE(
    "given no endpoint list yet, when SIGTERM arrives, repeated and with SIGHUP, then the process exits") {
  Site site(1);
  Peer watch = site.discovery().Accept();
  site.Terminate();
  site.WaitForLog("draining");
  site.Terminate();
  site.Reload(json::object());
  site.WaitForLog("configuration reloaded");
  CHECK(site.Wait() == 0);
}

TEST_CASE(
    "given an incomplete command on the last connection, when SIGTERM arrives, then the command can be "
    "completed") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  const std::string command = Read("half");
  client.Send(command.substr(0, command.size() / 2));
  site.Ping();
  site.Terminate();
  while (!site.RefusesConnections()) usleep(10'000);
  client.Send(command.substr(command.size() / 2));
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "half");
  site.Reload(json::object());  // a SIGHUP during the shutdown changes nothing
  site.WaitForLog("configuration reloaded");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(client.Ended());
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE(
    "given a request that waits for an upstream connection, when SIGTERM arrives, then it fails and the "
    "process exits") {
  Site site(0, NoQuota());
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  slow.AwaitConnects();
  site.Terminate();
  CHECK(client.Line() == "-ERR failed\r\n");
  slow.AwaitNoConnects();
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE(
    "given a partly streamed value and bodies that wait for memory, when SIGTERM arrives, then the value "
    "arrives complete and the bodies are released") {
  json changes = NoQuota();
  changes["limits"] = {{"memory_mb", 32}};
  Site site(1, changes);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  const std::string body(500'000, 'v');
  const std::string head = "$" + std::to_string(body.size()) + "\r\n";
  upstream.Send("*3\r\n" + head + body.substr(0, 1'000));
  CHECK(client.Until(std::string(100, 'v')).find(head) == 0);
  const std::string large = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  std::vector<Peer> bodies;
  for (int i = 0; i < 3; ++i) {
    bodies.push_back(site.Client());
    bodies.back().Send(large + "xx");
  }
  site.Ping();
  site.Terminate();
  while (!site.RefusesConnections()) usleep(10'000);
  const std::string rest = body.substr(1'000) + "\r\n$-1\r\n$-1\r\n";
  std::string received;
  for (std::size_t at = 0; at < rest.size();) {
    at += upstream.SendSome(std::string_view(rest).substr(at));
    if (!client.HasMore(1)) continue;
    const std::string part = client.ReadSome(1 << 16);
    REQUIRE_FALSE(part.empty());  // empty: the connection was closed
    received += part;
  }
  received += client.Bytes(body.size() - 100 + 2 - received.size());
  CHECK((received == body.substr(100) + "\r\n"));
  CHECK(client.Ended());
  client.Close();
  bodies.clear();
  CHECK(site.Wait() == 0);
}

}  // namespace
}  // namespace postspread
