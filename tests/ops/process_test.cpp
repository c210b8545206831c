// Tests of the admin server, drain, reload and upgrade, with the gateway program over loopback.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

bool IsOk(const std::string& response) { return response.find("HTTP/1.1 200 ") == 0; }

TEST_CASE(
    "given silent callers and a call in fragments, the admin server serves calls and locks out nobody") {
  Site site(1, {{"ops", true}});
  site.Start(1);
  std::vector<Peer> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(Connect(site.ops()));
    if (i % 2 == 0) silent.back().Send("GET /v1/readyz HTTP/1.1\r\nHost:");
  }
  for (int i = 0; i < 3; ++i) CHECK(IsOk(site.CallAdmin("GET /v1/readyz")));
  CHECK(silent.front().Ended());  // The oldest connection was evicted first.
  CHECK(site.CallAdmin("POST /v1/readyz").find("\r\nAllow: GET\r\n") != std::string::npos);
  CHECK(site.CallAdmin("what is this").find("HTTP/1.1 400 Bad Request\r\n") == 0);
  Peer fragmented = Connect(site.ops());
  for (const char* piece : {"GE", "T /v1/rea", "dyz HTTP/1.1\r", "\nHost: x\r\n", "\r", "\n"}) {
    fragmented.Send(piece);
    usleep(2'000);
  }
  CHECK(fragmented.Line() == "HTTP/1.1 200 OK\r\n");
}

TEST_CASE("given served, rejected and invalid requests, the metrics equal what clients and upstreams count") {
  Site site(1, {{"ops", true}, {"settings", {{"Limits", {{"MostTries", 1}}}}}});
  site.Start(1);
  CHECK(site.Metric("svc_completed{lane=\"lookup\"}") == 0);
  CHECK(site.Metric("svc_members") == 1);
  Site::InFlightRequest in_flight = site.StartRequest("a");
  CHECK(site.Metric("svc_pending") == 1);
  in_flight.Serve();
  in_flight.client.Send(Read("b"));
  site.Grant();
  in_flight.upstream.Command();
  in_flight.upstream.Send("-BUSY\r\n");
  CHECK(in_flight.client.Line() == "-BUSY\r\n");
  in_flight.client.Send(Command({"API.READ", "x"}));  // This command is not a request of any class.
  in_flight.client.Line();
  CHECK(site.Metric("svc_completed{lane=\"lookup\"}") == 1);
  CHECK(site.Metric("svc_rejected{lane=\"lookup\"}") == 1);
  CHECK(site.Metric("svc_failed{lane=\"lookup\"}") == 0);
  CHECK(site.Metric("svc_upstream_requests") == 2);
  CHECK(site.Metric("svc_pending") == 0);
  site.Reload({{"settings", nullptr}});
  site.WaitForLog("configuration rejected");
  CHECK(site.Metric("svc_config_reloads") == 0);
  CHECK(site.Metric("svc_config_reload_errors") == 1);
}

