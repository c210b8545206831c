// What was allowed when an attempt was decided and no longer is when its first byte would leave: the dial
// takes a second, and something happens meanwhile.
#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;

std::string Write(std::string_view id) {
  return Command({"API.WRITE", "0000000000000001", id,
                  "c=change,t=team,d=60000,k=00000000000000aa,units=1,spread=2,first=0", "x"});
}

// A site whose one class is keyed over all upstreams, for so many microseconds, beside a second, slow next
// hop.
struct Late {
  explicit Late(std::int64_t window)
      : site(1, {{"settings",
                  {{"Classes",
                    {{{"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}},
                     {{"Name", "change"},
                      {"Aim", 60'000'000},
                      {"HardLimit", 60'000'000},
                      {"Effect", "keyed"},
                      {"DedupScope", "all"},
                      {"KeyTtl", window}}}}}}}) {
    site.Start(1);
  }
  // The list gets the slow upstream in the place of the first, which ends nothing that is under way there.
  void TurnToSlow() {
    json entries = site.Entries(0, 1, "Terminating");
    entries.push_back({{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}});
    site.Tell(Site::List(false, entries));
    site.watch().Until("\r\n\r\n");  // the next call: the list is in force
  }
  Site site;
  SlowPort slow;
};

TEST_CASE("a repeat whose dial outlasts the window of its key is not sent") {
  // Over when the dial comes up, a second on; over by the time that the way there may take as long; and open,
  // where it is sent: the look can tell.
  const std::int64_t window = GENERATE(700'000, 1'600'000, 30'000'000);
  const bool lasts = window == 30'000'000;
  Late late(window);
  Peer client = late.site.Client();
  client.Send(Write("one"));
  late.site.Grant();
  Peer upstream = late.site.upstream(0).Accept();
  CHECK(upstream.Command().at(0) == "API.WRITE");  // has come whole: it may have run
  late.TurnToSlow();
  upstream.Reset();
  late.slow.Dialled();
  late.slow.Open();
  Peer second = late.slow.port().Accept();
  if (lasts) {
    CHECK(second.Command().at(2) == "one");
    second.Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  } else {
    CHECK(second.Ended());
    // Within its window it might have been repeated anywhere: refused, not failed.
    CHECK(client.Line().substr(0, 5) == "-BUSY");
  }
}

TEST_CASE("what waited for a dial tells the time that is left when it is sent, not when it was decided") {
  Site site(0, NoQuota());
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  slow.Dialled();
  slow.Open();
  Peer upstream = slow.port().Accept();
  const std::string extras = upstream.Command().at(3);
  const std::size_t at = extras.find(",d=");
  REQUIRE(at != std::string::npos);
  // The dial takes a second, of the 60 that the client waits.
  CHECK(std::stoi(extras.substr(at + 3)) <= 59'150);
}

TEST_CASE(
    "what waits for a dial is not sent once its client has gone, whether or not attempts may be cancelled") {
  const bool cancels = GENERATE(true, false);
  Site site(0, {{"settings", {{"Limits", {{"Cancelling", cancels}}}}}});
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  slow.Dialled();
  client.Close();
  Peer other = site.Client();  // answered behind the close
  CHECK(Site::Ping(other) == "+PONG\r\n");
  slow.Open();
  other.Send(Read("two"));
  site.Grant();
  // The first request's dial, where it goes on, comes up as well, and ends with nothing sent.
  std::string sent;
  std::vector<Peer> upstreams;  // kept: a request on one that closed would be sent again
  while (upstreams.size() < (cancels ? 1 : 2)) {
    upstreams.push_back(slow.port().Accept());
    sent += upstreams.back().Some(4096);
  }
  CHECK(sent.find("one") == std::string::npos);
  CHECK(sent.find("two") != std::string::npos);
}

TEST_CASE("what waits for a dial is not sent to a next hop that has been said to drain") {
  Site site(0);
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  slow.Dialled();
  Port other;
  site.Tell(Site::List(false, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Terminating"}},
                               {{"name", "s-1"}, {"address", other.address()}, {"status", "Ready"}}}));
  CHECK(other.Accept().Command().at(2) == "one");
}

TEST_CASE("a name that comes back elsewhere, or anew, gets nothing over a connection to what it was") {
  const bool moved = GENERATE(true, false);
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  Peer old = site.upstream(0).Accept();
  old.Command();
  Port other;
  const Port& place = moved ? other : site.upstream(0);
  site.Tell(Site::List(false, {{{"name", "s-0"},
                                {"address", place.address()},
                                {"since_ms", moved ? 0 : 1'700'000'000'000},
                                {"status", "Ready"}}}));
  site.watch().Until("\r\n\r\n");  // the next call: the list is in force
  old.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");  // what was under way ends as it would
  client.Send(Read("two"));
  Peer now = (moved ? other : site.upstream(0)).Accept();
  CHECK(now.Command().at(2) == "two");
  CHECK(old.Ended());
}

TEST_CASE("what waits for a dial to a place that its next hop has left goes to the new place") {
  json changes = NoQuota();
  // No second copy of it goes anywhere: what is sent is the one that waited.
  changes["settings"]["Classes"] = {
      {{"Name", "change"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}}};
  Site site(0, changes);
  SlowPort slow;
  site.Start(0, {{{"name", "s-0"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Command(
      {"API.WRITE", "0000000000000001", "one", "c=change,t=team,d=60000,units=1,spread=2,first=0", "x"}));
  slow.Dialled();
  Port other;
  site.Tell(Site::List(false, {{{"name", "s-0"}, {"address", other.address()}, {"status", "Ready"}}}));
  CHECK(other.Accept().Command().at(2) == "one");
  slow.Left();
}

TEST_CASE(
    "where next hops are seen to answer twice, a second answer that is late is never the next request's") {
  const bool behind = GENERATE(true, false);  // the first second answer: with its answer, or on its own
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("zero"));
  Peer first = site.upstream(0).Accept();
  first.Command();
  first.Send(behind ? std::string(kValue) + kValue : std::string(kValue));
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  if (!behind) first.Send(kValue);
  CHECK(first.Ended());
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  // The answer and the next request meet: that one is read as soon as the connection is free.
  site.Pause();
  upstream.Send(kValue);
  client.Send(Read("two"));
  site.Resume();
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  Peer second = site.upstream(0).Accept();
  CHECK(second.Command().at(2) == "two");
  upstream.Send(kValue);
  CHECK(upstream.Ended());
  second.Send("*3\r\n$2\r\nno\r\n$-1\r\n$-1\r\n");
  CHECK(client.Until("no\r\n") == "$2\r\nno\r\n");
}

// Two upstreams and a class that must not run twice.
struct Once {
  explicit Once(json changes = json::object()) : site(2, Merged(std::move(changes))) {}
  static json Merged(const json& changes) {
    json out = NoQuota();
    out["settings"]["Classes"] = {
        {{"Name", "change"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}}};
    out.merge_patch(changes);
    return out;
  }
  static std::string Ask() {
    return Command(
        {"API.WRITE", "0000000000000001", "one", "c=change,t=team,d=60000,units=1,spread=2,first=0", "x"});
  }
  Site site;
};

TEST_CASE("what may have run once is never sent again: half a refusal, or a reset behind the last byte") {
  const bool half = GENERATE(true, false);
  Once once;
  once.site.Start(2);
  Peer client = once.site.Client();
  client.Send(Once::Ask());
  const int picked = once.site.Dialled();
  Peer upstream = once.site.upstream(picked).Accept();
  if (half) {
    upstream.Command();
    upstream.Send("-BUS");
  } else {
    CHECK(upstream.HasMore(kTimeoutMs));  // all of it is in the machine's hands, and read by nobody
  }
  upstream.Reset();
  CHECK(client.Line() == "-ERR failed\r\n");
  CHECK_FALSE(once.site.upstream(0).Asked());
  CHECK_FALSE(once.site.upstream(1).Asked());
}

TEST_CASE("a dial that comes up in the turn in which its time is over is one attempt, here or elsewhere") {
  Once once(json{{"settings", {{"Limits", {{"DialTimeout", 500'000}}}}}});
  SlowPort slow;
  once.site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = once.site.Client();
  client.Send(Once::Ask());
  slow.Dialled();
  once.site.Tell(Site::List(false, once.site.Entries(0, 1, "Ready")));
  once.site.watch().Until("\r\n\r\n");
  once.site.Pause();
  slow.Open();
  Peer late = slow.port().Accept();  // a second after the dial: its time and its success wait together
  once.site.Resume();
  if (late.Some(4096).empty()) {
    Peer upstream = once.site.upstream(0).Accept();
    CHECK(upstream.Command().at(2) == "one");
    upstream.Send(kValue);
  } else {
    late.Send(kValue);
    CHECK_FALSE(once.site.upstream(0).Asked());
  }
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("a list that ends several attempts of one next hop, and moves another, ends each of them once") {
  Site site(0, NoQuota());
  SlowPort drains, moves;
  const auto listed = [&](const char* status, const std::string& place) {
    return json{{{"name", "s-drains"}, {"address", drains.address()}, {"status", status}},
                {{"name", "s-moves"}, {"address", place}, {"status", "Ready"}}};
  };
  site.Start(0, listed("Ready", moves.address()));
  Peer client = site.Client();
  std::string all;
  for (int i = 0; i < 24; ++i) all += Read("r" + std::to_string(i));
  client.Send(all);
  drains.Dialled(2);
  moves.Dialled(2);
  Port other;
  site.Tell(Site::List(false, listed("Gone", other.address())));
  std::vector<Peer> upstreams;
  for (int i = 0; i < 24; ++i) {
    upstreams.push_back(other.Accept());
    upstreams.back().Command();
  }
  CHECK_FALSE(other.Asked());
  drains.Left();
  moves.Left();
  for (Peer& upstream : upstreams) upstream.Send(kValue);
  for (int i = 0; i < 24; ++i) CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

}  // namespace
}  // namespace postspread
