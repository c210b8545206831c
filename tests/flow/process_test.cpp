// Large values and slow partners, with the real program: what passes through it, and what it holds meanwhile.
#include <algorithm>
#include <random>

#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

constexpr std::size_t kMegabyte = 1 << 20;

std::string Value(std::size_t size, unsigned seed) {
  std::mt19937 random(seed);
  std::string body(size, ' ');
  for (char& c : body) c = static_cast<char>(random());
  std::string out;
  resp::AppendBulk(body, out);
  return out;
}
std::string Answer(const std::string& value) { return "*3\r\n" + value + "$-1\r\n$9\r\nutil=0.25\r\n"; }

TEST_CASE("a value cut anywhere arrives byte for byte, while it still comes") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  std::mt19937 random(21);
  std::optional<Peer> hop;
  for (const std::size_t size : {65'536u, 65'537u, 300'000u, 4'194'304u}) {
    client.Send(Read("v" + std::to_string(size)));
    site.Grant();
    if (!hop) hop.emplace(site.hop(0).Accept());  // and is used again after each
    hop->Command();
    const std::string value = Value(size, static_cast<unsigned>(size));
    const std::string answer = Answer(value);
    std::string got;
    for (std::size_t at = 0; at < answer.size();) {
      const std::size_t most = random() % 3 == 0 ? 1 + random() % 5 : 1 + random() % 200'000;
      at += hop->SendSome(std::string_view(answer).substr(at, most));
      // What has come of a large value is on its way to the client before the rest is there.
      if (size > 65'536 && at > 70'000 && got.empty()) got = client.Some(1 << 20);
      while (client.HasMore()) got += client.Some(1 << 20);
    }
    while (got.size() < value.size()) got += client.Some(value.size() - got.size());
    CHECK((got == value));
  }
}

TEST_CASE("many large answers to clients that read slowly stay within a bound") {
  Site site(1, {{"limits", {{"memory_mb", 48}, {"sockets", 256}}}});
  site.Start(1);
  const std::string value = Value(4 * kMegabyte, 5);
  const std::string answer = Answer(value);
  constexpr int kClients = 24;  // twice the limit, if it were held
  std::vector<Peer> clients, hops;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(site.Client());
    clients.back().Send(Read("m" + std::to_string(i)));
    site.Grant();
    hops.push_back(site.hop(0).Accept());
    hops.back().Command();
  }
  // Next hops write as fast as they can; clients read a little in turn.
  std::vector<std::size_t> sent(kClients, 0), got(kClients, 0);
  std::vector<bool> same(kClients, true);
  for (bool more = true; more;) {
    more = false;
    for (std::size_t i = 0; i < kClients; ++i) {
      if (sent[i] < answer.size()) sent[i] += hops[i].SendSome(std::string_view(answer).substr(sent[i]));
      if (got[i] >= value.size()) continue;
      more = true;
      const std::string part = clients[i].Some(32 * 1024);
      REQUIRE_FALSE(part.empty());
      same[i] = same[i] && value.compare(got[i], part.size(), part) == 0;
      got[i] += part.size();
    }
  }
  CHECK(std::all_of(same.begin(), same.end(), [](bool x) { return x; }));
  // The sanitizers' own memory is not the program's.
#if !defined(__SANITIZE_ADDRESS__)
  CHECK(site.PeakMemory() < 24 * kMegabyte);
#endif
}

