// Idempotency keys in the real program, one gateway on sockets. Several gateways: bench/idempotency.cpp.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

const char* const kEnabled = "idempotency { enabled = true }\n";

// Settings with a class whose writes carry a key.
json KeyedWrites() {
  return {{"settings",
           {{"Classes",
             {{{"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}},
              {{"Name", "move"},
               {"Aim", 60'000'000},
               {"HardLimit", 60'000'000},
               {"Effect", "keyed"},
               {"DedupScope", "cell"},
               {"KeyTtl", 30'000'000}}}}}}};
}

std::string WriteCommand(std::string_view id, std::string_view key, std::string_view body = "to monday") {
  const std::string extras = "c=move,t=team,d=60000,k=" + std::string(key) + ",units=1,spread=2,first=0";
  return Command({"API.WRITE", "0000000000000001", id, extras, body});
}

const char* const kReply = "*3\r\n$4\r\nmade\r\n$-1\r\n$-1\r\n";
const char* const kUnknownOutcome = "-ERR outcome unknown: the change under this key may have been made\r\n";

json SingleAttemptWrites() {
  json settings = KeyedWrites();
  settings["settings"]["Limits"] = {{"MostTries", 1}};
  return settings;
}

// Two upstreams in two groups, of which one has died with the whole request of key k1 sent to it.
struct LostReply {
  Site site{2, SingleAttemptWrites(), false, kEnabled};
  json entries;
  int home = 0;  // the upstream that got the request
  Peer client;

  LostReply() : client(StartAndConnect()) {
    client.Send(WriteCommand("one", "k1"));
    site.Grant();
    home = site.Dialled();
    Peer upstream = site.upstream(home).Accept();
    upstream.Command();
    upstream.Close();
    CHECK(client.Line() == kUnknownOutcome);
  }
  void PublishEntries() {
    site.Tell(Site::List(true, entries));
    site.watch().Until("\r\n\r\n");
  }

 private:
  Peer StartAndConnect() {
    site.Start(2);
    entries = site.Entries(0, 2, "Ready");
    entries[1]["group"] = 1;  // the other is in group 0
    PublishEntries();
    return site.Client();
  }
};

TEST_CASE(
    "a repeat joins the request that runs, a later one is answered at once, and neither takes units or an "
    "attempt") {
  Site site(1, KeyedWrites(), false, kEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(WriteCommand("two", "k1"));
  // The second request is in the store before the reply comes: its connection answers in order.
  second.Send(Command({"PING", "x"}));
  first.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  upstream.Send(kReply);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
  Peer third = site.Client();
  third.Send(WriteCommand("three", "k1"));
  CHECK(third.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK_FALSE(upstream.HasMore());
  CHECK_FALSE(site.upstream(0).Asked());
  CHECK_FALSE(site.calls().HasMore());
}

TEST_CASE("without an operator file a repeat is a request like any other") {
  Site site(1, KeyedWrites());
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(WriteCommand("two", "k1"));
  site.Grant();
  Peer other = site.upstream(0).Accept();
  CHECK(other.Command()[2] == "two");
}

TEST_CASE("a key reused with another body gets a mismatch error") {
  Site site(1, KeyedWrites(), false, kEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1", "to monday"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  second.Send(WriteCommand("two", "k1", "to friday"));
  CHECK(second.Line() == "-ERR this key was used for another request\r\n");
  upstream.Send(kReply);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE(
    "the upstream dies after the last byte: the outcome is unknown, and a repeat goes to its group only") {
  LostReply lost;
  Site& site = lost.site;
  lost.client.Send(WriteCommand("two", "k1"));
  site.Grant();
  Peer again = site.upstream(lost.home).Accept();
  CHECK(again.Command()[2] == "two");
  CHECK_FALSE(site.upstream(1 - lost.home).Asked());
  again.Send(kReply);
  CHECK(lost.client.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE("the group drains while an outcome is unknown: nothing is sent, and a repeat fails") {
  LostReply lost;
  Site& site = lost.site;
  lost.entries[static_cast<std::size_t>(lost.home)]["status"] = "Terminating";
  lost.PublishEntries();
  lost.client.Send(WriteCommand("two", "k1"));
  site.Grant();
  CHECK(lost.client.Line() == kUnknownOutcome);
  CHECK_FALSE(site.upstream(0).Asked());
  CHECK_FALSE(site.upstream(1).Asked());
}

TEST_CASE("the first client disconnects: its work goes on for the one that waits") {
  Site site(1, KeyedWrites(), false, kEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(WriteCommand("two", "k1"));
  second.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  first.Close();
  site.WaitUntilReady();
  CHECK_FALSE(upstream.HasMore());  // not cancelled
  upstream.Send(kReply);
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE("SIGTERM and SIGHUP with waiters: each gets its answer, new limits apply, the shutdown is clean") {
  Site site(1, KeyedWrites(), false, kEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  second.Send(WriteCommand("two", "k1"));
  second.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  site.WriteOperators("idempotency { enabled = true\n max_waiters = 2 }\n");
  site.Reload(json::object());
  site.Logged("configuration reloaded");
  Peer third = site.Client();
  third.Send(WriteCommand("three", "k1"));
  CHECK(third.Line().find("-BUSY") == 0);
  site.WriteOperators("idempotency { keep = soon }\n");
  site.Reload(json::object());
  site.Logged("configuration rejected, the old one stays: ");
  site.Logged(":1: idempotency.keep is \"soon\"");
  site.WriteOperators("idempotency { enabled = true\n keep = 10s }\n");
  site.Reload(json::object());
  site.Logged("idempotency.keep is shorter than the KeyTtl of class \"move\", 30000ms");
  site.Terminate();
  site.Logged("draining");
  upstream.Send(kReply);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(site.Wait() == 0);
}

TEST_CASE("an invalid operator file ends the program with status 2 and an error that names line and key") {
  Site site(1, KeyedWrites(), false, "idempotency {\n keep = 5 }\n");
  CHECK(site.Wait() == 2);
  site.Logged("configuration is invalid: ");
  site.Logged(":2: idempotency.keep is \"5\": a whole number with its unit is wanted");
}

}  // namespace
}  // namespace postspread
