// The discovery watch under faults: polls that are refused, time out or are reset within the response, and a
// change of discovery's address. Checks that changes of the endpoint list still take effect in time.
#include <chrono>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

constexpr std::chrono::milliseconds kChangeBound{6'000};

std::string NextPoll(Peer& watch) { return watch.Until("\r\n\r\n"); }

// Without a backoff, the polls would keep an overloaded discovery overloaded. With a backoff in proportion to
// the group size, a large group would miss changes for too long.
TEST_CASE(
    "a refused poll of discovery is retried after a backoff that stays within the bound for any group size") {
  const int group = GENERATE(2, 20, 300);
  INFO(group << " gateways");
  Site site(1, {{"settings", {{"GroupSize", group}}}});
  site.Start(1);
  const auto started = std::chrono::steady_clock::now();
  site.watch().Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(site.watch().Ended());
  CHECK_FALSE(Readable(site.discovery().fd(), 150));
  Peer second = site.discovery().Accept();
  CHECK(NextPoll(second).find("GET /api/targets?since=41&timeout_ms=500 ") == 0);
  second.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(second.Ended());
  Peer third = site.discovery().Accept();
  NextPoll(third);
  CHECK(std::chrono::steady_clock::now() - started < kChangeBound);
}

TEST_CASE(
    "given a watch that stops responding, when the next polls stall and are refused, then the one after "
    "them is still in time") {
  Site site(1, {{"settings", {{"GroupSize", 300}}}});
  site.Start(1);
  const auto started = std::chrono::steady_clock::now();
  Peer second = site.discovery().Accept();  // the first connection gets no response
  CHECK(NextPoll(second).find("GET /api/targets?since=41&timeout_ms=500 ") == 0);
  second.Send("HTTP/1.1 503 Busy\r\n");  // the response stalls before its end
  Peer third = site.discovery().Accept();
  CHECK(NextPoll(third).find("GET /api/targets?since=41&timeout_ms=500 ") == 0);
  third.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  Peer fourth = site.discovery().Accept();
  NextPoll(fourth);
  CHECK(std::chrono::steady_clock::now() - started < kChangeBound);
  Site::Publish(fourth, Site::List(false, json::array()));
  CHECK(NextPoll(fourth).find("GET /api/targets?since=41&timeout_ms=2000 ") == 0);
}

TEST_CASE("a response without a length is applied if the connection closes, and discarded if it is reset") {
  const bool is_reset = GENERATE(true, false);
  Site site(1);
  site.Start(1);
  json list = Site::List(false, site.Entries(0, 1, "Ready"));
  list["index"] = 42;
  site.watch().Send("HTTP/1.1 200 OK\r\n\r\n" + list.dump());
  if (is_reset) {
    site.watch().Reset();
  } else {
    site.watch().Close();
  }
  Peer next = site.discovery().Accept();
  CHECK(NextPoll(next).find(is_reset ? "GET /api/targets?since=41&" : "GET /api/targets?since=42&") == 0);
}

TEST_CASE("a response whose connection is reset within the body is discarded") {
  Site site(1);
  site.Start(1);
  json list = Site::List(false, site.Entries(0, 1, "Gone"));
  list["index"] = 42;
  const std::string body = list.dump();
  site.watch().Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 1) + "\r\n\r\n" +
                    body);
  site.watch().Reset();
  Peer next = site.discovery().Accept();
  CHECK(NextPoll(next).find("GET /api/targets?since=41&") == 0);
  site.StartRequest("one").Serve();  // the upstream is still in the list
}

TEST_CASE(
    "when the list's index decreases a snapshot is polled, an indented list is parsed, and an empty list "
    "changes nothing") {
  Site site(1);
  site.Start(1);
  json list = Site::List(false, json::array());
  list["index"] = 7;
  site.Publish(list);
  CHECK(NextPoll(site.watch()).find("GET /api/targets HTTP/1.1\r\n") == 0);
  list = Site::List(true, site.Entries(0, 1, "Ready"));
  list["index"] = 8;
  const std::string body = list.dump(2);
  site.watch().Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  CHECK(NextPoll(site.watch()).find("GET /api/targets?since=8&") == 0);
  list = Site::List(false, json::array());
  list["index"] = 9;
  site.Publish(list);
  CHECK(NextPoll(site.watch()).find("GET /api/targets?since=9&") == 0);
  site.StartRequest("one").Serve();
}

TEST_CASE("bytes after a response of discovery are discarded, and the next poll opens a new connection") {
  Site site(1);
  site.Start(1);
  const std::string body = Site::List(false, json::array()).dump();
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  site.watch().Send(response + response);
  CHECK(site.watch().Ended());  // no further poll uses this connection
  Peer next = site.discovery().Accept();
  CHECK(NextPoll(next).find("GET /api/targets?since=41&timeout_ms=2000 ") == 0);
}

TEST_CASE(
    "when SIGHUP changes discovery's address within a response, then the watch reconnects without waiting "
    "for its rest") {
  Site site(1);
  site.Start(1);
  const std::string body = Site::List(false, site.Entries(0, 1, "Gone")).dump();
  site.watch().Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                    body.substr(0, body.size() / 2));
  Port discovery;
  site.Reload({{"discovery", discovery.address()}});
  Peer next = discovery.Accept();
  CHECK(NextPoll(next).find("GET /api/targets HTTP/1.1\r\n") == 0);
  CHECK(site.watch().Ended());
  site.StartRequest("one").Serve();
}

}  // namespace
}  // namespace postspread
