// The real program as a process, among small scripted partners: each test plays discovery, the counter, the
// upstreams and a client by hand, and waits for events, never for time to pass.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

TEST_CASE("a request is granted, passed on as received but for d, and answered with the value alone") {
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

  SECTION("the connection to the next hop is used again") {
    client.Send(Read("two"));
    site.Grant();
    CHECK(upstream.Command().at(2) == "two");
    upstream.Send("-BUSY\r\n");  // never ran, and there is no other: refused
    CHECK(client.Line() == "-BUSY\r\n");
    CHECK_FALSE(site.upstream(0).Asked());
  }
  SECTION("a sender that goes away takes its attempt along") {
    client.Send(Read("two"));
    site.Grant();
    upstream.Command();
    client.Close();
    CHECK(upstream.Ended());
  }
  SECTION("SIGTERM: what was taken is answered, then it ends with 0") {
    client.Send(Read("two"));
    site.Grant();
    upstream.Command();
    site.Terminate();
    while (!site.Refuses()) usleep(10'000);  // serves on for a while, then listens no more
    client.Send(Read("three"));              // not read any more: left to be sent again elsewhere
    upstream.Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(client.Ended());
    client.Close();
    CHECK(site.Wait() == 0);
  }
}

TEST_CASE("true units that an answer tells are settled with the customer's next ask, once") {
  const bool settles = GENERATE(true, false);
  Site site(1, {{"ops", ""},
                {"settings",
                 {{"Domain", {{"CostAfter", settles}, {"MeterPeriod", settles ? 1'000'000 : 0}}},
                  {"Limits", {{"MostTries", 1}}}}}});
  site.Start(1);
  Peer client = site.Client();
  std::optional<Peer> upstream;
  // The amount that the next request is counted with, which the hop then answers with `figures`.
  const auto ask = [&](std::string_view id, const std::string& answer) {
    client.Send(Read(id));
    const double amount = site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    upstream->Command();
    upstream->Send(answer);
    client.Line();
    if (answer[0] == '*') client.Line();
    return amount;
  };
  const std::string value = "*3\r\n$2\r\nhi\r\n", none = "$-1\r\n";
  CHECK(ask("one", value + "$6\r\ncost=4\r\n" + none) == 1);
  CHECK(ask("two", value + "$6\r\ncost=x\r\n" + none) == (settles ? 4 : 1));  // and 3 more of the first
  CHECK(ask("three", value + "$7\r\ncost=99\r\n" + none) == 1);
  CHECK(ask("four", "-ERR failed used=120,cost=y util=0.5\r\n") == 1);
  CHECK(site.Metric("svc_odd_use") == 2);
  CHECK(site.Metric("svc_over_quota_answers") == (settles ? 1 : 0));
}

TEST_CASE(
    "where the settings allow no datagrams and no probes, nodes get requests alone and no port is bound") {
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
  bind_peer();  // a port that is free
  const std::string peer = "127.0.0.1:" + std::to_string(number);
  const bool may = GENERATE(false, true);  // the other way round it is bound: the look can tell
  Site site(1,
            {{"peer_listen", peer},
             {"peers", {peer, "127.0.0.1:9"}},
             {"settings", {{"Limits", {{"MayTell", may}}}, {"Domain", {{"MailPerS", 40}}}}}},
            false, "demand { tell = true }");
  site.Start(1);
  site.Hold("one").Serve();
  CHECK_FALSE(site.upstream(0).Asked());
  if (may) {
    Socket other(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Loopback(number);
    CHECK(bind(other.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0);
  } else {
    bind_peer();
  }
}

TEST_CASE("answers keep the order of their commands, whichever comes first") {
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
  second.Command();  // what comes before it was sent is no answer to it
  if (swapped) std::swap(first, second);
  second.Send("*3\r\n$2\r\nno\r\n$-1\r\n$-1\r\n");
  Peer other = site.Client();  // the second answer has come once the program answers this
  other.Send(Command({"PING"}));
  other.Line();
  CHECK_FALSE(client.HasMore());
  first.Send(kValue);
  CHECK(client.Until("+PONG\r\n") == "$2\r\nhi\r\n$2\r\nno\r\n+PONG\r\n");
}

TEST_CASE("what is malformed is answered with an error and never passed on") {
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
  CHECK_FALSE(site.calls().HasMore());
  CHECK_FALSE(site.upstream(0).Asked());
}

TEST_CASE("a next hop that refuses never ran: the request goes to the other") {
  Site site(2);
  site.Start(2);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  const int picked = site.Dialled();
  Peer upstream = site.upstream(picked).Accept();
  upstream.Command();
  site.upstream(picked).Close();  // nothing listens there any more
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  upstream.Close();
  std::optional<Peer> other;
  for (int i = 0; i < 4; ++i) {  // whichever is chosen, the other serves
    client.Send(Read("more"));
    site.Grant();
    if (!other) other.emplace(site.upstream(1 - picked).Accept());
    other->Command();
    other->Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  }
}

TEST_CASE("a next hop that is said to drain gets nothing that has not been written to it") {
  // A full backlog: connections to it never come up, as to a machine that vanished.
  Port full(0);
  Site site(1, {{"known",
                 Site::List(true, {{{"name", "s-9"}, {"address", full.address()}, {"status", "Ready"}}})}});
  std::vector<Peer> crowd;
  crowd.push_back(Connect(full.number()));
  Peer watch = site.discovery().Accept();
  watch.Until("\r\n\r\n");
  Peer calls = site.counter().Accept();
  Peer client = site.Client();
  client.Send(Read("one"));  // goes by the remembered list
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

TEST_CASE("a counter that says nothing delays a request, and its late answers find their calls") {
  Site site(1, {{"settings", {{"Domain", {{"CountLimit", 30'000}}}}}});
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.calls().Command();  // no answer: let in by the local slice
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "one");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  site.calls().Send("$1\r\n1\r\n");  // a late total is a total: the connection stays
  client.Send(Read("two"));
  CHECK(upstream.Command().at(2) == "two");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  if (site.calls().HasMore()) CHECK(site.calls().Command().at(0) == "CNT.ADD");  // and not its end
}

TEST_CASE("an answer of the counter without a number ends its connection, and the next call has another") {
  const auto answer = GENERATE("+OK\r\n", "$3\r\nabc\r\n", "$90\r\n", "*2\r\n", "~", "-NOISE\r\n", "$-1\r\n");
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.calls().Command();
  client.Send(Read("two"));  // behind it: goes with the connection
  site.calls().Command();
  site.calls().Send(answer);
  Peer first = site.upstream(0).Accept();  // both are let in by the local slice
  Peer second = site.upstream(0).Accept();
  first.Command();
  second.Command();
  first.Send(kValue);
  second.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(site.calls().Ended());
  Peer again = site.counter().Accept();
  site.Logged("counter connection is up again");
  client.Send(Read("three"));
  CHECK(again.Command().at(0) == "CNT.ADD");
}

TEST_CASE(
    "an answer that can't be read costs its attempt only, and one that stops halfway does not hold it up") {
  const auto answer =
      GENERATE("*3\r\n$5\r\nab", "~", "-NOISE\r\n", "*3\r\n$3000000000\r\nab", "$2\r\nhi\r\n");
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  upstream.Send(answer);
  CHECK(upstream.Ended());
  Peer again = site.upstream(0).Accept();
  CHECK(again.Command().at(2) == "one");
  again.Send(
      "*3\r\n$2\r\nhi\r\n-what\r\n$12\r\nutil=,=,9e99\r\n");  // unreadable figures cost themselves only
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("what a next hop sends unasked is never the next request's answer") {
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
  site.calls().Command();
  site.Pause();  // so that the grant is seen before the surplus is read
  site.calls().Send("$1\r\n2\r\n");
  upstream.Send("*3\r\n$2\r\nno\r\n$-1\r\n$-1\r\n");
  site.Resume();
  Peer fresh = site.upstream(0).Accept();
  CHECK(fresh.Command().at(2) == "two");
  fresh.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("an id that is open already is an error, and free again after its answer") {
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

TEST_CASE("where connections are full the longest unused goes, not the one that has just come") {
  Site site(1, {{"limits", {{"sockets", 32}}}});  // 8 of them for clients
  site.Start(1);
  std::vector<Peer> idle;
  std::optional<Peer> upstream;
  for (int i = 0; i < 8; ++i) {
    idle.push_back(site.Client());
    idle.back().Send(Read("one"));
    site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    upstream->Command();
    upstream->Send(kValue);
    idle.back().Until("hi\r\n");
  }
  Peer first = site.Client(), second = site.Client();
  second.Send(Command({"PING"}));  // both are accepted by now
  CHECK(second.Line() == "+PONG\r\n");
  first.Send(Command({"PING"}));
  CHECK(first.Line() == "+PONG\r\n");
  CHECK(idle[0].Ended());
  CHECK(idle[1].Ended());
  CHECK_FALSE(idle[7].HasMore());
}

TEST_CASE("near the clients' share of the descriptors only the longest unused connections are closed early") {
  Site site(1, {{"limits", {{"sockets", 32}}}});  // 8 for clients, 4 of them may stay
  site.Start(1);
  std::vector<Peer> clients;
  std::optional<Peer> upstream;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(site.Client());
    clients.back().Send(Read("one"));
    site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    upstream->Command();
    upstream->Send(kValue);
    clients.back().Until("hi\r\n");
  }
  CHECK(clients[0].Ended());
  CHECK(clients[1].Ended());
  CHECK_FALSE(clients[5].HasMore());
}

TEST_CASE("where connections are many, one that has nothing to ask any more is closed, and only then") {
  const int sockets = GENERATE(32, 1024);
  Site site(1, {{"limits", {{"sockets", sockets}}}});
  site.Start(1);
  std::vector<Peer> clients;
  std::optional<Peer> upstream;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(site.Client());
    clients.back().Send(Read("one"));
    site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    upstream->Command();
    upstream->Send(kValue);
    clients.back().Until("hi\r\n");
  }
  if (sockets == 32) {
    CHECK(clients[0].Ended());
  } else {
    Peer silent = site.Client();
    CHECK(silent.Ended());  // later than the clients above stand still
    CHECK_FALSE(clients[0].HasMore());
  }
}

TEST_CASE("clients that stand still are told, or closed") {
  Site site(1);
  site.Start(1);
  Peer silent = site.Client(), half = site.Client(), mixed = site.Client();
  half.Send("*4\r\n$8\r\nAPI.");
  mixed.Send(Read("one") + "noise\r\n");  // the error stands behind an answer that does not come
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

TEST_CASE("lost partners are dialled again") {
  Site site(1);
  site.Start(1);
  site.calls().Close();
  Peer again = site.counter().Accept();
  site.watch().Close();
  Peer watch = site.discovery().Accept();
  CHECK(watch.Until("\r\n\r\n").find("GET /api/targets?since=41") == 0);
}

TEST_CASE("SIGHUP: the file's new addresses hold, what is under way goes on, a wrong file changes nothing") {
  Site site(1, json::object(), /*with_variables=*/true);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  site.calls().Command();
  Port discovery, counter;
  site.Reload({{"discovery", discovery.address()}, {"counter", counter.address()}});
  site.Logged("configuration reloaded: discovery " + discovery.address());
  Peer watch = discovery.Accept();
  CHECK(watch.Until("\r\n\r\n").find("GET /api/targets HTTP/1.1\r\n") == 0);
  CHECK(site.watch().Ended());
  Peer calls = counter.Accept();
  site.calls().Send("$1\r\n1\r\n");  // the call under way still finds its answer
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(site.calls().Ended());
  client.Send(Read("two"));
  CHECK(calls.Command().at(0) == "CNT.ADD");
  calls.Send("$1\r\n2\r\n");
  upstream.Command();

  site.Reload({{"discovery", "nowhere"}, {"counter", site.counter().address()}});
  site.Logged("the old one stays");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  client.Send(Read("three"));
  calls.Command();
  CHECK_FALSE(site.counter().Asked());
  calls.Send("$1\r\n3\r\n");
  upstream.Command();
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  site.Terminate();
  client.Close();
  CHECK(site.Wait() == 0);
}

TEST_CASE("a wrong configuration ends the program with 2") {
  Site site(0, {{"discovery", "nowhere"}});
  CHECK(site.Wait() == 2);
}

}  // namespace
}  // namespace postspread
