// Tests of large values, slow clients and connection floods, with the gateway program over loopback.
#include <algorithm>
#include <random>

#include "partners/sanitizers.h"
#include "partners/write_request.h"

namespace postspread {
namespace {

using namespace site;

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kSanitizerBytes = partners::kHasSanitizers ? 1024 * kMegabyte : 0;

std::string RandomBulk(std::size_t size, unsigned seed) {
  std::mt19937 random(seed);
  std::string body(size, ' ');
  for (char& c : body) c = static_cast<char>(random());
  std::string out;
  resp::AppendBulk(body, out);
  return out;
}
std::string UpstreamResponse(const std::string& value) {
  return "*3\r\n" + value + "$-1\r\n$9\r\nutil=0.25\r\n";
}

TEST_CASE("given a value in any fragments, it arrives byte for byte, and a large one is streamed") {
  Site site(1);
  site.Start(1);
  Site::InFlightRequest request = site.StartRequest("first");
  request.Serve();
  std::mt19937 random(21);
  for (const std::size_t size : {65'536u, 65'537u, 300'000u, 4'194'304u}) {
    request.client.Send(Read("v" + std::to_string(size)));
    site.Grant();
    request.upstream.Command();  // The connection is reused after each value.
    const std::string value = RandomBulk(size, static_cast<unsigned>(size));
    const std::string response = UpstreamResponse(value);
    std::string got;
    for (std::size_t at = 0; at < response.size();) {
      const std::size_t max_size = random() % 3 == 0 ? 1 + random() % 5 : 1 + random() % 200'000;
      at += request.upstream.SendSome(std::string_view(response).substr(at, max_size));
      // The gateway streams the beginning of a large value to the client before the rest has arrived.
      if (size > 65'536 && at > 70'000 && got.empty()) got = request.client.ReadSome(1 << 20);
      while (request.client.HasMore()) got += request.client.ReadSome(1 << 20);
    }
    got += request.client.Bytes(value.size() - got.size());
    CHECK((got == value));
  }
}

TEST_CASE("given many large responses to slow readers, the gateway stays within its memory limit") {
  Site site(1, {{"limits", {{"memory_mb", 48}, {"sockets", 256}}}});
  site.Start(1);
  const std::string value = RandomBulk(4 * kMegabyte, 5), response = UpstreamResponse(value);
  constexpr std::size_t kClients = 24;  // If all responses were buffered, they would need twice the limit.
  std::vector<Site::InFlightRequest> requests;
  for (std::size_t i = 0; i < kClients; ++i) requests.push_back(site.StartRequest("m" + std::to_string(i)));
  // The upstreams write as fast as they can, and the clients read a little in turn.
  std::vector<std::size_t> sent(kClients, 0), got(kClients, 0);
  bool same = true;
  while (std::any_of(got.begin(), got.end(), [&](std::size_t size) { return size < value.size(); }) && same) {
    for (std::size_t i = 0; i < kClients; ++i) {
      if (sent[i] < response.size())
        sent[i] += requests[i].upstream.SendSome(std::string_view(response).substr(sent[i]));
      if (got[i] >= value.size()) continue;
      const std::string part = requests[i].client.ReadSome(std::size_t{32} * 1024);
      same = same && !part.empty() && value.compare(got[i], part.size(), part) == 0;
      got[i] += part.size();
    }
  }
  CHECK(same);
  CHECK(site.PeakMemory() < 24 * kMegabyte + kSanitizerBytes);
}

TEST_CASE("given a streamed value that breaks off, waits or loses its client, no response is corrupted") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("a") + Read("b"));
  site.Grant();
  site.Grant();
  Peer first = site.upstream(0).Accept();
  Peer second = site.upstream(0).Accept();
  if (first.Command().at(2) != "a") std::swap(first, second);
  const std::string value = RandomBulk(1 * kMegabyte, 6);
  const std::string begun = "*3\r\n" + value.substr(0, 200'000);

  SECTION("when another response is ahead, it waits, then goes on") {
    second.Send(UpstreamResponse(value).substr(0, 100'000));
    site.Ping();  // The gateway has read what was sent before this ping.
    CHECK_FALSE(client.HasMore());
    first.Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
    second.Send(UpstreamResponse(value).substr(100'000));
    CHECK((client.Bytes(value.size()) == value));
  }
  SECTION("when the client makes a protocol error, pending responses behind it fail and it stays intact") {
    first.Send(begun);
    client.Send("garbage\r\n");
    second.Command();
    CHECK(second.Ended());  // The gateway has cancelled the other request.
    first.Send(UpstreamResponse(value).substr(begun.size()));
    CHECK((client.Bytes(value.size()) == value));
    CHECK(client.Line() == "-ERR failed\r\n");
    CHECK(client.Line().find("-ERR Protocol error") == 0);
    CHECK(client.Ended());
  }
  SECTION("when its client disconnects, the attempt is cancelled") {
    first.Send(begun);
    client.Close();
    CHECK(first.Ended());
  }
  SECTION("when it breaks off, the client's connection is closed, and nothing follows it") {
    second.Send(kValue);
    first.Send(begun);
    std::string got = client.Bytes(150'000);
    SECTION("the upstream's connection is reset") { first.Reset(); }
    SECTION("the upstream closes the connection") { first.Close(); }
    SECTION("the line end after the value is malformed") {
      first.Send(value.substr(200'000, value.size() - 200'002) + "xx");
    }
    got += client.Bytes(2 * kMegabyte);
    CHECK(got.size() < value.size());
    CHECK(value.compare(0, got.size(), got) == 0);
  }
}

TEST_CASE("given large bodies beyond the budget, all of them are read and forwarded unchanged") {
  const json order = {
      {"Name", "order"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}};
  Site site(1, {{"limits", {{"memory_mb", 32}, {"sockets", 256}}}, {"settings", {{"Classes", {order}}}}});
  site.Start(1);
  const std::string body(4 * kMegabyte, 'b');
  constexpr std::size_t kClients = 8;  // The bodies are 32 MB in total, under a limit of 32 MB.
  std::vector<Peer> clients;
  std::vector<std::size_t> sent(kClients, 0);
  const auto command = [&body](std::size_t i) {
    return WriteRequest{.id = "w" + std::to_string(i), .body_size = body.size()}.Encode();
  };
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(site.Client());
  const auto write_all = [&] {
    for (std::size_t i = 0; i < kClients; ++i) {
      const std::string all = command(i);
      if (sent[i] < all.size()) sent[i] += clients[i].SendSome(std::string_view(all).substr(sent[i]));
    }
  };
  write_all();
  CHECK(site.Ping() == "+PONG\r\n");  // Small commands do not wait in the queue for large ones.
  std::optional<Peer> upstream;
  for (std::size_t served = 0; served < kClients; ++served) {
    while (!site.counter_connection().HasMore()) {
      write_all();
      usleep(500);
    }
    site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    const auto received = upstream->Command();
    CHECK((received.at(4) == body));
    upstream->Send(kValue);
    CHECK(clients[static_cast<std::size_t>(received.at(2).at(1) - '0')].Until("hi\r\n") == "$2\r\nhi\r\n");
  }
  CHECK(site.PeakMemory() < 32 * kMegabyte + kSanitizerBytes);
}

TEST_CASE("when a command stalls, it times out and frees its reservation, and a head may take two seconds") {
  Site site(1, {{"limits", {{"memory_mb", 32}}}});
  site.Start(1);
  const std::string head = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  std::vector<Peer> stalled;
  stalled.reserve(2);
  for (int i = 0; i < 2; ++i) stalled.push_back(site.Client());
  // Two commands of 4 MB, of which most has arrived, use up the budget of 8 MB.
  for (Peer& peer : stalled) peer.Send(head + std::string(3'900'000, 'x'));
  site.Ping();
  Peer waiting = site.Client();
  const std::string rest = head + std::string(4'000'000, 'x') + "\r\n";
  std::size_t sent = waiting.SendSome(rest);  // A third command waits for a reservation.
  const auto began = std::chrono::steady_clock::now();
  Peer slow = site.Client();
  const std::string command = Read("s");
  for (std::size_t at = 0; at < command.size(); at += command.size() / 9) {
    slow.Send(command.substr(at, command.size() / 9));
    usleep(200'000);
    sent += waiting.SendSome(std::string_view(rest).substr(sent));
  }
  site.Grant();
  CHECK(site.upstream(0).Accept().Command().at(2) == "s");
  for (Peer& peer : stalled) CHECK(peer.Line() == "-ERR Protocol error: command not finished in time\r\n");
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(3));
  // The reservation is released, so the gateway reads the command that waited.
  for (; sent < rest.size(); usleep(500)) sent += waiting.SendSome(std::string_view(rest).substr(sent));
  CHECK(waiting.Line() == "-ERR bad customer\r\n");
}

// Guards against a client that takes the event loop for itself: the other clients got their responses late.
TEST_CASE("given one client that sends small commands at full speed, other clients are answered in time") {
  const std::string command =
      GENERATE(std::string("*0\r\n"), Command({"PING"}), Command({"API.READ", "zz", "x", "c=1"}));
  Site site(1, {{"limits", {{"memory_mb", 16}}}});
  site.Start(1);
  std::string commands;
  while (commands.size() < 400'000) commands += command;
  Peer flood = site.Client();
  Peer other = site.Client();
  std::chrono::steady_clock::duration longest{0};
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  std::size_t at = 0;
  while (std::chrono::steady_clock::now() < end) {
    // The flood's responses are read only when the gateway has stopped reading, so that all that it has read
    // ahead is processed at once.
    for (int blocked = 0; blocked < 20;) {
      const std::size_t sent = flood.SendSome(std::string_view(commands).substr(at));
      at = (at + sent) % commands.size();
      blocked = sent == 0 ? blocked + 1 : 0;
      if (sent == 0) usleep(500);
    }
    while (flood.HasMore()) flood.ReadSome(1 << 20);
    const auto sent_at = std::chrono::steady_clock::now();
    site.Ping(other);
    longest = std::max(longest, std::chrono::steady_clock::now() - sent_at);
  }
  CHECK(longest < std::chrono::milliseconds(150));
  CHECK(site.PeakMemory() < 16 * kMegabyte + kSanitizerBytes);
}

// A site with 8 MB for large requests and a class that is not idempotent.
struct LargeWriteSite {
  LargeWriteSite() : site(1, WriteSettings(/*memory_mb=*/32, /*sockets=*/256)) { site.Start(1); }
  // Fills the memory with requests that an upstream does not answer.
  void FillMemory() {
    for (int i = 0; i < 2; ++i) {
      clients.push_back(site.Client());
      clients.back().Send(
          WriteRequest{.id = "fill" + std::to_string(i), .body_size = 4'150'000, .timeout_ms = 60'000}
              .Encode());
      upstreams.push_back(site.upstream(0).Accept());
      upstreams.back().Command();
    }
  }
  Site site;
  std::vector<Peer> clients, upstreams;
};

// Guards against clients that announce large bodies and stop: they used to block all large requests.
TEST_CASE(
    "given clients that stop in large bodies, when a whole request arrives, then it is forwarded at once") {
  LargeWriteSite fixture;
  std::vector<Peer> stopped;
  for (int i = 0; i < 30; ++i) {
    stopped.push_back(fixture.site.Client());
    stopped.back().Send(
        WriteRequest{.id = "bad" + std::to_string(i), .body_size = 4'000'000, .timeout_ms = 8'000}.Head() +
        std::string(100'000, 'x'));
  }
  fixture.site.Ping();
  Peer client = fixture.site.Client();
  client.Send(WriteRequest{.id = "one", .body_size = 110'000, .timeout_ms = 8'000}.Encode());
  Peer upstream = fixture.site.upstream(0).Accept();
  CHECK(upstream.Command().at(2) == "one");
  // It did not have to wait until the others were given up.
  for (const Peer& peer : stopped) CHECK_FALSE(const_cast<Peer&>(peer).HasMore());
  upstream.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  for (Peer& peer : stopped) CHECK(peer.Line() == "-ERR Protocol error: command not finished in time\r\n");
}

// Guards against a wait for memory in which no time runs.
TEST_CASE("given no memory, when a whole large request waits, then it is rejected in its time, and skipped") {
  LargeWriteSite fixture;
  fixture.FillMemory();
  Peer client = fixture.site.Client();
  const auto sent_at = std::chrono::steady_clock::now();
  client.Send(WriteRequest{.id = "one", .body_size = 200'000, .timeout_ms = 1'000}.Encode() +
              Command({"PING"}));
  CHECK(client.Line() == "-BUSY\r\n");
  CHECK(std::chrono::steady_clock::now() - sent_at < std::chrono::milliseconds(1'000 + 500));
  CHECK(client.Line() == "+PONG\r\n");  // the connection goes on behind the request that was not read
  for (Peer& upstream : fixture.upstreams) upstream.Send(kValue);
  for (Peer& filler : fixture.clients) CHECK(filler.Until("hi\r\n") == "$2\r\nhi\r\n");
  client.Send(WriteRequest{.id = "two", .body_size = 200'000, .timeout_ms = 8'000}.Encode());
  CHECK(fixture.upstreams.back().Command().at(2) == "two");
}

TEST_CASE(
    "given no memory, when a client stops in a large body, then it has its response within three seconds") {
  LargeWriteSite fixture;
  fixture.FillMemory();
  Peer client = fixture.site.Client();
  const auto sent_at = std::chrono::steady_clock::now();
  client.Send(WriteRequest{.id = "one", .body_size = 4'000'000, .timeout_ms = 60'000}.Head() +
              std::string(100'000, 'x'));
  CHECK(client.Line() == "-BUSY\r\n");
  CHECK(std::chrono::steady_clock::now() - sent_at < std::chrono::seconds(3));
}

TEST_CASE(
    "given a flood of unfinished commands, conforming clients are served, and a shutdown ends the process") {
  // Of these sockets, client connections get fifty.
  Site site(1, {{"limits", {{"memory_mb", 24}, {"sockets", 96}}}});
  site.Start(1);
  std::vector<Peer> flood;
  const auto add_flood_clients = [&](int count) {
    for (int i = 0; i < count; ++i) {
      flood.push_back(site.Client());
      if (i % 2 == 0) flood.back().SendSome("*4\r\n$8\r\nAPI.READ\r\n$16\r\n000");
    }
  };
  add_flood_clients(120);
  Peer slow = site.Client();
  const std::string command = Read("slow");
  slow.Send(command.substr(0, 50));
  std::optional<Peer> upstream;
  for (int i = 0; i < 6; ++i) {
    add_flood_clients(10);
    Peer quick = site.Client();
    quick.Send(Read("q"));
    site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    CHECK(upstream->Command().at(2) == "q");
    upstream->Send(kValue);
    CHECK(quick.Until("hi\r\n") == "$2\r\nhi\r\n");
  }
  slow.Send(command.substr(50));
  site.Grant();
  CHECK(upstream->Command().at(2) == "slow");
  upstream->Send(kValue);
  CHECK(slow.Until("hi\r\n") == "$2\r\nhi\r\n");
  add_flood_clients(60);
  site.Terminate();
  CHECK(site.Wait() == 0);
}

}  // namespace
}  // namespace postspread
