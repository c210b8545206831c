// Tests of the gateway program as a process among scripted partners. Each test plays discovery, the counter,
// the upstreams and a client step by step, and synchronizes on events instead of delays.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

TEST_CASE(
    "an admitted request is forwarded unchanged except for its remaining time d, and the client gets the "
    "value alone") {
  Site site(1, {{"settings", {{"Limits", {{"MostTries", 1}}}}}});
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  const auto command = upstream.Command();
  REQUIRE(command.size() == 4);
  CHECK(command[0] == "API.READ");
  CHECK(command[2] == "one");
  const std::string before = "c=lookup,t=team,d=", after = ",units=1,spread=2,first=0";
  CHECK(command[3].find(before) == 0);
  CHECK(command[3].substr(command[3].size() - after.size()) == after);
  const int d = std::stoi(command[3].substr(before.size()));
  CHECK(d > 0);
  CHECK(d <= 60'000);
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");

  SECTION("the connection to the upstream is reused") {
    client.Send(Read("two"));
    site.Grant();
    CHECK(upstream.Command().at(2) == "two");
    upstream.Send("-BUSY\r\n");  // not executed, and there is no other upstream: the request is rejected
    CHECK(client.Line() == "-BUSY\r\n");
    CHECK_FALSE(site.upstream(0).HasPendingConnection());
  }
  SECTION("when the client disconnects, then its attempt is cancelled") {
    client.Send(Read("two"));
    site.Grant();
    upstream.Command();
    client.Close();
    CHECK(upstream.Ended());
  }
  SECTION("after SIGTERM the request in flight is answered, then the process exits with 0") {
    client.Send(Read("two"));
    site.Grant();
    upstream.Command();
    site.Terminate();
    while (!site.RefusesConnections()) usleep(10'000);  // serves for a while, then closes its listener
    client.Send(Read("three"));  // stays unread, and its client can retry at another gateway
    upstream.Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(client.Ended());
    client.Close();
    CHECK(site.Wait() == 0);
  }
}

TEST_CASE(
    "when a response reports the actual units, then the difference is settled once, in the next call to the "
    "counter") {
  const bool settles = GENERATE(true, false);
  Site site(1, {{"ops", ""},
                {"settings",
                 {{"Domain", {{"CostAfter", settles}, {"MeterPeriod", settles ? 1'000'000 : 0}}},
                  {"Limits", {{"MostTries", 1}}}}}});
  site.Start(1);
  Peer client = site.Client();
  std::optional<Peer> upstream;
  // Sends a request whose upstream replies with `reply`. Returns the amount that the gateway adds at the
  // counter.
  const auto send_request = [&](std::string_view id, const std::string& reply) {
    client.Send(Read(id));
    const double amount = site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    upstream->Command();
    upstream->Send(reply);
    client.Line();
    if (reply[0] == '*') client.Line();
    return amount;
  };
  const std::string value = "*3\r\n$2\r\nhi\r\n", none = "$-1\r\n";
  CHECK(send_request("one", value + "$6\r\ncost=4\r\n" + none) == 1);
  // The amount includes 3 more units for the first request.
  CHECK(send_request("two", value + "$6\r\ncost=x\r\n" + none) == (settles ? 4 : 1));
  CHECK(send_request("three", value + "$7\r\ncost=99\r\n" + none) == 1);
  CHECK(send_request("four", "-ERR failed used=120,cost=y util=0.5\r\n") == 1);
  CHECK(site.Metric("svc_odd_use") == 2);
  CHECK(site.Metric("svc_over_quota_answers") == (settles ? 1 : 0));
}

TEST_CASE(
    "when the settings allow no datagrams and no probes, then upstreams receive requests only and no port is "
    "bound") {
  int number = 0;
  const auto bind_peer = [&number] {
    Socket out(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    sockaddr_in address = Loopback(number);
    socklen_t size = sizeof address;
    REQUIRE(bind(out.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    getsockname(out.fd(), reinterpret_cast<sockaddr*>(&address), &size);
    number = ntohs(address.sin_port);
    return out;
  };
  bind_peer();  // selects a free port
  const std::string peer = "127.0.0.1:" + std::to_string(number);
  const bool may_send = GENERATE(false, true);  // true shows that the check detects a bound port
  Site site(1,
            {{"peer_listen", peer},
             {"peers", {peer, "127.0.0.1:9"}},
             {"settings", {{"Limits", {{"MayTell", may_send}}}, {"Domain", {{"MailPerS", 40}}}}}},
            false, "demand { tell = true }");
  site.Start(1);
  site.StartRequest("one").Serve();
  CHECK_FALSE(site.upstream(0).HasPendingConnection());
  if (may_send) {
    Socket other(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Loopback(number);
    CHECK(bind(other.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0);
  } else {
    bind_peer();
  }
}

TEST_CASE("responses keep the order of their commands, whichever reply arrives first") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  const std::string both = Read("one") + Read("two") + Command({"PING"});
  client.Send(both.substr(0, 50));
  client.Send(both.substr(50));
  site.Grant();
  site.Grant();
  Peer first = site.upstream(0).Accept();
  Peer second = site.upstream(0).Accept();
  const bool swapped = first.Command().at(2) == "two";
  second.Command();  // a reply that arrives before its request was sent would be discarded
  if (swapped) std::swap(first, second);
  second.Send("*3\r\n$2\r\nno\r\n$-1\r\n$-1\r\n");
  Peer other = site.Client();  // its response shows that the second reply has been processed
  other.Send(Command({"PING"}));
  other.Line();
  CHECK_FALSE(client.HasMore());
  first.Send(kValue);
  CHECK(client.Until("+PONG\r\n") == "$2\r\nhi\r\n$2\r\nno\r\n+PONG\r\n");
}

TEST_CASE("a malformed command is answered with an error and never forwarded") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Command({"API.READ", "0000000200000000", "1", "c=lookup,t=team,d=9,units=1,spread=1,first=0"}));
  CHECK(client.Line() == "-ERR bad customer\r\n");
  client.Send(Command({"FLUSHALL"}) + Command({"PING", "echo"}));
  CHECK(client.Line() == "-ERR unknown command\r\n");
  CHECK(client.Until("echo\r\n") == "$4\r\necho\r\n");
  client.Send("*2\r\n$4\r\nPING\r\n$70000\r\nxxxx");
  CHECK(client.Line() == "-ERR Protocol error: argument too long\r\n");
  CHECK(client.Ended());
  Peer next = site.Client();
  next.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(next.Line().find("-ERR Protocol error") == 0);
  CHECK(next.Ended());
  CHECK_FALSE(site.counter_connection().HasMore());
  CHECK_FALSE(site.upstream(0).HasPendingConnection());
}

TEST_CASE("when an upstream refuses connections, then its requests are forwarded to the other upstream") {
  Site site(2);
  site.Start(2);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  const int selected = site.AwaitDialedUpstream();
  Peer upstream = site.upstream(selected).Accept();
  upstream.Command();
  site.upstream(selected).Close();  // further connects are refused
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  upstream.Close();
  std::optional<Peer> other;
  for (int i = 0; i < 4; ++i) {  // whichever upstream is selected, the other one serves
    client.Send(Read("more"));
    site.Grant();
    if (!other) other.emplace(site.upstream(1 - selected).Accept());
    other->Command();
    other->Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  }
}

TEST_CASE(
    "when an upstream drains, then a request that has not been written to it is forwarded to another "
    "upstream") {
  // The backlog is full, so connections are never established, as with a machine that vanished.
  Port full(0);
  Site site(1, {{"known",
                 Site::List(true, {{{"name", "s-9"}, {"address", full.address()}, {"status", "Ready"}}})}});
  std::vector<Peer> backlog;
  backlog.push_back(Connect(full.number()));
  Peer watch = site.discovery().Accept();
  watch.Until("\r\n\r\n");
  Peer calls = site.counter().Accept();
  Peer client = site.Client();
  client.Send(Read("one"));  // routed by the cached endpoint list
  calls.Command();
  calls.Send("$1\r\n1\r\n");
  client.Send(Command({"PING"}));
  json entries = site.Entries(0, 1, "Ready");
  entries.push_back({{"name", "s-9"}, {"address", full.address()}, {"status", "Terminating"}});
  const std::string body = Site::List(true, entries).dump();
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "one");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE(
    "when the counter does not reply, then requests are admitted after its timeout and late replies match "
    "their calls") {
  Site site(1, {{"settings", {{"Domain", {{"CountLimit", 30'000}}}}}});
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.counter_connection().Command();  // no reply: the request is admitted by the local slice
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "one");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  site.counter_connection().Send("$1\r\n1\r\n");  // a late total is valid, so the connection stays open
  client.Send(Read("two"));
  CHECK(upstream.Command().at(2) == "two");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  if (site.counter_connection().HasMore())
    CHECK(site.counter_connection().Command().at(0) == "CNT.ADD");  // not closed
}

TEST_CASE(
    "when a reply of the counter has no total, then its connection is closed and the next call uses a new "
    "one") {
  const auto reply = GENERATE("+OK\r\n", "$3\r\nabc\r\n", "$90\r\n", "*2\r\n", "~", "-NOISE\r\n", "$-1\r\n");
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.counter_connection().Command();
  client.Send(Read("two"));  // pipelined after the first, and lost with the connection
  site.counter_connection().Command();
  site.counter_connection().Send(reply);
  Peer first = site.upstream(0).Accept();  // both are admitted by the local slice
  Peer second = site.upstream(0).Accept();
  first.Command();
  second.Command();
  first.Send(kValue);
  second.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(site.counter_connection().Ended());
  Peer again = site.counter().Accept();
  site.WaitForLog("counter connection is up again");
  client.Send(Read("three"));
  CHECK(again.Command().at(0) == "CNT.ADD");
}

TEST_CASE(
    "when an upstream's reply is malformed or stalls before its end, then the request is retried on a new "
    "connection") {
  const auto reply = GENERATE("*3\r\n$5\r\nab", "~", "-NOISE\r\n", "*3\r\n$3000000000\r\nab", "$2\r\nhi\r\n");
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  upstream.Send(reply);
  CHECK(upstream.Ended());
  Peer again = site.upstream(0).Accept();
  CHECK(again.Command().at(2) == "one");
  // Malformed usage values and load reports are ignored.
  again.Send("*3\r\n$2\r\nhi\r\n-what\r\n$12\r\nutil=,=,9e99\r\n");
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("bytes that an upstream sends unsolicited are never taken for the response to the next request") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  client.Send(Read("two"));
  site.counter_connection().Command();
  site.Pause();  // so that the counter's reply is processed before the unsolicited bytes
  site.counter_connection().Send("$1\r\n2\r\n");
  upstream.Send("*3\r\n$2\r\nno\r\n$-1\r\n$-1\r\n");
  site.Resume();
  Peer fresh = site.upstream(0).Accept();
  CHECK(fresh.Command().at(2) == "two");
  fresh.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE(
    "a request with the id of an open request is rejected, and the id is free again after the response") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client(), other = site.Client();
  client.Send(Read("one"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  other.Send(Read("one"));
  CHECK(other.Line() == "-ERR a request with this id is open\r\n");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  other.Send(Read("one"));
  CHECK(upstream.Command().at(2) == "one");
}

TEST_CASE("after the connection to the counter or to discovery is lost, the gateway reconnects") {
  Site site(1);
  site.Start(1);
  site.counter_connection().Close();
  Peer again = site.counter().Accept();
  site.watch().Close();
  Peer watch = site.discovery().Accept();
  CHECK(watch.Until("\r\n\r\n").find("GET /api/targets?since=41") == 0);
}

TEST_CASE(
    "after SIGHUP new addresses take effect, calls in flight complete, and an invalid file changes nothing") {
  Site site(1, json::object(), /*with_variables=*/true);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.counter_connection().Command();
  Port discovery, counter;
  site.Reload({{"discovery", discovery.address()}, {"counter", counter.address()}});
  site.WaitForLog("configuration reloaded: discovery " + discovery.address());
  Peer watch = discovery.Accept();
  CHECK(watch.Until("\r\n\r\n").find("GET /api/targets HTTP/1.1\r\n") == 0);
  CHECK(site.watch().Ended());
  Peer calls = counter.Accept();
  site.counter_connection().Send("$1\r\n1\r\n");  // the call in flight still gets its reply
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(site.counter_connection().Ended());
  client.Send(Read("two"));
  CHECK(calls.Command().at(0) == "CNT.ADD");
  calls.Send("$1\r\n2\r\n");
  upstream.Command();

  site.Reload({{"discovery", "nowhere"}, {"counter", site.counter().address()}});
  site.WaitForLog("the old one stays");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  client.Send(Read("three"));
  calls.Command();
  CHECK_FALSE(site.counter().HasPendingConnection());
  calls.Send("$1\r\n3\r\n");
  upstream.Command();
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  site.Terminate();
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("given an invalid configuration, the process exits with 2") {
  Site site(0, {{"discovery", "nowhere"}});
  CHECK(site.Wait() == 2);
}

}  // namespace
}  // namespace postspread
