// Guards against a restart that hangs on an unreachable dependency, or that reports readiness too early. A
// process must be ready within 10 s of its start, whatever it can't reach, but never before it can serve.
#include <chrono>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kReadyTimeout{10};

enum class Discovery { kSilent, kRefuses, kUnreachable };

TEST_CASE(
    "given a persisted endpoint list, when discovery is silent, refusing or unreachable and the counter "
    "is unreachable, then the gateway is ready in time") {
  const Discovery discovery = GENERATE(Discovery::kSilent, Discovery::kRefuses, Discovery::kUnreachable);
  Port upstream_port;
  json changes = NoQuota();
  changes["known"] =
      Site::List(true, {{{"name", "s-0"}, {"address", upstream_port.address()}, {"status", "Ready"}}});
  Site site(0, changes);
  const auto started = steady_clock::now();
  site.counter().Close();
  if (discovery == Discovery::kUnreachable) site.discovery().Close();
  if (discovery == Discovery::kRefuses) {
    Peer watch = site.discovery().Accept();
    watch.Until("\r\n\r\n");
    watch.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  }
  site.WaitUntilReady();
  CHECK(steady_clock::now() - started < kReadyTimeout);
  Peer client = site.Client();  // a ready gateway must serve requests
  client.Send(Read("one"));
  Peer upstream = upstream_port.Accept();
  CHECK(upstream.Command().at(2) == "one");
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE(
    "given no endpoint list, when discovery refuses at first, then the gateway is ready only once a list "
    "has arrived") {
  Site site(1, {{"settings", {{"GroupSize", 300}}}});
  Peer first = site.discovery().Accept();
  CHECK(first.Until("\r\n\r\n").find("GET /api/targets HTTP/1.1\r\n") == 0);
  Peer calls = site.counter().Accept();
  CHECK(site.Ping() == "-LOADING not serving\r\n");
  first.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  const auto refused = steady_clock::now();
  Peer second = site.discovery().Accept();
  second.Until("\r\n\r\n");
  second.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  Peer third = site.discovery().Accept();
  third.Until("\r\n\r\n");
  CHECK(site.Ping() == "-LOADING not serving\r\n");  // after a second there are still no upstreams
  Site::Publish(third, Site::List(true, site.Entries(0, 1, "Ready")));
  third.Until("\r\n\r\n");
  CHECK(site.Ping() == "+PONG\r\n");
  CHECK(steady_clock::now() - refused < kReadyTimeout);
}

}  // namespace
}  // namespace postspread
