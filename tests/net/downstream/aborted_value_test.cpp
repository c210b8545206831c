// Guards against a large value that breaks off and takes other responses of its connection along: those
// before it are complete, and those behind it stay pending as long as none of its bytes has left.
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

const std::string kFailed = "-ERR failed\r\n";
constexpr std::size_t kSlowRead = 8'192;  // bytes
const std::string kServed = "$2\r\nhi\r\n";

std::string Bulk(std::size_t size, char byte) {
  std::string out;
  resp::AppendBulk(std::string(size, byte), out);
  return out;
}

std::string ReplyWith(const std::string& value) { return "*3\r\n" + value + "$-1\r\n$9\r\nutil=0.25\r\n"; }

// How an upstream ends a connection in the middle of its reply.
enum class Break { kReset, kClose };

void End(Peer& upstream, Break how) { how == Break::kReset ? upstream.Reset() : upstream.Close(); }

// A client with requests in flight that are called a, b, c ...
struct Pipeline {
  explicit Pipeline(int requests) : site(1, NoQuota()) {
    site.Start(1);
    client.emplace(site.Client());
    std::string commands;
    for (int i = 0; i < requests; ++i) commands += Read(std::string(1, static_cast<char>('a' + i)));
    client->Send(commands);
    for (int i = 0; i < requests; ++i) upstreams.emplace_back(-1);
    for (int i = 0; i < requests; ++i) {
      Peer upstream = site.upstream(0).Accept();
      const auto index = static_cast<std::size_t>(upstream.Command().at(2)[0] - 'a');
      upstreams.at(index) = std::move(upstream);
    }
  }
  Site site;
  std::optional<Peer> client;
  std::vector<Peer> upstreams;  // by request
};

TEST_CASE("given a value that breaks before its turn, the responses before and behind it are delivered") {
  const Break how = GENERATE(Break::kReset, Break::kClose);
  Pipeline pipeline(3);
  pipeline.upstreams[1].Send(ReplyWith(Bulk(200'000, 'b')).substr(0, 1'000));
  pipeline.upstreams[2].Send(kValue);
  pipeline.site.Ping();  // the gateway has read what was sent before this ping
  End(pipeline.upstreams[1], how);
  pipeline.site.Ping();
  pipeline.upstreams[0].Send(kValue);
  const std::string expected = kServed + kFailed + kServed;
  CHECK(pipeline.client->Bytes(expected.size()) == expected);
  CHECK(Site::Ping(*pipeline.client) == "+PONG\r\n");  // the connection can be used again
}

TEST_CASE("given a value that is complete when its upstream closes before its turn, it is delivered") {
  const bool has_closed = GENERATE(true, false);
  Pipeline pipeline(2);
  const std::string value = Bulk(80'000, 'b');
  pipeline.upstreams[1].Send(ReplyWith(value));
  pipeline.site.Ping();
  if (has_closed) pipeline.upstreams[1].Close();
  pipeline.site.Ping();
  pipeline.upstreams[0].Send(kValue);
  CHECK((pipeline.client->Bytes(kServed.size() + value.size()) == kServed + value));
}

TEST_CASE("given a value that breaks off with its head, the request is retried") {
  const Break how = GENERATE(Break::kReset, Break::kClose);
  Pipeline pipeline(1);
  pipeline.site.Pause();
  pipeline.upstreams[0].Send(ReplyWith(Bulk(200'000, 'a')).substr(0, 1'000));
  End(pipeline.upstreams[0], how);
  pipeline.site.Resume();
  Peer again = pipeline.site.upstream(0).Accept();
  CHECK(again.Command().at(2) == "a");
  again.Send(kValue);
  CHECK(pipeline.client->Bytes(kServed.size()) == kServed);
}

// The end of the first value is in the gateway or in its socket when the second one breaks off. The second
// one has left or not, depending on the sizes.
TEST_CASE(
    "given a complete value before one that breaks off, a client that reads late gets all of the first") {
  const Break how = GENERATE(Break::kReset, Break::kClose);
  const std::size_t second_begun = GENERATE(1'000u, 150'000u);
  const std::string second = Bulk(200'000, 'b');
  for (std::size_t first_size = 70'000; first_size < 500'000; first_size += 60'011) {
    INFO(first_size);
    Pipeline pipeline(2);
    const int receive_buffer = 32 * 1024;
    REQUIRE(setsockopt(pipeline.client->fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                       sizeof receive_buffer) == 0);
    const std::string first = Bulk(first_size, 'a');
    pipeline.upstreams[1].Send(ReplyWith(second).substr(0, second_begun));
    const std::string reply = ReplyWith(first);
    std::string got;
    for (std::size_t sent = 0; sent < reply.size();) {
      const std::size_t more = pipeline.upstreams[0].SendSome(std::string_view(reply).substr(sent));
      sent += more;
      if (more == 0) got += pipeline.client->ReadSome(4'096);
    }
    pipeline.site.Ping();
    End(pipeline.upstreams[1], how);
    pipeline.site.Ping();
    pipeline.client->Send(Command({"PING"}));  // arrives before the gateway closes
    // The client reads a little at a time, and the gateway notices the break before the client has the rest.
    while (got.size() < first.size()) {
      const std::string part = pipeline.client->ReadSome(std::min(kSlowRead, first.size() - got.size()));
      if (part.empty()) break;
      got += part;
      pipeline.site.Ping();
    }
    REQUIRE((got == first));
    const std::string rest = pipeline.client->Bytes(kFailed.size());
    if (rest == kFailed) {
      CHECK(pipeline.client->Line() == "+PONG\r\n");
      continue;
    }
    const std::string part = rest + pipeline.client->Bytes(second.size());
    CHECK(part.size() < second.size());
    CHECK(second.starts_with(part));
  }
}

TEST_CASE(
    "given a value that breaks off after its begin, the client gets what was complete and then a close") {
  const Break how = GENERATE(Break::kReset, Break::kClose);
  Pipeline pipeline(3);
  const std::string second = Bulk(400'000, 'b');
  pipeline.upstreams[0].Send(kValue);
  pipeline.upstreams[1].Send(ReplyWith(second).substr(0, 100'000));
  const std::string expected = kServed + second;
  std::string got = pipeline.client->Bytes(50'000);
  End(pipeline.upstreams[1], how);
  CHECK(pipeline.upstreams[2].Ended());  // the request behind it is cancelled
  got += pipeline.client->Bytes(expected.size());
  CHECK(got.size() < expected.size());
  CHECK(expected.starts_with(got));
}

}  // namespace
}  // namespace postspread
