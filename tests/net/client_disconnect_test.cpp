// A client that disconnects, in each state in which its connection may not be read from: its requests that no
// upstream has received yet are released.
#include <chrono>

#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;

constexpr int kMaxPending = 128;  // requests of one connection; no more commands are read meanwhile

std::string Many(int count) {
  std::string out;
  for (int i = 0; i < count; ++i) out += Read("r" + std::to_string(i));
  return out;
}

// A site whose only upstream is still being connected, so that every request waits for its first byte.
struct ConnectingSite {
  explicit ConnectingSite(const json& changes = json::object()) : site(0, Merged(changes)) {
    site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  }
  static json Merged(const json& changes) {
    json out = NoQuota();
    out.merge_patch(changes);
    return out;
  }
  // The client has just disconnected. That is noticed soon, and none of its requests is sent: the next
  // request is the first that the upstream sees.
  void CheckNothingSent() {
    const auto disconnected = std::chrono::steady_clock::now();
    slow.Left();
    CHECK(std::chrono::steady_clock::now() - disconnected <
          std::chrono::seconds(1));  // 0.1 s on an idle machine
    slow.Open();
    Peer other = site.Client();
    other.Send(Read("last"));
    CHECK(slow.port().Accept().Command().at(2) == "last");
  }
  Site site;
  SlowPort slow;
};

TEST_CASE("the disconnect of a client with the most pending requests is noticed") {
  enum class Disconnect { kClose, kReset, kHalfClose };
  const Disconnect disconnect = GENERATE(Disconnect::kClose, Disconnect::kReset, Disconnect::kHalfClose);
  ConnectingSite fixture;
  Peer client = fixture.site.Client();
  client.Send(Many(kMaxPending + 20));
  fixture.slow.Dialled(kMaxPending);
  if (disconnect == Disconnect::kClose) client.Close();
  if (disconnect == Disconnect::kReset) client.Reset();
  if (disconnect == Disconnect::kHalfClose) client.HalfClose();
  fixture.CheckNothingSent();
}

TEST_CASE("a disconnect behind more bytes than are read ahead is noticed") {
  ConnectingSite fixture;
  Peer client = fixture.site.Client();
  client.Send(Many(kMaxPending));
  fixture.slow.Dialled(kMaxPending);
  std::string more;
  while (more.size() < 160'000) more += Command({"PING"});
  for (std::size_t at = 0; at < more.size(); usleep(500)) {
    at += client.SendSome(std::string_view(more).substr(at));
  }
  client.Close();
  fixture.CheckNothingSent();
}

TEST_CASE("of several such clients all that disconnect between two checks are noticed, and the others stay") {
  ConnectingSite fixture;
  std::string more;
  while (more.size() < 100'000) more += Command({"PING"});
  std::vector<Peer> clients;
  for (int c = 0; c < 4; ++c) {
    clients.push_back(fixture.site.Client());
    std::string commands;
    for (int i = 0; i < 128; ++i) commands += Read("r" + std::to_string(c) + "-" + std::to_string(i));
    commands += more;
    for (std::size_t at = 0; at < commands.size(); usleep(200)) {
      at += clients.back().SendSome(std::string_view(commands).substr(at));
    }
  }
  fixture.site.Ping();
  fixture.site.Pause();
  for (const std::size_t index : {0, 1, 3}) clients[index].Close();
  fixture.site.Resume();
  clients[2].Close();
  fixture.CheckNothingSent();
}

TEST_CASE("a disconnect is noticed while a large body waits for memory, and behind a malformed command") {
  const bool has_body = GENERATE(true, false);
  ConnectingSite fixture(json{{"limits", {{"memory_mb", 32}}}});
  const std::string head = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  std::vector<Peer> others;  // which take all of the memory
  for (int i = 0; i < 2; ++i) {
    others.push_back(fixture.site.Client());
    others.back().Send(head + "xx");
  }
  fixture.site.Ping();
  Peer client = fixture.site.Client();
  client.Send(Read("one") + (has_body ? head + std::string(200, 'x') : "*1\r\n:nonsense\r\n"));
  fixture.slow.Dialled(1);
  client.Close();
  fixture.CheckNothingSent();
}

TEST_CASE(
    "a request that waits for the counter is released with its client, and its units are refunded once") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  const auto call = site.calls().Command();
  CHECK(call.at(2) == "1");
  client.Close();
  CHECK(site.Ping() == "+PONG\r\n");  // its reply comes after the disconnect
  site.calls().Send("$1\r\n1\r\n");
  Peer other = site.Client();
  other.Send(Read("two"));
  CHECK(site.Grant() == 0);  // its own unit, less the refunded one
  CHECK(site.upstream(0).Accept().Command().at(2) == "two");
  other.Send(Read("three"));
  CHECK(site.Grant() == 1);
}

TEST_CASE("an id can be reused once its client has disconnected") {
  ConnectingSite fixture;
  for (int i = 0; i < 3; ++i) {
    Peer client = fixture.site.Client();
    client.Send(Read("one"));
    fixture.slow.Dialled(1);
    client.Close();
    fixture.slow.Left();
  }
}

TEST_CASE("with all descriptors held by idle clients while discovery is down, every peer is reconnected") {
  constexpr int kDescriptors = 64;
  json changes = NoQuota();
  changes["limits"] = {{"sockets", kDescriptors}};
  Site site(1, changes);
  site.Start(1);
  site.LimitDescriptors(kDescriptors);
  site.watch().Reset();
  Peer silent = site.discovery().Accept();  // discovery is down: it says nothing
  std::vector<Peer> idle;
  for (int i = 0; i < 2 * kDescriptors; ++i) {
    idle.push_back(site.Client());
    if (i % 2 == 0) idle.back().Send(Command({"PING"}));
  }
  CHECK(site.Ping() == "+PONG\r\n");
  site.calls().Reset();
  Peer counter = site.counter().Accept();
  // Discovery is back: it answers whichever poll is in flight then.
  for (;;) {
    Peer watch = site.discovery().Accept();
    if (watch.Some(4096).empty()) continue;  // timed out meanwhile
    Site::Tell(watch, Site::List(true, site.Entries(0, 1, "Ready")));
    if (watch.Until("\r\n\r\n").find("GET /api/targets?since=41&timeout_ms=2000 ") == 0) break;
  }
  Peer client = site.Client();
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "one");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

}  // namespace
}  // namespace postspread
