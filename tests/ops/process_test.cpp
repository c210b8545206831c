// The operators' door of the real program, by real calls over loopback.
#include <algorithm>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

// One call to a connection; the whole response.
std::string Call(int port, const std::string& line) {
  Peer peer = Connect(port);
  peer.Send(line + " HTTP/1.1\r\nHost: gatekeeper\r\n\r\n");
  std::string out = peer.Until("\r\n\r\n");
  const std::size_t at = out.find("Content-Length: ");
  REQUIRE(at != std::string::npos);
  std::size_t length = std::stoul(out.substr(at + 16));
  while (length > 0) {
    const std::string part = peer.Until("\n");
    out += part;
    REQUIRE(part.size() <= length);
    length -= part.size();
  }
  CHECK(peer.Ended());
  return out;
}
bool Yes(const std::string& response) { return response.find("HTTP/1.1 200 ") == 0; }

double Figure(int port, const std::string& name) {
  const std::string text = Call(port, "GET /v1/metrics");
  const std::size_t at = text.find("\n" + name + " ");
  if (at == std::string::npos) FAIL("no figure " + name + " in " + text);
  return std::stod(text.substr(at + name.size() + 2));
}

TEST_CASE("the door: calls, and what can't be read") {
  const int ops = FreeNumber();
  Site site(1, {{"ops", "127.0.0.1:" + std::to_string(ops)}});
  site.Start(1);
  CHECK(Yes(Call(ops, "GET /v1/readyz")));
  CHECK(Call(ops, "GET /nowhere").find("HTTP/1.1 404 ") == 0);
  CHECK(Call(ops, "POST /v1/readyz").find("\r\nAllow: GET\r\n") != std::string::npos);
  Peer odd = Connect(ops);
  odd.Send("what is this\r\n");
  CHECK(odd.Line() == "HTTP/1.1 400 Bad Request\r\n");
  Peer cut = Connect(ops);  // a head that comes in pieces
  for (const char* piece : {"GE", "T /v1/rea", "dyz HTTP/1.1\r", "\nHost: x\r\n", "\r", "\n"}) {
    cut.Send(piece);
    usleep(2'000);
  }
  CHECK(cut.Line() == "HTTP/1.1 200 OK\r\n");
}

TEST_CASE("callers that finish no call do not keep out a true one") {
  const int ops = FreeNumber();
  Site site(1, {{"ops", "127.0.0.1:" + std::to_string(ops)}});
  site.Start(1);
  std::vector<Peer> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(Connect(ops));
    if (i % 2 == 0) silent.back().Send("GET /v1/readyz HTTP/1.1\r\nHost:");
  }
  for (int i = 0; i < 3; ++i) CHECK(Yes(Call(ops, "GET /v1/readyz")));
  CHECK(silent.front().Ended());  // the longest here went first
}

TEST_CASE("figures are those that clients and next hops count") {
  const int ops = FreeNumber();
  Site site(1, {{"ops", "127.0.0.1:" + std::to_string(ops)}, {"settings", {{"Limits", {{"MostTries", 1}}}}}});
  site.Start(1);
  CHECK(Figure(ops, "svc_completed{lane=\"lookup\"}") == 0);
  CHECK(Figure(ops, "svc_members") == 1);
  Peer client = site.Client();
  client.Send(Read("a"));
  site.Grant();
  Peer hop = site.hop(0).Accept();
  hop.Command();
  CHECK(Figure(ops, "svc_pending") == 1);
  CHECK(Figure(ops, "svc_upstream_requests") == 1);
  hop.Send(kValue);
  client.Until("hi\r\n");
  client.Send(Read("b"));
  site.Grant();
  hop.Command();
  hop.Send("-BUSY\r\n");
  CHECK(client.Line() == "-BUSY\r\n");
  client.Send(Command({"API.READ", "x"}));  // not a request of any class
  client.Line();
  CHECK(Figure(ops, "svc_completed{lane=\"lookup\"}") == 1);
  CHECK(Figure(ops, "svc_rejected{lane=\"lookup\"}") == 1);
  CHECK(Figure(ops, "svc_failed{lane=\"lookup\"}") == 0);
  CHECK(Figure(ops, "svc_upstream_requests") == 2);
  CHECK(Figure(ops, "svc_pending") == 0);
  site.Reload(json::object());
  site.Logged("configuration read again");
  CHECK(Figure(ops, "svc_config_reloads") == 1);
  site.Reload({{"settings", nullptr}});
  site.Logged("new configuration is wrong");
  CHECK(Figure(ops, "svc_config_reloads") == 1);
  CHECK(Figure(ops, "svc_config_reload_errors") == 1);
}

