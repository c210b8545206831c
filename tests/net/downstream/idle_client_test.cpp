// Client connections that are idle or stall, and when the gateway closes them.
#include <optional>
#include <vector>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

// Connections of clients that have each been served one request, over one connection to the upstream.
struct ServedClients {
  ServedClients(Site& site, int count) {
    for (int i = 0; i < count; ++i) {
      Peer& client = clients.emplace_back(site.Client());
      client.Send(Read("one"));
      site.Grant();
      if (!upstream) upstream.emplace(site.upstream(0).Accept());
      upstream->Command();
      upstream->Send(kValue);
      client.Until("hi\r\n");
    }
  }
  std::vector<Peer> clients;
  std::optional<Peer> upstream;
};

TEST_CASE(
    "when client connections reach their limit, then those idle for longest are closed and new ones "
    "accepted") {
  Site site(1, {{"limits", {{"sockets", 32}}}});  // of which 8 are for clients
  site.Start(1);
  ServedClients served(site, 8);
  std::vector<Peer>& idle = served.clients;
  Peer first = site.Client(), second = site.Client();
  second.Send(Command({"PING"}));  // its response shows that both are accepted
  CHECK(second.Line() == "+PONG\r\n");
  first.Send(Command({"PING"}));
  CHECK(first.Line() == "+PONG\r\n");
  CHECK(idle[0].Ended());
  CHECK(idle[1].Ended());
  CHECK_FALSE(idle[7].HasMore());
}

TEST_CASE("near the limit of client connections only those idle for longest are closed early") {
  Site site(1, {{"limits", {{"sockets", 32}}}});  // of which 8 are for clients, and 4 of these may stay idle
  site.Start(1);
  ServedClients served(site, 6);
  std::vector<Peer>& clients = served.clients;
  CHECK(clients[0].Ended());
  CHECK(clients[1].Ended());
  CHECK_FALSE(clients[5].HasMore());
}

TEST_CASE("an idle client connection is closed early when connections are near their limit, and only then") {
  const int sockets = GENERATE(32, 1024);
  Site site(1, {{"limits", {{"sockets", sockets}}}});
  site.Start(1);
  ServedClients served(site, 4);
  std::vector<Peer>& clients = served.clients;
  if (sockets == 32) {
    CHECK(clients[0].Ended());
  } else {
    Peer silent = site.Client();
    CHECK(silent.Ended());  // after a longer time than the clients above have been idle
    CHECK_FALSE(clients[0].HasMore());
  }
}

TEST_CASE("when a client stalls, then its pending commands fail with an error and its connection is closed") {
  Site site(1);
  site.Start(1);
  Peer silent = site.Client(), half = site.Client(), mixed = site.Client();
  half.Send("*4\r\n$8\r\nAPI.");
  mixed.Send(Read("one") + "noise\r\n");  // the error waits for a response that does not arrive
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  CHECK(mixed.Line() == "-ERR failed\r\n");
  CHECK(mixed.Line() == "-ERR Protocol error: expected an array of bulk strings\r\n");
  CHECK(mixed.Ended());
  CHECK(upstream.Ended());
  CHECK(half.Line() == "-ERR Protocol error: command not finished in time\r\n");
  CHECK(half.Ended());
  CHECK(silent.Ended());
}

}  // namespace
}  // namespace postspread
