// What may become of a call to discovery: refused, silent, reset halfway, moved; and how soon a change is
// told all the same.
#include <chrono>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

constexpr int kTold = 6'000;  // ms

std::string Next(Peer& watch) { return watch.Until("\r\n\r\n"); }

// A hundred gateways that were refused once asked ten times a second each, and kept discovery overbooked;
// made to wait by the size of the group, three hundred were blind for up to 90 s.
TEST_CASE("who is refused by discovery asks again after a pause, and soon enough in any group") {
  const int group = GENERATE(2, 20, 300);
  INFO(group << " gatekeepers");
  Site site(1, {{"settings", {{"GroupSize", group}}}});
  site.Start(1);
  const auto since = std::chrono::steady_clock::now();
  site.watch().Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(site.watch().Ended());
  CHECK_FALSE(Readable(site.discovery().fd(), 150));
  Peer second = site.discovery().Accept();
  CHECK(Next(second).find("GET /api/targets?since=41&timeout_ms=500 ") == 0);
  second.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(second.Ended());
  Peer third = site.discovery().Accept();
  Next(third);
  CHECK(std::chrono::steady_clock::now() - since < std::chrono::milliseconds(kTold));
}

TEST_CASE(
    "a watch that falls silent right after the first list is opened anew, and a refusal then costs little") {
  Site site(1, {{"settings", {{"GroupSize", 300}}}});
  site.Start(1);
  const auto since = std::chrono::steady_clock::now();
  Peer second = site.discovery().Accept();  // the first says nothing more
  CHECK(Next(second).find("GET /api/targets?since=41&timeout_ms=500 ") == 0);
  second.Send("HTTP/1.1 503 Busy\r\n");  // and stalls in the middle of the next answer
  Peer third = site.discovery().Accept();
  CHECK(Next(third).find("GET /api/targets?since=41&timeout_ms=500 ") == 0);
  third.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  Peer fourth = site.discovery().Accept();
  Next(fourth);
  CHECK(std::chrono::steady_clock::now() - since < std::chrono::milliseconds(kTold));
  Site::Tell(fourth, Site::List(false, json::array()));
  CHECK(Next(fourth).find("GET /api/targets?since=41&timeout_ms=2000 ") == 0);
}

TEST_CASE("an answer without a length that is reset is no list, one that ends is") {
  const bool reset = GENERATE(true, false);
  Site site(1);
  site.Start(1);
  json list = Site::List(false, site.Entries(0, 1, "Ready"));
  list["index"] = 42;
  site.watch().Send("HTTP/1.1 200 OK\r\n\r\n" + list.dump());
  reset ? site.watch().Reset() : site.watch().Close();
  Peer next = site.discovery().Accept();
  CHECK(Next(next).find(reset ? "GET /api/targets?since=41&" : "GET /api/targets?since=42&") == 0);
}

TEST_CASE("an answer that is reset in the middle of its body is no list") {
  Site site(1);
  site.Start(1);
  json list = Site::List(false, site.Entries(0, 1, "Gone"));
  list["index"] = 42;
  const std::string body = list.dump();
  site.watch().Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 1) + "\r\n\r\n" +
                    body);
  site.watch().Reset();
  Peer next = site.discovery().Accept();
  CHECK(Next(next).find("GET /api/targets?since=41&") == 0);
  site.Hold("one").Serve();  // still there
}

TEST_CASE(
    "a list whose number goes back is asked for whole, an indented one is read, an empty one changes "
    "nothing") {
  Site site(1);
  site.Start(1);
  json list = Site::List(false, json::array());
  list["index"] = 7;
  site.Tell(list);
  CHECK(Next(site.watch()).find("GET /api/targets HTTP/1.1\r\n") == 0);
  list = Site::List(true, site.Entries(0, 1, "Ready"));
  list["index"] = 8;
  const std::string body = list.dump(2);
  site.watch().Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  CHECK(Next(site.watch()).find("GET /api/targets?since=8&") == 0);
  list = Site::List(false, json::array());
  list["index"] = 9;
  site.Tell(list);
  CHECK(Next(site.watch()).find("GET /api/targets?since=9&") == 0);
  site.Hold("one").Serve();
}

TEST_CASE(
    "what stands behind an answer of discovery is nobody's: the next call has a connection of its own") {
  Site site(1);
  site.Start(1);
  const std::string body = Site::List(false, json::array()).dump();
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  site.watch().Send(answer + answer);
  CHECK(site.watch().Ended());  // nothing more is asked there
  Peer next = site.discovery().Accept();
  CHECK(Next(next).find("GET /api/targets?since=41&timeout_ms=2000 ") == 0);
}

TEST_CASE("SIGHUP moves the watch while an answer is half read: the rest of it is never waited for") {
  Site site(1);
  site.Start(1);
  const std::string body = Site::List(false, site.Entries(0, 1, "Gone")).dump();
  site.watch().Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                    body.substr(0, body.size() / 2));
  Port discovery;
  site.Reload({{"discovery", discovery.address()}});
  Peer next = discovery.Accept();
  CHECK(Next(next).find("GET /api/targets HTTP/1.1\r\n") == 0);
  CHECK(site.watch().Ended());
  site.Hold("one").Serve();
}

}  // namespace
}  // namespace postspread
