// Tests idempotency keys in the gateway program: one gateway process on loopback sockets.
// bench/idempotency.cpp covers several gateways.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

const char* const kIdempotencyEnabled = "idempotency { enabled = true }\n";

// Returns settings with a class whose writes carry an idempotency key.
json KeyedWriteSettings() {
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

const char* const kUpstreamResponse = "*3\r\n$4\r\nmade\r\n$-1\r\n$-1\r\n";
const char* const kUnknownOutcome = "-ERR outcome unknown: the change under this key may have been made\r\n";

json SingleAttemptSettings() {
  json settings = KeyedWriteSettings();
  settings["settings"]["Limits"] = {{"MostTries", 1}};
  return settings;
}

// Two upstreams in two groups. One of them received the complete request of key k1 and closed the connection
// without a response.
struct LostResponse {
  Site site{2, SingleAttemptSettings(), false, kIdempotencyEnabled};
  json endpoints;
  int home = 0;  // the upstream that received the request
  Peer client;

  LostResponse() : client(StartAndConnect()) {
    client.Send(WriteCommand("one", "k1"));
    site.Grant();
    home = site.AwaitDialedUpstream();
    Peer upstream = site.upstream(home).Accept();
    upstream.Command();
    upstream.Close();
    CHECK(client.Line() == kUnknownOutcome);
  }
  void PublishEndpoints() {
    site.Publish(Site::List(true, endpoints));
    site.watch().Until("\r\n\r\n");
  }

 private:
  Peer StartAndConnect() {
    site.Start(2);
    endpoints = site.Entries(0, 2, "Ready");
    endpoints[1]["group"] = 1;  // upstream 0 is in group 0
    PublishEndpoints();
    return site.Client();
  }
};

TEST_CASE(
    "a repeat joins the running request, a later one receives the stored response, and neither takes units "
    "or an attempt") {
  Site site(1, KeyedWriteSettings(), false, kIdempotencyEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(WriteCommand("two", "k1"));
  // The upstream responds only once the second request is in the store; a connection handles its commands in
  // order.
  second.Send(Command({"PING", "x"}));
  first.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  upstream.Send(kUpstreamResponse);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
  Peer third = site.Client();
  third.Send(WriteCommand("three", "k1"));
  CHECK(third.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK_FALSE(upstream.HasMore());
  CHECK_FALSE(site.upstream(0).HasPendingConnection());
  CHECK_FALSE(site.counter_connection().HasMore());
}

TEST_CASE("without an operator file, a repeat is forwarded like any other request") {
  Site site(1, KeyedWriteSettings());
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

TEST_CASE("when a key is reused with another body, the request fails with a mismatch error") {
  Site site(1, KeyedWriteSettings(), false, kIdempotencyEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1", "to monday"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  second.Send(WriteCommand("two", "k1", "to friday"));
  CHECK(second.Line() == "-ERR this key was used for another request\r\n");
  upstream.Send(kUpstreamResponse);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE(
    "when the upstream closes after the complete request, the outcome is unknown and a repeat goes to its "
    "group only") {
  LostResponse lost;
  Site& site = lost.site;
  lost.client.Send(WriteCommand("two", "k1"));
  site.Grant();
  Peer again = site.upstream(lost.home).Accept();
  CHECK(again.Command()[2] == "two");
  CHECK_FALSE(site.upstream(1 - lost.home).HasPendingConnection());
  again.Send(kUpstreamResponse);
  CHECK(lost.client.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE("when the group drains while an outcome is unknown, nothing is sent and a repeat fails") {
  LostResponse lost;
  Site& site = lost.site;
  lost.endpoints[static_cast<std::size_t>(lost.home)]["status"] = "Terminating";
  lost.PublishEndpoints();
  lost.client.Send(WriteCommand("two", "k1"));
  site.Grant();
  CHECK(lost.client.Line() == kUnknownOutcome);
  CHECK_FALSE(site.upstream(0).HasPendingConnection());
  CHECK_FALSE(site.upstream(1).HasPendingConnection());
}

TEST_CASE("when the first client disconnects, its request continues for the client that waits") {
  Site site(1, KeyedWriteSettings(), false, kIdempotencyEnabled);
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
  CHECK_FALSE(upstream.HasMore());  // the attempt was not cancelled
  upstream.Send(kUpstreamResponse);
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE(
    "with waiters, SIGHUP applies new limits, and SIGTERM lets each receive its response before a clean "
    "exit") {
  Site site(1, KeyedWriteSettings(), false, kIdempotencyEnabled);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(WriteCommand("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  second.Send(WriteCommand("two", "k1"));
  second.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  site.WriteOperatorFile("idempotency { enabled = true\n max_waiters = 2 }\n");
  site.Reload(json::object());
  site.WaitForLog("configuration reloaded");
  Peer third = site.Client();
  third.Send(WriteCommand("three", "k1"));
  CHECK(third.Line().find("-BUSY") == 0);
  site.WriteOperatorFile("idempotency { keep = soon }\n");
  site.Reload(json::object());
  site.WaitForLog("configuration rejected, the old one stays: ");
  site.WaitForLog(":1: idempotency.keep is \"soon\"");
  site.WriteOperatorFile("idempotency { enabled = true\n keep = 10s }\n");
  site.Reload(json::object());
  site.WaitForLog("idempotency.keep is shorter than the KeyTtl of class \"move\", 30000ms");
  site.Terminate();
  site.WaitForLog("draining");
  upstream.Send(kUpstreamResponse);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(site.Wait() == 0);
}

TEST_CASE(
    "an invalid operator file makes the program exit with status 2 after an error that names line and key") {
  Site site(1, KeyedWriteSettings(), false, "idempotency {\n keep = 5 }\n");
  CHECK(site.Wait() == 2);
  site.WaitForLog("configuration is invalid: ");
  site.WaitForLog(":2: idempotency.keep is \"5\": a whole number with its unit is wanted");
}

}  // namespace
}  // namespace postspread
