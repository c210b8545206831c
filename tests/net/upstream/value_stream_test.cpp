// Guards against values that end as complete for the client although no upstream made them: a reply proves
// that its value is complete only with its last byte.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

constexpr std::size_t kLineSize = 100;       // bytes of a line of a value, with its line end
constexpr std::size_t kLargeSize = 200'000;  // of a value that is streamed
constexpr std::size_t kSmallSize = 30'000;   // of a value that is buffered
const std::string kTrailingParts = "$-1\r\n$9\r\nutil=0.25\r\n";

// A text of lines that begin with `prefix`.
std::string Lines(std::size_t size, const std::string& prefix) {
  std::string line = prefix;
  line.resize(kLineSize - 2, '.');
  line += "\r\n";
  std::string out;
  while (out.size() < size) out += line;
  return out;
}

std::string Bulk(const std::string& value) {
  std::string out;
  resp::AppendBulk(value, out);
  return out;
}

// The reply of an upstream that states this length for its value.
std::string ReplyOfLength(const std::string& value, std::size_t length) {
  return "*3\r\n$" + std::to_string(length) + "\r\n" + value + "\r\n" + kTrailingParts;
}

TEST_CASE("given a large value whose stated length does not fit, the client never gets a complete value") {
  // Each length ends at a line end of the reply.
  const std::ptrdiff_t excess = GENERATE(5, -2, -102, -3'702, -100'002);
  INFO(excess);
  Site site(1, NoQuota());
  site.Start(1);
  Peer client = site.Client();
  // A value that is too short for its length stalls until the deadline.
  client.Send(
      Command({"API.READ", "0000000000000001", "one", "c=lookup,t=team,d=1000,units=1,spread=2,first=0"}));
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  const std::string value = Lines(kLargeSize, "entry");
  const std::size_t length = value.size() + static_cast<std::size_t>(excess);
  upstream.Send(ReplyOfLength(value, length));
  const std::string header = "$" + std::to_string(length) + "\r\n";
  const std::size_t complete_size = header.size() + length + 2;
  const std::string got = client.Bytes(complete_size);
  CHECK(got.size() < complete_size);
  CHECK((got.starts_with(header) || got == "-ERR failed\r\n"));
}

TEST_CASE("given a small value whose stated length does not fit, the request is retried") {
  Site site(1);
  site.Start(1);
  Site::InFlightRequest request = site.StartRequest("one");
  const std::string value = Lines(kSmallSize, "entry");
  request.upstream.Send(ReplyOfLength(value, value.size() - 2 - kLineSize * 37));
  Peer again = site.upstream(0).Accept();
  CHECK(again.Command().at(2) == "one");
  again.Send(ReplyOfLength(value, value.size()));
  CHECK((request.client.Bytes(Bulk(value).size()) == Bulk(value)));
}

TEST_CASE("given a large value whose upstream closes, the client gets it complete only if its reply was") {
  Site site(1);
  site.Start(1);
  Site::InFlightRequest request = site.StartRequest("one");
  const std::string value = Lines(kLargeSize, "entry");
  const std::string reply = ReplyOfLength(value, value.size());
  const std::size_t missing = GENERATE(0u, 1u, 2u, 10u, 20u, 21u, 22u);
  INFO(missing << " bytes are missing");
  request.upstream.Send(reply.substr(0, reply.size() - missing));
  request.upstream.Close();
  const std::string expected = Bulk(value);
  const std::string got = request.client.Bytes(expected.size());
  CHECK((got == expected) == (missing == 0));
  CHECK(got.size() >= expected.size() / 2);
}

TEST_CASE("given a large reply that is cut anywhere at its end, its value arrives byte for byte") {
  Site site(1);
  site.Start(1);
  Site::InFlightRequest request = site.StartRequest("zero");
  request.Serve();
  const std::string value = Lines(kLargeSize, "- item");
  const std::string reply = ReplyOfLength(value, value.size());
  const std::size_t first_cut = reply.size() - kTrailingParts.size() - 4;
  for (std::size_t cut = first_cut; cut < reply.size(); ++cut) {
    request.client.Send(Read("v" + std::to_string(cut)));
    site.Grant();
    request.upstream.Command();  // the connection is reused
    request.upstream.Send(reply.substr(0, cut));
    // All but the last bytes of the value pass on while the rest of the reply is outstanding.
    const std::string expected = Bulk(value);
    std::string got = request.client.Bytes(expected.size() - 8);
    site.Ping();
    request.upstream.Send(reply.substr(cut));
    got += request.client.Bytes(8);
    REQUIRE((got == expected));
  }
}

}  // namespace
}  // namespace postspread