TEST_CASE("an attempt counts once its last byte has gone to the socket, not when it is buffered") {
  const int ops = FreeNumber();
  Port full(0);  // connections to it come up only when one before is taken
  Site site(1, {{"ops", "127.0.0.1:" + std::to_string(ops)}});
  std::vector<Peer> crowd;
  crowd.push_back(Connect(full.number()));
  Peer watch = site.discovery().Accept();
  watch.Until("\r\n\r\n");
  Site::Tell(watch, Site::List(true, {{{"name", "s-0"}, {"address", full.address()}, {"status", "Ready"}}}));
  Peer calls = site.counter().Accept();
  site.WaitUntilReady();
  Peer client = site.Client();
  client.Send(Read("a"));
  calls.Command();
  calls.Send("$1\r\n1\r\n");
  while (Figure(ops, "svc_pending") != 1) usleep(5'000);
  CHECK(Figure(ops, "svc_upstream_requests") == 0);
}

TEST_CASE("a drain: no at once, served on, kept connections closed between requests, and back") {
  const int ops = FreeNumber();
  Site site(1, {{"ops", "127.0.0.1:" + std::to_string(ops)}});
  site.Start(1);
  Peer idle = site.Client();
  idle.Send(Command({"PING"}));
  CHECK(idle.Line() == "+PONG\r\n");
  Peer busy = site.Client();
  busy.Send(Read("a"));
  site.Grant();
  Peer hop = site.hop(0).Accept();
  hop.Command();
  Peer cut = site.Client();  // a command that has begun to come when the drain begins
  const std::string command = Read("c");
  cut.Send(command.substr(0, 40));
  CHECK(Yes(Call(ops, "PUT /v1/gatekeeper/drain")));
  CHECK(Yes(Call(ops, "PUT /v1/gatekeeper/drain")));
  CHECK_FALSE(Yes(Call(ops, "GET /v1/readyz")));
  idle.Send(Command({"PING"}));
  CHECK(idle.Line() != "+PONG\r\n");
  Peer late = site.Client();  // the front still sends for a moment
  late.Send(Read("b"));
  site.Grant();
  Peer second = site.hop(0).Accept();
  second.Command();
  second.Send(kValue);
  CHECK(late.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(idle.Ended());
  CHECK(late.Ended());
  CHECK_FALSE(busy.HasMore());  // an answer is owed
  cut.Send(command.substr(40));
  site.Grant();
  second.Command();
  second.Send(kValue);
  CHECK(cut.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(cut.Ended());
  hop.Send(kValue);
  CHECK(busy.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(busy.Ended());
  CHECK(Yes(Call(ops, "PUT /v1/gatekeeper/activate")));
  CHECK(Yes(Call(ops, "GET /v1/readyz")));
  Peer kept = site.Client();
  kept.Send(Command({"PING"}));
  CHECK(kept.Line() == "+PONG\r\n");

  SECTION("SIGTERM in a drain ends the program") {
    CHECK(Yes(Call(ops, "PUT /v1/gatekeeper/drain")));
    site.Terminate();
    CHECK(kept.Ended());
    kept.Close();
    CHECK(site.Wait() == 0);
  }
}

TEST_CASE("new settings: classes come and go, a request keeps the rules it came under") {
  const int ops = FreeNumber();
  const json lookup = {
      {"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}};
  json later = lookup;
  later["Name"] = "later";
  later["Effect"] = "unsafe";
  const auto settings = [](json classes, int tries) {
    return json({{"settings", {{"Classes", std::move(classes)}, {"Limits", {{"MostTries", tries}}}}}});
  };
  json start = settings({lookup}, 2);
  start["ops"] = "127.0.0.1:" + std::to_string(ops);
  Site site(1, start);
  site.Start(1);
  const auto write = [](std::string_view id) {
    return Command(
        {"API.WRITE", "0000000000000001", id, "c=later,t=team,d=60000,units=1,spread=2,first=0", "x"});
  };
  Peer client = site.Client();
  client.Send(write("early"));
  CHECK(client.Line() == "-ERR unknown class\r\n");
  client.Send(Read("old"));
  site.Grant();
  Peer hop = site.hop(0).Accept();
  hop.Command();

  json more = settings({lookup, later}, 1);
  more["ops"] = start["ops"];
  site.Reload(more);
  site.Logged("configuration read again");
  CHECK(Figure(ops, "svc_completed{lane=\"later\"}") == 0);
  Peer other = site.Client();
  other.Send(write("new"));
  site.Grant();
  Peer second = site.hop(0).Accept();
  CHECK(second.Command().at(2) == "new");

  json fewer = settings({later}, 1);
  fewer["ops"] = start["ops"];
  site.Reload(fewer);
  while (Figure(ops, "svc_config_reloads") != 2) usleep(5'000);
  Peer third = site.Client();
  third.Send(Read("gone"));
  CHECK(third.Line() == "-ERR unknown class\r\n");
  second.Send("-ERR failed\r\n");  // it may have run, and its class allows no repeat
  CHECK(other.Line() == "-ERR failed\r\n");
  hop.Send("-ERR failed\r\n");  // one of two attempts, by the settings it came under: it goes out again
  CHECK(second.Command().at(2) == "old");  // on the connection that is free
  second.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(Figure(ops, "svc_completed{lane=\"lookup\"}") == 1);  // a class that went is told of still
  CHECK(Figure(ops, "svc_failed{lane=\"later\"}") == 1);
}

TEST_CASE("an upgrade: two processes on one socket, each request answered once, nothing closed on") {
  Port shared(64);
  const int first_ops = FreeNumber(), second_ops = FreeNumber();
  Site site(1, {{"ops", "127.0.0.1:" + std::to_string(first_ops)}}, false, nullptr, &shared);
  site.Start(1);
  Peer idle = site.Client();
  idle.Send(Command({"PING"}));
  CHECK(idle.Line() == "+PONG\r\n");
  Peer busy = site.Client();
  busy.Send(Read("a"));
  site.Grant();
  Peer hop = site.hop(0).Accept();
  hop.Command();
  Peer slow = site.Client();  // takes its time to write
  const std::string command = Read("s");
  slow.Send(command.substr(0, 50));

  const pid_t first = site.Turn(site.Spawn({"ROUTER_OPS=127.0.0.1:" + std::to_string(second_ops)}));
  Peer watch = site.discovery().Accept();  // the second one's
  watch.Until("\r\n\r\n");
  Site::Tell(watch, Site::List(true, site.Entries(0, 1, "Ready")));
  Peer calls = site.counter().Accept();
  const auto ready = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(second_ops);
    const bool listens = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    return listens && Yes(Call(second_ops, "GET /v1/readyz"));
  };
  while (!ready()) usleep(10'000);
  CHECK(Yes(Call(first_ops, "GET /v1/readyz")));  // both serve for a while

  kill(first, SIGTERM);
  CHECK(idle.Ended());
  Peer fresh = site.Client();  // only the second one accepts now
  fresh.Send(Read("b"));
  calls.Command();
  calls.Send("$1\r\n1\r\n");
  Peer other = site.hop(0).Accept();
  CHECK(other.Command().at(2) == "b");
  other.Send(kValue);
  CHECK(fresh.Until("hi\r\n") == "$2\r\nhi\r\n");
  slow.Send(command.substr(50));  // begun before, ended after: still the first one's
  site.Grant();
  Peer third = site.hop(0).Accept();
  CHECK(third.Command().at(2) == "s");
  third.Send(kValue);
  CHECK(slow.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(slow.Ended());
  hop.Send(kValue);
  CHECK(busy.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(busy.Ended());
  for (Peer* peer : {&idle, &busy, &slow}) peer->Close();
  int status = -1;
  REQUIRE(waitpid(first, &status, 0) == first);
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
  fresh.Send(Command({"PING"}));  // the shared socket and its clients outlive the first process
  CHECK(fresh.Line() == "+PONG\r\n");
  Peer last = site.Client();
  last.Send(Command({"PING"}));
  CHECK(last.Line() == "+PONG\r\n");
}

TEST_CASE("of two sockets bound to one address for datagrams the one bound last gets them") {
  const auto bound = [](sockaddr_in address) {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return fd;
  };
  const Socket first(bound(Loopback(0)));
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(first.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  const Socket second(bound(address));
  const Socket from(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  for (int i = 0; i < 50; ++i) {
    REQUIRE(sendto(from.fd(), "x", 1, 0, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 1);
  }
  char byte = 0;
  int got = 0;
  while (recv(second.fd(), &byte, 1, 0) == 1) ++got;
  CHECK(got == 50);
  CHECK(recv(first.fd(), &byte, 1, 0) < 0);
}

}  // namespace
}  // namespace postspread
