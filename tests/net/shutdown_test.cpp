// Graceful shutdown: SIGTERM at every awkward moment.
#include <chrono>

#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kListensOn{500};    // after SIGTERM
constexpr milliseconds kKillAfter{3'700};  // after SIGTERM, where deadlines are 3 s and longer

TEST_CASE(
    "a request that lies in a socket, new or kept, when the process stops listening gets its response") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer kept = site.Client();
  CHECK(Site::Ping(kept) == "+PONG\r\n");
  site.Terminate();
  site.Logged("draining");
  site.Pause();
  Peer fresh = site.Client();  // accepted by the kernel only
  fresh.Send(Read("fresh"));
  kept.Send(Read("kept"));
  // The process is paused past the time to stop listening: that time and both requests are due when it
  // resumes.
  usleep(std::chrono::microseconds(kListensOn + milliseconds(100)).count());
  site.Resume();
  for (int i = 0; i < 2; ++i) {
    Peer upstream = site.upstream(0).Accept();
    const bool is_fresh = upstream.Command().at(2) == "fresh";
    upstream.Send(kValue);
    CHECK((is_fresh ? fresh : kept).Until("hi\r\n") == "$2\r\nhi\r\n");
  }
  CHECK(fresh.Ended());
  CHECK(kept.Ended());
  // After the shutdown nothing is read, and a client that goes on sending loses nothing that it was sent.
  fresh.Send(Read("late"));
  fresh.Close();
  kept.Close();
  CHECK(site.Wait() == 0);
  CHECK_FALSE(site.upstream(0).Asked());
}

TEST_CASE("a request at a hanging upstream gets its response before the platform may kill the process") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  Peer late = site.Client();
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();  // and does not respond
  const auto terminated = steady_clock::now();
  site.Terminate();
  site.Logged("draining");
  late.Send(Read("two"));
  Peer second = site.upstream(0).Accept();
  const auto command = second.Command();
  CHECK(command.at(2) == "two");
  const std::string& extras = command.at(3);
  const std::size_t at = extras.find(",d=");
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(extras.substr(at + 3)) < kKillAfter.count());  // no more time than the platform leaves
  CHECK(client.Line() == "-ERR failed\r\n");
  CHECK_FALSE(late.Line().empty());
  CHECK(steady_clock::now() - terminated < kKillAfter);
  CHECK(client.Ended());
  client.Close();
  late.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("SIGTERM before the first list ends the process, also when repeated and with SIGHUP") {
  Site site(1);
  Peer watch = site.discovery().Accept();
  site.Terminate();
  site.Logged("draining");
  site.Terminate();
  site.Reload(json::object());
  site.Logged("configuration reloaded");
  CHECK(site.Wait() == 0);
}

TEST_CASE("a command half received at SIGTERM is completed, also on the last connection") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  const std::string command = Read("half");
  client.Send(command.substr(0, command.size() / 2));
  site.Ping();
  site.Terminate();
  while (!site.Refuses()) usleep(10'000);
  client.Send(command.substr(command.size() / 2));
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "half");
  site.Reload(json::object());  // a SIGHUP during the shutdown changes nothing
  site.Logged("configuration reloaded");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(client.Ended());
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("a shutdown while an upstream is being connected ends what waits, and the process") {
  Site site(0, NoQuota());
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  slow.Dialled();
  site.Terminate();
  CHECK(client.Line() == "-ERR failed\r\n");
  slow.Left();
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("a value half streamed at SIGTERM arrives complete, and a body that waits for memory is released") {
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
  while (!site.Refuses()) usleep(10'000);
  const std::string rest = body.substr(1'000) + "\r\n$-1\r\n$-1\r\n";
  std::string received;
  for (std::size_t at = 0; at < rest.size();) {
    at += upstream.SendSome(std::string_view(rest).substr(at));
    if (!client.HasMore(1)) continue;
    const std::string part = client.Some(1 << 16);
    REQUIRE_FALSE(part.empty());  // the connection has ended
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
