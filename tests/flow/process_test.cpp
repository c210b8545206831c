// Large values, slow clients and connection floods, with the real program over loopback.
#include <algorithm>
#include <random>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

constexpr std::size_t kMegabyte = 1 << 20;
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kSanitizers = 1024 * kMegabyte;  // their own memory is not the program's
#else
constexpr std::size_t kSanitizers = 0;
#endif

std::string Value(std::size_t size, unsigned seed) {
  std::mt19937 random(seed);
  std::string body(size, ' ');
  for (char& c : body) c = static_cast<char>(random());
  std::string out;
  resp::AppendBulk(body, out);
  return out;
}
std::string Answer(const std::string& value) { return "*3\r\n" + value + "$-1\r\n$9\r\nutil=0.25\r\n"; }

TEST_CASE("a value in any fragments arrives byte for byte, and begins before it is complete") {
  Site site(1);
  site.Start(1);
  Site::Held held = site.Hold("first");
  held.Serve();
  std::mt19937 random(21);
  for (const std::size_t size : {65'536u, 65'537u, 300'000u, 4'194'304u}) {
    held.client.Send(Read("v" + std::to_string(size)));
    site.Grant();
    held.upstream.Command();  // the connection is reused after each
    const std::string value = Value(size, static_cast<unsigned>(size));
    const std::string answer = Answer(value);
    std::string got;
    for (std::size_t at = 0; at < answer.size();) {
      const std::size_t most = random() % 3 == 0 ? 1 + random() % 5 : 1 + random() % 200'000;
      at += held.upstream.SendSome(std::string_view(answer).substr(at, most));
      // The beginning of a large value is streamed to the client before the rest has arrived.
      if (size > 65'536 && at > 70'000 && got.empty()) got = held.client.Some(1 << 20);
      while (held.client.HasMore()) got += held.client.Some(1 << 20);
    }
    got += held.client.Bytes(value.size() - got.size());
    CHECK((got == value));
  }
}

TEST_CASE("many large responses to slow readers stay within the memory limit") {
  Site site(1, {{"limits", {{"memory_mb", 48}, {"sockets", 256}}}});
  site.Start(1);
  const std::string value = Value(4 * kMegabyte, 5), answer = Answer(value);
  constexpr std::size_t kClients = 24;  // twice the limit, if all were buffered
  std::vector<Site::Held> held;
  for (std::size_t i = 0; i < kClients; ++i) held.push_back(site.Hold("m" + std::to_string(i)));
  // Upstreams write as fast as they can; clients read a little in turn.
  std::vector<std::size_t> sent(kClients, 0), got(kClients, 0);
  bool same = true;
  while (std::any_of(got.begin(), got.end(), [&](std::size_t size) { return size < value.size(); }) && same) {
    for (std::size_t i = 0; i < kClients; ++i) {
      if (sent[i] < answer.size())
        sent[i] += held[i].upstream.SendSome(std::string_view(answer).substr(sent[i]));
      if (got[i] >= value.size()) continue;
      const std::string part = held[i].client.Some(std::size_t{32} * 1024);
      same = same && !part.empty() && value.compare(got[i], part.size(), part) == 0;
      got[i] += part.size();
    }
  }
  CHECK(same);
  CHECK(site.PeakMemory() < 24 * kMegabyte + kSanitizers);
}

TEST_CASE("a streamed value that breaks off, waits for its turn, or loses its client") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("a") + Read("b"));
  site.Grant();
  site.Grant();
  Peer first = site.upstream(0).Accept();
  Peer second = site.upstream(0).Accept();
  if (first.Command().at(2) != "a") std::swap(first, second);
  const std::string value = Value(1 * kMegabyte, 6);
  const std::string begun = "*3\r\n" + value.substr(0, 200'000);

  SECTION("behind another response it waits, then goes on") {
    second.Send(Answer(value).substr(0, 100'000));
    site.Ping();  // what was sent before has been read
    CHECK_FALSE(client.HasMore());
    first.Send(kValue);
    CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
    second.Send(Answer(value).substr(100'000));
    CHECK((client.Bytes(value.size()) == value));
  }
  SECTION("after a protocol error pending responses behind it fail, and nothing is written into it") {
    first.Send(begun);
    client.Send("garbage\r\n");
    second.Command();
    CHECK(second.Ended());  // the other request has been cancelled
    first.Send(value.substr(200'000));
    CHECK((client.Bytes(value.size()) == value));
    CHECK(client.Line() == "-ERR failed\r\n");
    CHECK(client.Line().find("-ERR Protocol error") == 0);
    CHECK(client.Ended());
  }
  SECTION("a client that disconnects cancels the attempt") {
    first.Send(begun);
    client.Close();
    CHECK(first.Ended());
  }
  SECTION("one that breaks off ends the client's connection, and nothing follows it") {
    second.Send(kValue);
    first.Send(begun);
    std::string got = client.Bytes(150'000);
    SECTION("it is reset") { first.Reset(); }
    SECTION("it closes") { first.Close(); }
    SECTION("its last line end is malformed") {
      first.Send(value.substr(200'000, value.size() - 200'002) + "xx");
    }
    got += client.Bytes(2 * kMegabyte);
    CHECK(got.size() < value.size());
    CHECK(value.compare(0, got.size(), got) == 0);
  }
}

TEST_CASE("large bodies are read under the budget, first come first served, and forwarded unchanged") {
  const json order = {
      {"Name", "order"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}};
  Site site(1, {{"limits", {{"memory_mb", 32}, {"sockets", 256}}}, {"settings", {{"Classes", {order}}}}});
  site.Start(1);
  const std::string body(4 * kMegabyte, 'b');
  constexpr std::size_t kClients = 8;  // 32 MB of bodies under a limit of 32 MB
  std::vector<Peer> clients;
  std::vector<std::size_t> sent(kClients, 0);
  const auto command = [&body](std::size_t i) {
    return Command({"API.WRITE", "0000000000000001", "w" + std::to_string(i),
                    "c=order,t=team,d=60000,units=1,spread=2,first=0", body});
  };
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(site.Client());
  const auto write_all = [&] {
    for (std::size_t i = 0; i < kClients; ++i) {
      const std::string all = command(i);
      if (sent[i] < all.size()) sent[i] += clients[i].SendSome(std::string_view(all).substr(sent[i]));
    }
  };
  write_all();
  CHECK(site.Ping() == "+PONG\r\n");  // small commands do not wait in that line
  std::optional<Peer> upstream;
  for (std::size_t served = 0; served < kClients; ++served) {
    while (!site.calls().HasMore()) {
      write_all();
      usleep(500);
    }
    site.Grant();
    if (!upstream) upstream.emplace(site.upstream(0).Accept());
    const auto came = upstream->Command();
    CHECK((came.at(4) == body));
    upstream->Send(kValue);
    CHECK(clients[static_cast<std::size_t>(came.at(2).at(1) - '0')].Until("hi\r\n") == "$2\r\nhi\r\n");
  }
  CHECK(site.PeakMemory() < 32 * kMegabyte + kSanitizers);
}

TEST_CASE("a head may take two seconds, a stalled command times out, and its reservation goes to the next") {
  Site site(1, {{"limits", {{"memory_mb", 32}}}});
  site.Start(1);
  const std::string head = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  std::vector<Peer> stalled;
  stalled.reserve(3);
  for (int i = 0; i < 3; ++i) stalled.push_back(site.Client());
  Peer waiting = std::move(stalled.back());
  stalled.pop_back();
  for (Peer& peer : stalled) peer.Send(head + "xx");  // two of 4 MB fill the budget of 8 ...
  site.Ping();
  waiting.Send(head);  // ... and a third waits
  Peer slow = site.Client();
  const std::string command = Read("s");
  for (std::size_t at = 0; at < command.size(); at += command.size() / 9) {
    slow.Send(command.substr(at, command.size() / 9));
    usleep(200'000);
  }
  site.Grant();
  CHECK(site.upstream(0).Accept().Command().at(2) == "s");
  for (Peer& peer : stalled) CHECK(peer.Line() == "-ERR Protocol error: command not finished in time\r\n");
  const std::string rest =
      std::string(4'000'000, 'x') + "\r\n";  // the reservation is free: what waited is read
  for (std::size_t at = 0; at < rest.size(); usleep(500)) {
    at += waiting.SendSome(std::string_view(rest).substr(at));
  }
  CHECK(waiting.Line() == "-ERR bad customer\r\n");
}

TEST_CASE("sound clients are served during a flood of unfinished commands, and a shutdown ends it") {
  Site site(1, {{"limits", {{"memory_mb", 24}, {"sockets", 96}}}});  // of which clients get fifty
  site.Start(1);
  std::vector<Peer> flood;
  const auto more = [&](int count) {
    for (int i = 0; i < count; ++i) {
      flood.push_back(site.Client());
      if (i % 2 == 0) flood.back().SendSome("*4\r\n$8\r\nAPI.READ\r\n$16\r\n000");
    }
  };
  more(120);
  Peer slow = site.Client();
  const std::string command = Read("slow");
  slow.Send(command.substr(0, 50));
  std::optional<Peer> upstream;
  for (int i = 0; i < 6; ++i) {
    more(10);
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
  more(60);
  site.Terminate();
  CHECK(site.Wait() == 0);
}

}  // namespace
}  // namespace postspread
