// Attempts at upstreams. In several tests a connect takes a second while the conditions change: an attempt
// that was allowed when it was decided must not be sent if a rule forbids it by then. Others send
// responses that can't be used.
#include "partners/slow_port.h"

namespace postspread {
namespace {

using namespace site;

std::string Write(std::string_view id) {
  return Command({"API.WRITE", "0000000000000001", id,
                  "c=change,t=team,d=60000,k=00000000000000aa,units=1,spread=2,first=0", "x"});
}

// A site with a class whose idempotency keys are valid at all upstreams for `window_us`, and a second
// upstream whose connect takes a second.
struct SlowSecondUpstream {
  explicit SlowSecondUpstream(std::int64_t window_us)
      : site(1, {{"settings",
                  {{"Classes",
                    {{{"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}},
                     {{"Name", "change"},
                      {"Aim", 60'000'000},
                      {"HardLimit", 60'000'000},
                      {"Effect", "keyed"},
                      {"DedupScope", "all"},
                      {"KeyTtl", window_us}}}}}}}) {
    site.Start(1);
  }
  // Replaces the first upstream by the slow one in the endpoint list. Requests in flight at the first
  // continue.
  void ReplaceBySlow() {
    json entries = site.Entries(0, 1, "Terminating");
    entries.push_back({{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}});
    site.Publish(Site::List(false, entries));
    site.watch().Until("\r\n\r\n");  // the next poll shows that the list is applied
  }
  Site site;
  SlowPort slow;
};

TEST_CASE("a retry is not sent if its idempotency key expires during the connect") {
  // Three cases: the window is over when the connection is established a second later, it ends within the
  // first byte's delay, or it is still open, so that the retry is sent.
  const std::int64_t window_us = GENERATE(700'000, 1'600'000, 30'000'000);
  const bool is_open = window_us == 30'000'000;
  SlowSecondUpstream fixture(window_us);
  Peer client = fixture.site.Client();
  client.Send(Write("one"));
  fixture.site.Grant();
  Peer upstream = fixture.site.upstream(0).Accept();
  CHECK(upstream.Command().at(0) == "API.WRITE");  // received in full, so it may have been executed
  fixture.ReplaceBySlow();
  upstream.Reset();
  fixture.slow.AwaitConnects();
  fixture.slow.Open();
  Peer second = fixture.slow.port().Accept();
  if (is_open) {
    CHECK(second.Command().at(2) == "one");
    second.Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  } else {
    CHECK(second.Ended());
    // The client may retry with the same key, so the request is rejected instead of failed.
    CHECK(client.Line().substr(0, 5) == "-BUSY");
  }
}

TEST_CASE("a request that waited for a connection is sent with its remaining time") {
  Site site(0, NoQuota());
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  slow.AwaitConnects();
  slow.Open();
  Peer upstream = slow.port().Accept();
  const std::string extras = upstream.Command().at(3);
  const std::size_t at = extras.find(",d=");
  REQUIRE(at != std::string::npos);
  // The connect takes one of the 60 seconds that the client waits.
  CHECK(std::stoi(extras.substr(at + 3)) <= 59'150);
}

TEST_CASE(
    "when a client disconnects while its request waits for a connection, then the request is not sent, "
    "whether cancelling is enabled or not") {
  const bool can_cancel = GENERATE(true, false);
  Site site(0, {{"settings", {{"Limits", {{"Cancelling", can_cancel}}}}}});
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  slow.AwaitConnects();
  client.Close();
  Peer other = site.Client();  // its response shows that the close has been processed
  CHECK(Site::Ping(other) == "+PONG\r\n");
  slow.Open();
  other.Send(Read("two"));
  site.Grant();
  // Without cancelling, the first request's connection is established too, and closes with nothing sent.
  std::string sent;
  std::vector<Peer> upstreams;  // kept open, since a request on a closed one would be retried
  while (upstreams.size() < (can_cancel ? 1 : 2)) {
    upstreams.push_back(slow.port().Accept());
    sent += upstreams.back().ReadSome(4096);
  }
  CHECK(sent.find("one") == std::string::npos);
  CHECK(sent.find("two") != std::string::npos);
}

TEST_CASE(
    "when an upstream drains while a request waits for a connection to it, then another upstream gets the "
    "request") {
  Site site(0);
  SlowPort slow;
  site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Read("one"));
  site.Grant();
  slow.AwaitConnects();
  Port other;
  site.Publish(
      Site::List(false, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Terminating"}},
                         {{"name", "s-1"}, {"address", other.address()}, {"status", "Ready"}}}));
  CHECK(other.Accept().Command().at(2) == "one");
}

TEST_CASE("when an upstream has moved or restarted, then no new request is sent to its former process") {
  const std::string_view changed = GENERATE("address", "since_ms", "group", "zone");
  INFO(changed);
  const bool has_moved = changed == "address";
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("one"));
  Peer old = site.upstream(0).Accept();
  old.Command();
  Port other;
  const Port& published = has_moved ? other : site.upstream(0);
  site.Publish(Site::List(false, {{{"name", "s-0"},
                                   {"address", published.address()},
                                   {"since_ms", changed == "since_ms" ? 1'700'000'000'000 : 0},
                                   {"group", changed == "group" ? 1 : 0},
                                   {"zone", changed == "zone" ? "b" : ""},
                                   {"status", "Ready"}}}));
  site.watch().Until("\r\n\r\n");  // the next poll shows that the list is applied
  old.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");  // the request in flight completes
  client.Send(Read("two"));
  Peer current = (has_moved ? other : site.upstream(0)).Accept();
  CHECK(current.Command().at(2) == "two");
  CHECK(old.Ended());
}

TEST_CASE(
    "when an upstream moves while a request waits for a connection, then the request is sent to the new "
    "address") {
  json changes = NoQuota();
  // The class is never hedged, so the request that arrives is the one that waited.
  changes["settings"]["Classes"] = {
      {{"Name", "change"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}}};
  Site site(0, changes);
  SlowPort slow;
  site.Start(0, {{{"name", "s-0"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = site.Client();
  client.Send(Command(
      {"API.WRITE", "0000000000000001", "one", "c=change,t=team,d=60000,units=1,spread=2,first=0", "x"}));
  slow.AwaitConnects();
  Port other;
  site.Publish(Site::List(false, {{{"name", "s-0"}, {"address", other.address()}, {"status", "Ready"}}}));
  CHECK(other.Accept().Command().at(2) == "one");
  slow.AwaitNoConnects();
}

TEST_CASE(
    "given upstreams that send duplicates, a late duplicate is never taken for the response to the next "
    "request") {
  // Whether the first duplicate arrives together with its response or after it.
  const bool is_together = GENERATE(true, false);
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("zero"));
  Peer first = site.upstream(0).Accept();
  first.Command();
  first.Send(is_together ? std::string(kValue) + kValue : std::string(kValue));
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  if (!is_together) first.Send(kValue);
  CHECK(first.Ended());
  client.Send(Read("one"));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  // The response and the next request arrive together, so the request is read as soon as the connection is
  // idle.
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

// A site with two upstreams and a class that is not idempotent.
struct NonIdempotentSite {
  explicit NonIdempotentSite(const json& changes = json::object()) : site(2, Merged(changes)) {}
  static json Merged(const json& changes) {
    json out = NoQuota();
    out["settings"]["Classes"] = {
        {{"Name", "change"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}}};
    out.merge_patch(changes);
    return out;
  }
  static std::string Write() {
    return Command(
        {"API.WRITE", "0000000000000001", "one", "c=change,t=team,d=60000,units=1,spread=2,first=0", "x"});
  }
  Site site;
};

TEST_CASE(
    "a non-idempotent request that may have been executed is not retried after half a rejection or a late "
    "reset") {
  const bool is_half_rejected = GENERATE(true, false);
  NonIdempotentSite fixture;
  fixture.site.Start(2);
  Peer client = fixture.site.Client();
  client.Send(NonIdempotentSite::Write());
  const int selected = fixture.site.AwaitDialedUpstream();
  Peer upstream = fixture.site.upstream(selected).Accept();
  if (is_half_rejected) {
    upstream.Command();
    upstream.Send("-BUS");
  } else {
    CHECK(upstream.HasMore(kTimeoutMs));  // the whole request is in the kernel's buffer, unread
  }
  upstream.Reset();
  CHECK(client.Line() == "-ERR failed\r\n");
  CHECK_FALSE(fixture.site.upstream(0).HasPendingConnection());
  CHECK_FALSE(fixture.site.upstream(1).HasPendingConnection());
}

TEST_CASE(
    "when a connection is established as its connect timeout expires, then the request is sent exactly "
    "once") {
  NonIdempotentSite fixture(json{{"settings", {{"Limits", {{"DialTimeout", 500'000}}}}}});
  SlowPort slow;
  fixture.site.Start(0, {{{"name", "s-slow"}, {"address", slow.address()}, {"status", "Ready"}}});
  Peer client = fixture.site.Client();
  client.Send(NonIdempotentSite::Write());
  slow.AwaitConnects();
  fixture.site.Publish(Site::List(false, fixture.site.Entries(0, 1, "Ready")));
  fixture.site.watch().Until("\r\n\r\n");
  fixture.site.Pause();
  slow.Open();
  Peer late = slow.port().Accept();  // after a second, when both the timeout and the connect are pending
  fixture.site.Resume();
  if (late.ReadSome(4096).empty()) {
    Peer upstream = fixture.site.upstream(0).Accept();
    CHECK(upstream.Command().at(2) == "one");
    upstream.Send(kValue);
  } else {
    late.Send(kValue);
    CHECK_FALSE(fixture.site.upstream(0).HasPendingConnection());
  }
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE(
    "when an endpoint list removes one upstream and moves another, then each attempt at them ends once and "
    "is retried") {
  Site site(0, NoQuota());
  SlowPort removed;
  SlowPort moved;
  const auto endpoints = [&](const char* status, const std::string& address) {
    return json{{{"name", "s-drains"}, {"address", removed.address()}, {"status", status}},
                {{"name", "s-moves"}, {"address", address}, {"status", "Ready"}}};
  };
  site.Start(0, endpoints("Ready", moved.address()));
  Peer client = site.Client();
  std::string requests;
  for (int i = 0; i < 24; ++i) requests += Read("r" + std::to_string(i));
  client.Send(requests);
  removed.AwaitConnects(2);
  moved.AwaitConnects(2);
  Port other;
  site.Publish(Site::List(false, endpoints("Gone", other.address())));
  std::vector<Peer> upstreams;
  for (int i = 0; i < 24; ++i) {
    upstreams.push_back(other.Accept());
    upstreams.back().Command();
  }
  CHECK_FALSE(other.HasPendingConnection());
  removed.AwaitNoConnects();
  moved.AwaitNoConnects();
  for (Peer& upstream : upstreams) upstream.Send(kValue);
  for (int i = 0; i < 24; ++i) CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

// Guards against a new process that is taken for the one that had its address: a change under a key of
// another cell was applied there again.
TEST_CASE(
    "given a new upstream at the address of one that is gone, then no retry for the old one goes there") {
  json changes = NoQuota();
  changes["settings"]["Classes"] = {{{"Name", "change"},
                                     {"Aim", 2'000'000},
                                     {"HardLimit", 4'000'000},
                                     {"Effect", "keyed"},
                                     {"DedupScope", "cell"},
                                     {"KeyTtl", 15'000'000}}};
  Site site(1, changes);
  const auto entry = [&site](const char* name, int cell) {
    return json{
        {"name", name}, {"address", site.upstream(0).address()}, {"status", "Ready"}, {"group", cell}};
  };
  site.Start(0, json::array({entry("s-old", 1)}));
  Peer client = site.Client();
  client.Send(Command({"API.WRITE", "0000000000000001", "one",
                       "c=change,t=team,d=3000,k=00000000000000aa,units=1,spread=2,first=0", "body"}));
  Peer old_process = site.upstream(0).Accept();
  CHECK(old_process.Command().at(2) == "one");  // executed, and not answered
  Site::Publish(site.watch(), Site::List(false, json::array({entry("s-new", 2)})));
  site.watch().Until("\r\n\r\n");
  site.Ping();
  old_process.Reset();
  CHECK(client.Line().starts_with("-"));
  CHECK_FALSE(site.upstream(0).HasPendingConnection());
  Peer other = site.Client();
  other.Send(Command({"API.WRITE", "0000000000000002", "two",
                      "c=change,t=team,d=3000,k=00000000000000bb,units=1,spread=2,first=0", "body"}));
  CHECK(site.upstream(0).Accept().Command().at(2) == "two");
}

// Guards against a change under a key that was applied again in another cell: the entry that displaces an
// upstream does not state its zone and cell.
TEST_CASE(
    "given an upstream that is displaced at its address, when its request is retried, then it stays in the "
    "scope of the key") {
  const auto* const scope = GENERATE("cell", "zone");
  INFO(scope);
  json changes = NoQuota();
  changes["settings"]["Classes"] = {{{"Name", "change"},
                                     {"Aim", 2'000'000},
                                     {"HardLimit", 4'000'000},
                                     {"Effect", "keyed"},
                                     {"DedupScope", scope},
                                     {"KeyTtl", 15'000'000}}};
  Site site(1, changes);
  const auto entry = [](const Port& port, const char* name, int cell, const char* zone) {
    return json{
        {"name", name}, {"address", port.address()}, {"status", "Ready"}, {"group", cell}, {"zone", zone}};
  };
  Port other;
  site.Start(0, json::array({entry(site.upstream(0), "s-old", 1, "b")}));
  Peer client = site.Client();
  client.Send(Command({"API.WRITE", "0000000000000001", "one",
                       "c=change,t=team,d=3000,k=00000000000000aa,units=1,spread=2,first=0", "body"}));
  Peer old_process = site.upstream(0).Accept();
  CHECK(old_process.Command().at(2) == "one");  // executed, and not answered
  Site::Publish(site.watch(), Site::List(false, json::array({entry(other, "s-other", 0, ""),
                                                             entry(site.upstream(0), "s-new", 1, "b")})));
  site.watch().Until("\r\n\r\n");
  site.Ping();
  old_process.Reset();
  Peer replacement = site.upstream(0).Accept();
  CHECK(replacement.Command().at(2) == "one");
  replacement.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK_FALSE(other.HasPendingConnection());
}

}  // namespace
}  // namespace postspread
