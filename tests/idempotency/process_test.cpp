// The store of keys in the real program, one gateway on sockets. Several of them: bench/idempotency.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

const char* const kOn = "idempotency { enabled = true }\n";

json Changes() {
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

std::string Write(std::string_view id, std::string_view key, std::string_view body = "to monday",
                  int d = 60'000) {
  const std::string extras =
      "c=move,t=team,d=" + std::to_string(d) + ",k=" + std::string(key) + ",units=1,spread=2,first=0";
  return Command({"API.WRITE", "0000000000000001", id, extras, body});
}

const char* const kMade = "*3\r\n$4\r\nmade\r\n$-1\r\n$-1\r\n";
const char* const kUnknown = "-ERR outcome unknown: the change under this key may have been made\r\n";

TEST_CASE(
    "a repeat of what runs joins it, a later one is answered at once, and neither takes units or an "
    "attempt") {
  Site site(1, Changes(), false, kOn);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(Write("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(Write("two", "k1"));
  // The second is in the store before the answer comes: its connection answers in order.
  second.Send(Command({"PING", "x"}));
  first.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  upstream.Send(kMade);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
  Peer third = site.Client();
  third.Send(Write("three", "k1"));
  CHECK(third.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK_FALSE(upstream.HasMore());
  CHECK_FALSE(site.upstream(0).Asked());
  CHECK_FALSE(site.calls().HasMore());
}

TEST_CASE("without an operator file a repeat is a request like any other") {
  Site site(1, Changes());
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(Write("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(Write("two", "k1"));
  site.Grant();
  Peer other = site.upstream(0).Accept();
  CHECK(other.Command()[2] == "two");
}

TEST_CASE("the key with another body is an error that says so") {
  Site site(1, Changes(), false, kOn);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(Write("one", "k1", "to monday"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  second.Send(Write("two", "k1", "to friday"));
  CHECK(second.Line() == "-ERR this key was used for another request\r\n");
  upstream.Send(kMade);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE("the node dies after the last byte: the outcome is unknown, and a repeat goes to that pod alone") {
  json changes = Changes();
  changes["settings"]["Limits"] = {{"MostTries", 1}};
  Site site(2, changes, false, kOn);
  site.Start(2);
  json entries = site.Entries(0, 2, "Ready");
  entries[1]["group"] = 1;  // the other is in pod 0
  site.Tell(Site::List(true, entries));
  site.watch().Until("\r\n\r\n");
  Peer client = site.Client();
  client.Send(Write("one", "k1"));
  site.Grant();
  const int home = site.Dialled();
  Peer upstream = site.upstream(home).Accept();
  upstream.Command();
  upstream.Close();
  CHECK(client.Line() == kUnknown);
  client.Send(Write("two", "k1"));
  site.Grant();
  Peer again = site.upstream(home).Accept();
  CHECK(again.Command()[2] == "two");
  CHECK_FALSE(site.upstream(1 - home).Asked());
  again.Send(kMade);
  CHECK(client.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE("the pod drains while a key is unknown: nothing is sent, and the client is told") {
  json changes = Changes();
  changes["settings"]["Limits"] = {{"MostTries", 1}};
  Site site(2, changes, false, kOn);
  site.Start(2);
  json entries = site.Entries(0, 2, "Ready");
  entries[1]["group"] = 1;  // the other is in pod 0
  site.Tell(Site::List(true, entries));
  site.watch().Until("\r\n\r\n");
  Peer client = site.Client();
  client.Send(Write("one", "k1"));
  site.Grant();
  const int home = site.Dialled();
  Peer upstream = site.upstream(home).Accept();
  upstream.Command();
  upstream.Close();
  CHECK(client.Line() == kUnknown);
  entries[static_cast<std::size_t>(home)]["status"] = "Terminating";
  site.Tell(Site::List(true, entries));
  site.watch().Until("\r\n\r\n");
  client.Send(Write("two", "k1"));
  site.Grant();
  CHECK(client.Line() == kUnknown);
  CHECK_FALSE(site.upstream(0).Asked());
  CHECK_FALSE(site.upstream(1).Asked());
}

TEST_CASE("the first client goes away: its work goes on for the one that waits") {
  Site site(1, Changes(), false, kOn);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(Write("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  CHECK(upstream.Command()[2] == "one");
  second.Send(Write("two", "k1"));
  second.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  first.Close();
  site.WaitUntilReady();
  CHECK_FALSE(upstream.HasMore());  // not given up
  upstream.Send(kMade);
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
}

TEST_CASE(
    "SIGTERM and SIGHUP with waiters: each gets its answer, limits change under way, the end is clean") {
  Site site(1, Changes(), false, kOn);
  site.Start(1);
  Peer first = site.Client(), second = site.Client();
  first.Send(Write("one", "k1"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  second.Send(Write("two", "k1"));
  second.Send(Command({"PING", "x"}));
  site.WaitUntilReady();
  site.WriteOperators("idempotency { enabled = true\n max_waiters = 2 }\n");
  site.Reload(json::object());
  site.Logged("configuration read again");
  Peer third = site.Client();
  third.Send(Write("three", "k1"));
  CHECK(third.Line().find("-BUSY") == 0);
  site.WriteOperators("idempotency { keep = soon }\n");
  site.Reload(json::object());
  site.Logged("new configuration is wrong, the old one stays: ");
  site.Logged(":1: idempotency.keep is \"soon\"");
  site.WriteOperators("idempotency { enabled = true\n keep = 10s }\n");
  site.Reload(json::object());
  site.Logged("idempotency.keep is shorter than the KeyTtl of class \"move\", 30000ms");
  site.Terminate();
  site.Logged("draining");
  upstream.Send(kMade);
  CHECK(first.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(second.Until("made\r\n") == "$4\r\nmade\r\n");
  CHECK(site.Wait() == 0);
}

TEST_CASE("an operator file that is wrong ends the program with 2 and names line and key") {
  Site site(1, Changes(), false, "idempotency {\n keep = 5 }\n");
  CHECK(site.Wait() == 2);
  site.Logged("configuration is wrong: ");
  site.Logged(":2: idempotency.keep is \"5\": a whole number with its unit is wanted");
}

}  // namespace
}  // namespace postspread
