// SIGTERM at every awkward moment.
#include <chrono>

#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kServesOn{500};   // after SIGTERM, before it stops listening
constexpr milliseconds kMayKill{3'700};  // after SIGTERM, where deadlines are 3 s and longer

TEST_CASE("a request that lies at a socket, new or kept, when the program stops to listen is answered") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer kept = site.Client();
  CHECK(Site::Ping(kept) == "+PONG\r\n");
  site.Terminate();
  site.Logged("draining");
  site.Pause();
  Peer fresh = site.Client();  // let in by the machine
  fresh.Send(Read("fresh"));
  kept.Send(Read("kept"));
  // The program stands still past its time to close: both requests and that time are there when it goes on.
  usleep(std::chrono::microseconds(kServesOn + milliseconds(100)).count());
  site.Resume();
  for (int i = 0; i < 2; ++i) {
    Peer upstream = site.upstream(0).Accept();
    const bool is_fresh = upstream.Command().at(2) == "fresh";
    upstream.Send(kValue);
    CHECK((is_fresh ? fresh : kept).Until("hi\r\n") == "$2\r\nhi\r\n");
  }
  CHECK(fresh.Ended());
  CHECK(kept.Ended());
  // After its shutdown nothing is taken, and a client that sends on loses nothing that it was sent.
  fresh.Send(Read("late"));
  fresh.Close();
  kept.Close();
  CHECK(site.Wait() == 0);
  CHECK_FALSE(site.upstream(0).Asked());
}

TEST_CASE("what a hanging next hop holds is answered before the platform may kill") {
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client(), late = site.Client();
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();  // and says nothing
  const auto stopped = steady_clock::now();
  site.Terminate();
  site.Logged("draining");
  late.Send(Read("two"));
  Peer second = site.upstream(0).Accept();
  const auto command = second.Command();
  CHECK(command.at(2) == "two");
  const std::string& extras = command.at(3);
  const std::size_t at = extras.find(",d=");
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(extras.substr(at + 3)) < kMayKill.count());  // no more time than the platform leaves
  CHECK(client.Line() == "-ERR failed\r\n");
  CHECK_FALSE(late.Line().empty());
  CHECK(steady_clock::now() - stopped < kMayKill);
  CHECK(client.Ended());
  client.Close();
  late.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("SIGTERM before the first list ends the program, again and with SIGHUP too") {
  Site site(1);
  Peer watch = site.discovery().Accept();
  site.Terminate();
  site.Logged("draining");
  site.Terminate();
  site.Reload(json::object());
  site.Logged("configuration read again");
  CHECK(site.Wait() == 0);
}

TEST_CASE("a command that has half come at SIGTERM is taken whole, also while its connection is the last") {
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
  site.Reload(json::object());  // a SIGHUP in the stop changes nothing of that
  site.Logged("configuration read again");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(client.Ended());
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("a stop whose next hop is still being dialled ends what waits, and the program") {
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

TEST_CASE(
    "a value that is half passed on at SIGTERM arrives whole, and a body that waits for room is let go") {
  json changes = NoQuota();
  changes["limits"] = {{"memory_mb", 32}};
  Site site(1, changes);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  const std::string body(500'000, 'v'), head = "$" + std::to_string(body.size()) + "\r\n";
  upstream.Send("*3\r\n" + head + body.substr(0, 1'000));
  CHECK(client.Until(std::string(100, 'v')).find(head) == 0);
  const std::string large = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  std::vector<Peer> bodies;
  for (int i = 0; i < 3; ++i) bodies.push_back(site.Client()), bodies.back().Send(large + "xx");
  site.Ping();
  site.Terminate();
  while (!site.Refuses()) usleep(10'000);
  const std::string rest = body.substr(1'000) + "\r\n$-1\r\n$-1\r\n";
  std::string got;
  for (std::size_t at = 0; at < rest.size();) {
    at += upstream.SendSome(std::string_view(rest).substr(at));
    if (!client.HasMore(1)) continue;
    const std::string part = client.Some(1 << 16);
    REQUIRE_FALSE(part.empty());  // the connection has ended
    got += part;
  }
  got += client.Bytes(body.size() - 100 + 2 - got.size());
  CHECK((got == body.substr(100) + "\r\n"));
  CHECK(client.Ended());
  client.Close();
  bodies.clear();
  CHECK(site.Wait() == 0);
}

}  // namespace
}  // namespace postspread
