// A client that has gone, in each state in which its connection may not be read from: what it asked for and
// no upstream has yet is dropped.
#include <chrono>

#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;

constexpr int kMostOwed = 128;  // answers owed on one connection before no more commands are taken from it

std::string Many(int count) {
  std::string out;
  for (int i = 0; i < count; ++i) out += Read("r" + std::to_string(i));
  return out;
}

// A site whose only upstream is still being dialled, so that all that is asked waits for its first byte.
struct Waiting {
  explicit Waiting(const json& changes = json::object()) : site(0, Merged(changes)) {
    site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  }
  static json Merged(const json& changes) {
    json out = NoQuota();
    out.merge_patch(changes);
    return out;
  }
  // The client has just gone. That is noticed soon, and nothing that was asked before is sent: the next
  // request is the first that the upstream sees.
  void CheckNothingSent() {
    const auto gone = std::chrono::steady_clock::now();
    slow.Left();
    CHECK(std::chrono::steady_clock::now() - gone <
          std::chrono::seconds(1));  // 0.1 s, on a machine that is busy
    slow.Open();
    Peer other = site.Client();
    other.Send(Read("last"));
    CHECK(slow.port().Accept().Command().at(2) == "last");
  }
  Site site;
  SlowPort slow;
};

TEST_CASE("the close of a client that is owed as many answers as it may be is noticed") {
  enum How { kClose, kReset, kHalfClose };
  const How how = GENERATE(kClose, kReset, kHalfClose);
  Waiting w;
  Peer client = w.site.Client();
  client.Send(Many(kMostOwed + 20));
  w.slow.Dialled(kMostOwed);
  if (how == kClose) client.Close();
  if (how == kReset) client.Reset();
  if (how == kHalfClose) client.HalfClose();
  w.CheckNothingSent();
}

TEST_CASE("a close behind more than is read ahead is noticed") {
  Waiting w;
  Peer client = w.site.Client();
  client.Send(Many(kMostOwed));
  w.slow.Dialled(kMostOwed);
  std::string more;
  while (more.size() < 160'000) more += Command({"PING"});
  for (std::size_t at = 0; at < more.size(); usleep(500)) {
    at += client.SendSome(std::string_view(more).substr(at));
  }
  client.Close();
  w.CheckNothingSent();
}

TEST_CASE("of several such clients all that go between two looks are noticed, and the others stay") {
  Waiting w;
  std::string more;
  while (more.size() < 100'000) more += Command({"PING"});
  std::vector<Peer> clients;
  for (int c = 0; c < 4; ++c) {
    clients.push_back(w.site.Client());
    std::string all;
    for (int i = 0; i < 128; ++i) all += Read("r" + std::to_string(c) + "-" + std::to_string(i));
    all += more;
    for (std::size_t at = 0; at < all.size(); usleep(200)) {
      at += clients.back().SendSome(std::string_view(all).substr(at));
    }
  }
  w.site.Ping();
  w.site.Pause();
  for (const int gone : {0, 1, 3}) clients[static_cast<std::size_t>(gone)].Close();
  w.site.Resume();
  clients[2].Close();
  w.CheckNothingSent();
}

TEST_CASE("a close is noticed while a large body waits for room, and behind a broken command") {
  const bool body = GENERATE(true, false);
  Waiting w(json{{"limits", {{"memory_mb", 32}}}});
  const std::string head = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  std::vector<Peer> full;
  for (int i = 0; i < 2; ++i) full.push_back(w.site.Client()), full.back().Send(head + "xx");
  w.site.Ping();
  Peer client = w.site.Client();
  client.Send(Read("one") + (body ? head + std::string(200, 'x') : "*1\r\n:nonsense\r\n"));
  w.slow.Dialled(1);
  client.Close();
  w.CheckNothingSent();
}

TEST_CASE("what waits for the counter's answer is dropped with its client, and its units come back once") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  const auto call = site.calls().Command();
  CHECK(call.at(2) == "1");
  client.Close();
  CHECK(site.Ping() == "+PONG\r\n");  // answered behind the close
  site.calls().Send("$1\r\n1\r\n");
  Peer other = site.Client();
  other.Send(Read("two"));
  CHECK(site.Grant() == 0);  // its own unit, less the one that was not used
  CHECK(site.upstream(0).Accept().Command().at(2) == "two");
  other.Send(Read("three"));
  CHECK(site.Grant() == 1);
}

TEST_CASE("an id is free again once its client has gone") {
  Waiting w;
  for (int i = 0; i < 3; ++i) {
    Peer client = w.site.Client();
    client.Send(Read("one"));
    w.slow.Dialled(1);
    client.Close();
    w.slow.Left();
  }
}

// The fourth of the letter's terms.
TEST_CASE("with the descriptors full of idle clients while discovery is down, all partners are found again") {
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
  // Discovery is back: whichever call is out then is answered.
  for (;;) {
    Peer watch = site.discovery().Accept();
    if (watch.Some(4096).empty()) continue;  // given up meanwhile
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