TEST_CASE("a next hop that dies in mid-value: the client sees that it is not whole, and nothing follows") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("a") + Read("b"));
  site.Grant();
  site.Grant();
  Peer first = site.hop(0).Accept();
  Peer second = site.hop(0).Accept();
  if (first.Command().at(2) != "a") std::swap(first, second);
  const std::string value = Value(1 * kMegabyte, 6);
  second.Send(kValue);
  const std::string begun = "*3\r\n" + value.substr(0, 200'000);
  first.Send(begun);
  std::string got;
  while (got.size() < 150'000) got += client.Some(1 << 20);
  SECTION("it is reset") { first.Reset(); }
  SECTION("it closes") { first.Close(); }
  SECTION("its last line end is none") { first.Send(value.substr(200'000, value.size() - 200'002) + "xx"); }
  for (std::string part; !(part = client.Some(1 << 20)).empty();) got += part;
  CHECK(got.size() < value.size());
  CHECK(value.compare(0, got.size(), got) == 0);
}

TEST_CASE("a client that goes in mid-value takes its attempt along") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("a"));
  site.Grant();
  Peer hop = site.hop(0).Accept();
  hop.Command();
  hop.Send("*3\r\n" + Value(1 * kMegabyte, 7).substr(0, 100'000));
  client.Close();
  CHECK(hop.Ended());
}

TEST_CASE("a large value behind another answer waits for its turn and then goes on") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send(Read("a") + Read("b"));
  site.Grant();
  site.Grant();
  Peer first = site.hop(0).Accept();
  Peer second = site.hop(0).Accept();
  if (first.Command().at(2) != "a") std::swap(first, second);
  const std::string value = Value(200'000, 8);
  second.Send(Answer(value));
  Peer other = site.Client();
  other.Send(Command({"PING"}));
  other.Line();
  CHECK_FALSE(client.HasMore());
  first.Send(kValue);
  CHECK(client.Until("hi\r\n") == "$2\r\nhi\r\n");
  std::string got;
  while (got.size() < value.size()) got += client.Some(value.size() - got.size());
  CHECK((got == value));
}

TEST_CASE("large bodies are read under the budget, each in its turn, and pass on unchanged") {
  const json changes = {
      {"limits", {{"memory_mb", 32}, {"sockets", 256}}},
      {"settings",
       {{"Classes",
         {{{"Name", "order"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}}}}}}};
  Site site(1, changes);
  site.Start(1);
  const std::string body(4 * kMegabyte, 'b');
  constexpr int kClients = 8;  // 32 MB of bodies under a limit of 32 MB
  std::vector<Peer> clients;
  std::vector<std::string> commands;
  std::vector<std::size_t> sent(kClients, 0);
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(site.Client());
    commands.push_back(Command({"API.WRITE", "0000000000000001", "w" + std::to_string(i),
                                "c=order,t=team,d=60000,units=1,spread=2,first=0", body}));
  }
  Peer quick = site.Client();  // small commands do not stand in that line
  int served = 0;
  std::vector<Peer> hops;
  const auto write_all = [&] {
    for (std::size_t i = 0; i < kClients; ++i) {
      if (sent[i] < commands[i].size()) {
        sent[i] += clients[i].SendSome(std::string_view(commands[i]).substr(sent[i]));
      }
    }
  };
  write_all();
  quick.Send(Command({"PING"}));
  CHECK(quick.Line() == "+PONG\r\n");
  while (served < kClients) {
    while (!site.calls().HasMore()) write_all(), usleep(500);
    site.Grant();
    if (hops.empty()) hops.push_back(site.hop(0).Accept());
    Peer& hop = hops.back();
    const auto command = hop.Command();
    CHECK(command.size() == 5);
    CHECK((command.at(4) == body));
    hop.Send("*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
    const std::size_t who = static_cast<std::size_t>(command.at(2).at(1) - '0');
    CHECK(clients[who].Until("ok\r\n") == "$2\r\nok\r\n");
    ++served;
  }
#if !defined(__SANITIZE_ADDRESS__)
  CHECK(site.PeakMemory() < 32 * kMegabyte);
#endif
}

TEST_CASE("a client may take two seconds for a head; one that stops is told, and its room goes to the next") {
  Site site(1, {{"limits", {{"memory_mb", 32}}}});
  site.Start(1);
  const std::string head = "*5\r\n$9\r\nAPI.WRITE\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$4000000\r\n";
  Peer stopped = site.Client(), another = site.Client();
  stopped.Send(head + "xx");
  another.Send(head + "xx");  // two of 4 MB fill the budget of 8: a third waits
  Peer waiting = site.Client();
  waiting.Send(head);
  Peer slow = site.Client();
  const std::string command = Read("s");
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t at = 0; at < command.size(); at += command.size() / 9) {
    slow.Send(command.substr(at, command.size() / 9));
    usleep(200'000);
  }
  CHECK(std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(1'800));
  site.Grant();
  Peer hop = site.hop(0).Accept();
  CHECK(hop.Command().at(2) == "s");
  hop.Send(kValue);
  CHECK(slow.Until("hi\r\n") == "$2\r\nhi\r\n");
  CHECK(stopped.Line().find("-ERR Protocol error: command not finished in time") == 0);
  CHECK(another.Line().find("-ERR Protocol error: command not finished in time") == 0);
  const std::string rest(4'000'000, 'x');  // the room is free: what waited is read now
  std::size_t at = 0;
  while (at < rest.size()) {
    const std::size_t now = waiting.SendSome(std::string_view(rest).substr(at));
    at += now;
    if (now == 0) usleep(1'000);
  }
  waiting.Send("\r\n");
  CHECK(waiting.Line() == "-ERR bad customer\r\n");
}

TEST_CASE("true clients are served among a crowd that never finishes, slow ones too, and a stop ends it") {
  const int sockets = 96;  // of which clients get some thirty
  Site site(1, {{"limits", {{"memory_mb", 24}, {"sockets", sockets}}}});
  site.Start(1);
  std::vector<Peer> crowd;
  const auto more = [&](int count) {
    for (int i = 0; i < count; ++i) {
      crowd.push_back(site.Client());
      if (i % 2 == 0) crowd.back().SendSome("*4\r\n$8\r\nAPI.READ\r\n$16\r\n000");
    }
  };
  more(60);
  Peer slow = site.Client();
  const std::string command = Read("slow");
  std::optional<Peer> hop;
  for (std::size_t part = 0; part < 10; ++part) {
    const std::size_t size = command.size() / 10 + 1;
    slow.Send(command.substr(part * size, size));
    more(20);
    Peer quick = site.Client();
    quick.Send(Read("q" + std::to_string(part)));
    site.Grant();
    if (!hop) hop.emplace(site.hop(0).Accept());
    if (part == 9) {  // the slow one's last part came just before
      const std::string first = hop->Command().at(2);
      hop->Send(kValue);
      site.Grant();
      CHECK((first == "slow" || first == "q9"));
      if (!site.hop(0).Asked()) {
        hop->Command();
        hop->Send(kValue);
      } else {
        Peer second = site.hop(0).Accept();
        second.Command();
        second.Send(kValue);
        quick.Until("hi\r\n");
        slow.Until("hi\r\n");
      }
    } else {
      CHECK(hop->Command().at(2) == "q" + std::to_string(part));
      hop->Send(kValue);
    }
    if (part < 9) CHECK(quick.Until("hi\r\n") == "$2\r\nhi\r\n");
    usleep(40'000);
  }
  more(60);
  site.Terminate();
  CHECK(site.Wait() == 0);
}

}  // namespace
}  // namespace postspread