TEST_CASE("when an attempt is buffered but not written to the socket, it is not counted") {
  // The backlog is full, so a further connection is established only once an earlier one is accepted.
  Port full(0);
  Site site(1, {{"ops", true}});
  const Peer queued = Connect(full.number());
  Peer watch = site.discovery().Accept();
  watch.Until("\r\n\r\n");
  Site::Publish(watch,
                Site::List(true, {{{"name", "s-0"}, {"address", full.address()}, {"status", "Ready"}}}));
  Peer calls = site.counter().Accept();
  site.WaitUntilReady();
  Peer client = site.Client();
  client.Send(Read("a"));
  calls.Command();
  calls.Send("$1\r\n1\r\n");
  while (site.Metric("svc_pending") != 1) usleep(5'000);
  CHECK(site.Metric("svc_upstream_requests") == 0);
}

TEST_CASE("given a drain, the gateway is not ready, still serves, and closes connections between requests") {
  Site site(1, {{"ops", true}});
  site.Start(1);
  Peer idle = site.Client();
  CHECK(Site::Ping(idle) == "+PONG\r\n");
  Site::InFlightRequest busy = site.StartRequest("a");
  Peer partial = site.Client();  // This client's command has begun to arrive when the drain begins.
  const std::string command = Read("c");
  partial.Send(command.substr(0, 40));
  for (int i = 0; i < 2; ++i) CHECK(IsOk(site.CallAdmin("PUT /v1/gatekeeper/drain")));
  CHECK_FALSE(IsOk(site.CallAdmin("GET /v1/readyz")));
  CHECK(Site::Ping(idle) == "-LOADING not serving\r\n");
  // The load balancer still routes clients to this gateway for a moment.
  Site::InFlightRequest late = site.StartRequest("b");
  late.Serve();
  CHECK(idle.Ended());
  CHECK(late.client.Ended());
  CHECK_FALSE(busy.client.HasMore());  // The response on this connection is pending.
  partial.Send(command.substr(40));
  site.Grant();
  CHECK(late.upstream.Command().at(2) == "c");
  late.upstream.Send(kValue);
  CHECK(partial.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(partial.Ended());
  busy.Serve();
  CHECK(busy.client.Ended());
  SECTION("an operator's activate call ends the drain") {
    CHECK(IsOk(site.CallAdmin("PUT /v1/gatekeeper/activate")));
    CHECK(IsOk(site.CallAdmin("GET /v1/readyz")));
    CHECK(site.Ping() == "+PONG\r\n");
  }
  SECTION("SIGTERM during a drain ends the process") {
    site.Terminate();
    CHECK(site.Wait() == 0);
  }
}

TEST_CASE("when a reload adds and removes classes, a request keeps the rules that it was admitted under") {
  const json lookup = {
      {"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}};
  json later = lookup;
  later["Name"] = "later";
  later["Effect"] = "unsafe";
  const auto settings = [](json classes, int tries) {
    return json({{"settings", {{"Classes", std::move(classes)}, {"Limits", {{"MostTries", tries}}}}}});
  };
  json start = settings({lookup}, 2);
  start["ops"] = true;
  Site site(1, start);
  site.Start(1);
  const std::string write = Command(
      {"API.WRITE", "0000000000000001", "new", "c=later,t=team,d=60000,units=1,spread=2,first=0", "x"});
  Peer client = site.Client();
  client.Send(write);
  CHECK(client.Line() == "-ERR unknown class\r\n");
  Site::InFlightRequest old = site.StartRequest("old");

  site.Reload(settings({lookup, later}, 1));
  while (site.Metric("svc_config_reloads") != 1) usleep(5'000);
  CHECK(site.Metric("svc_completed{lane=\"later\"}") == 0);
  client.Send(write);
  site.Grant();
  Peer second = site.upstream(0).Accept();
  CHECK(second.Command().at(2) == "new");

  site.Reload(settings({later}, 1));
  while (site.Metric("svc_config_reloads") != 2) usleep(5'000);
  Peer third = site.Client();
  third.Send(Read("gone"));
  CHECK(third.Line() == "-ERR unknown class\r\n");
  second.Send("-ERR failed\r\n");  // The attempt may have run, and the request's class allows no retry.
  CHECK(client.Line() == "-ERR failed\r\n");
  // The request is retried, since the settings that it was admitted under allow two attempts.
  old.upstream.Send("-ERR failed\r\n");
  CHECK(second.Command().at(2) == "old");  // The retry uses the connection that is free.
  second.Send(kValue);
  CHECK(old.client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(site.Metric("svc_completed{lane=\"lookup\"}") == 1);  // The metrics of a removed class stay.
}

TEST_CASE(
    "given an upgrade with two processes on one socket, each request gets one response and none is cut off") {
  Port shared(64);
  const int second_ops = FreePortNumber();
  // With the broadcast of usage enabled, both processes bind one address for datagrams, too.
  const json peers = {{"peer_listen", "127.0.0.1:" + std::to_string(FreePortNumber())},
                      {"peers", {"127.0.0.1:1", "127.0.0.1:2"}},
                      {"settings", {{"Limits", {{"MayTell", true}}}}},
                      {"ops", true}};
  Site site(1, peers, false, "demand { tell = true }", &shared);
  site.Start(1);
  Peer idle = site.Client();
  CHECK(Site::Ping(idle) == "+PONG\r\n");
  Site::InFlightRequest busy = site.StartRequest("a");
  Peer slow = site.Client();  // This client writes its command slowly.
  const std::string command = Read("s");
  slow.Send(command.substr(0, 50));

  const pid_t first = site.SwitchProcess(site.Spawn({"ROUTER_OPS=127.0.0.1:" + std::to_string(second_ops)}));
  Peer watch = site.discovery().Accept();  // The second process polls discovery on this connection.
  watch.Until("\r\n\r\n");
  Site::Publish(watch, Site::List(true, site.Entries(0, 1, "Ready")));
  Peer calls = site.counter().Accept();
  while (!IsOk(Site::CallAdmin(second_ops, "GET /v1/readyz"))) usleep(10'000);
  CHECK(IsOk(site.CallAdmin("GET /v1/readyz")));  // Both processes serve for a while.

  kill(first, SIGTERM);
  CHECK(idle.Ended());
  Peer fresh = site.Client();  // Only the second process accepts now.
  fresh.Send(Read("b"));
  calls.Command();
  calls.Send("$1\r\n1\r\n");
  Peer other = site.upstream(0).Accept();
  CHECK(other.Command().at(2) == "b");
  other.Send(kValue);
  CHECK(fresh.Until("hi\r\n") == "$2\r\nhi\r\n");
  // The command began before the shutdown and ends after it: the first process handles it.
  slow.Send(command.substr(50));
  site.Grant();
  Peer third = site.upstream(0).Accept();
  CHECK(third.Command().at(2) == "s");
  third.Send(kValue);
  CHECK(slow.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(slow.Ended());
  busy.Serve();
  CHECK(busy.client.Ended());
  for (Peer* peer : {&idle, &busy.client, &slow}) peer->Close();
  int status = -1;
  REQUIRE(waitpid(first, &status, 0) == first);
  CHECK(status == 0);
  CHECK(Site::Ping(fresh) == "+PONG\r\n");  // The shared socket and its clients outlive the first process.
  CHECK(site.Ping() == "+PONG\r\n");
}

TEST_CASE("given two datagram sockets bound to one address, the one bound last receives") {
  const auto bound = [](sockaddr_in address) {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return fd;
  };
  const sockaddr_in address = Loopback(FreePortNumber());
  const Socket first(bound(address));
  const Socket second(bound(address));
  const Socket sender(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  for (int i = 0; i < 50; ++i) {
    REQUIRE(sendto(sender.fd(), "x", 1, 0, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 1);
  }
  char byte = 0;
  for (int i = 0; i < 50; ++i) CHECK(recv(second.fd(), &byte, 1, 0) == 1);
  CHECK(recv(first.fd(), &byte, 1, 0) < 0);
}

}  // namespace
}  // namespace postspread
