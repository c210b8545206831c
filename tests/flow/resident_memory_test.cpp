// Tests that memory whose reservation has ended is given back to the system: the resident bytes of the
// gateway program are held against what its parts have reserved.
#include <algorithm>
#include <string>
#include <vector>

#include "partners/sanitizers.h"
#include "partners/slow_port.h"
#include "partners/write_request.h"

namespace postspread {
namespace {

using namespace site;

constexpr std::size_t kMegabyte = std::size_t{1'024} * 1'024;
constexpr int kMemoryMb = 32;
// The process may have this much more resident memory than its parts have reserved, beyond what it has at
// rest: a sixteenth of the limit. Each test below frees several times as much.
constexpr double kMaxExcess = 2.0 * kMegabyte;

json Changes(int memory_mb = kMemoryMb) {
  json out = WriteSettings(memory_mb, /*sockets=*/512);
  out["ops"] = true;
  return out;
}

// Compares the resident memory of a gateway with what its parts have reserved.
class MemoryObserver {
 public:
  explicit MemoryObserver(Site& site) : site_(site), at_rest_(Unreserved()) {}

  // Returns the resident bytes that no part has reserved, beyond those at rest, once the allocator has
  // trimmed what is free.
  [[nodiscard]] double Excess() const {
    double least = Unreserved();
    for (int i = 0; i < kSamples; ++i) {
      usleep(kSampleIntervalUs);
      least = std::min(least, Unreserved());
    }
    return partners::kHasSanitizers ? 0 : least - at_rest_;
  }

 private:
  // The samples cover several of the gateway's trim intervals.
  static constexpr int kSamples = 8;
  static constexpr useconds_t kSampleIntervalUs = 100'000;

  [[nodiscard]] double Unreserved() const {
    double out = site_.Metric("svc_resident_bytes");
    for (const char* part : {"clients", "upstreams", "requests", "large_requests", "commands", "responses"}) {
      out -= site_.Metric("svc_memory_bytes{part=\"" + std::string(part) + "\"}");
    }
    return out;
  }

  Site& site_;
  double at_rest_;
};

// Connections that have sent large commands and stay open.
class LargeCommands {
 public:
  explicit LargeCommands(Site& site) : site_(site) {}

  // Sends commands that are read whole and rejected.
  void SendInvalid() {
    for (int i = 0; i < 48; ++i) {
      const WriteRequest request{.id = "a", .body_size = kMegabyte, .customer = "no customer"};
      SendAll(clients_.emplace_back(site_.Client()), request.Encode());
      CHECK(clients_.back().Line() == "-ERR bad customer\r\n");
    }
  }
  // Sends commands without their ends, until they are given up.
  void Stall() {
    const WriteRequest request{.id = "a", .body_size = kMegabyte + kMegabyte / 10};
    for (int round = 0; round < 3; ++round) {
      const std::size_t first = clients_.size();
      for (int i = 0; i < 7; ++i) {
        SendAll(clients_.emplace_back(site_.Client()), request.Head() + std::string(kMegabyte, 'b'));
      }
      for (std::size_t i = first; i < clients_.size(); ++i) {
        CHECK(clients_[i].Line() == "-ERR Protocol error: command not finished in time\r\n");
      }
    }
  }
  // Sends commands that are skipped for lack of memory after a part of them was read, in order to find out
  // whether their clients have left: each waits behind a pending request.
  void ExhaustMemory() {
    for (int round = 0; round < 3; ++round) {
      const std::string suffix = std::to_string(round);
      const std::string command = WriteRequest{.id = "first" + suffix, .body_size = kBody}.Encode();
      Peer first = site_.Client();
      SendAll(first, std::string_view(command).substr(0, kBegun));
      std::vector<Site::InFlightRequest> others;
      others.reserve(3);
      for (int i = 0; i < 3; ++i) others.push_back(BeginBehindRequest(suffix + "-" + std::to_string(i)));
      site_.Ping();
      SendAll(first, std::string_view(command).substr(kBegun));
      Peer upstream = site_.upstream(0).Accept();
      CHECK(upstream.Command().at(2) == "first" + suffix);
      // The first request holds its memory, so at most one of the others can go on.
      for (Site::InFlightRequest& other : others) other.client.SendSome(std::string(kBody / 2, 'b'));
      AwaitRejections(2 * (round + 1));
      for (Site::InFlightRequest& other : others) {
        other.Serve();
        clients_.push_back(std::move(other.client));
      }
      upstream.Send(kValue);
      CHECK(first.Until("hi\r\n") == "$2\r\nhi\r\n");
    }
  }
  // Sends more commands than a connection may have pending, which are read behind one for which the read
  // buffer has grown.
  void Pipeline() {
    for (int i = 0; i < 200; ++i) {
      std::string commands;
      for (int k = 0; k < 20; ++k) {
        commands +=
            WriteRequest{.id = std::to_string(i) + "-" + std::to_string(k), .body_size = 33'000}.Encode();
      }
      clients_.emplace_back(site_.Client()).SendSome(commands);
    }
  }

 private:
  static constexpr std::size_t kBody = 4'000'000;  // two of them fit into the memory for large requests
  static constexpr std::size_t kBegun = 900'000;

  Site::InFlightRequest BeginBehindRequest(const std::string& id) {
    Peer client = site_.Client();
    client.Send(Read("small" + id));
    Peer upstream = site_.upstream(0).Accept();
    CHECK(upstream.Command().at(2) == "small" + id);
    const std::string command = WriteRequest{.id = "large" + id, .body_size = kBody}.Encode();
    SendAll(client, std::string_view(command).substr(0, kBegun));
    return {std::move(client), std::move(upstream)};
  }
  void AwaitRejections(int count) const {
    for (int waited = 0; waited < kTimeoutMs; waited += 20) {
      if (site_.Metric("svc_refusals{reason=\"no_memory\"}") >= count) return;
      usleep(20'000);
    }
    FAIL("the commands that wait for memory are not rejected");
  }

  Site& site_;
  std::vector<Peer> clients_;
};

// Guards against the buffers of large commands that stayed with their connections after the commands had
// ended: the process passed its limit although its budgets were free.
TEST_CASE("given connections that sent large commands, only reserved memory stays resident") {
  Site site(1, Changes());
  site.Start(1);
  const MemoryObserver observer(site);
  LargeCommands commands(site);
  SECTION("when they are rejected") { commands.SendInvalid(); }
  SECTION("when they stall") { commands.Stall(); }
  SECTION("when they are skipped") { commands.ExhaustMemory(); }
  SECTION("when they are read behind pending ones") { commands.Pipeline(); }
  CHECK(observer.Excess() < kMaxExcess);
}

// Guards against attempts that kept the message of a request whose client had left, while they waited for a
// connection.
TEST_CASE(
    "given clients that leave before their large requests are sent, only reserved memory stays resident") {
  SlowPort slow;
  json changes = Changes();
  changes["settings"]["Limits"] = {{"Cancelling", false}};
  Site site(1, changes);
  site.Start(0, json::array({{{"name", "slow"}, {"address", slow.address()}, {"status", "Ready"}}}));
  const MemoryObserver observer(site);
  for (int i = 0; i < 24; ++i) {
    Peer client = site.Client();
    SendAll(client, WriteRequest{.id = std::to_string(i), .body_size = 2 * kMegabyte}.Encode());
    slow.AwaitConnects(i + 1);
    client.Close();
    site.Ping();
  }
  CHECK(observer.Excess() < kMaxExcess);
}

// Guards against the text of discovery's last response, which stayed with the parser.
TEST_CASE("given long lists of discovery, sound or malformed, only reserved memory stays resident") {
  Site site(1, Changes(/*memory_mb=*/192));
  site.Start(1);
  const MemoryObserver observer(site);
  json list = Site::List(false, json::array());
  list["padding"] = std::string(3 * kMegabyte, 'p');
  const bool is_malformed = GENERATE(false, true);
  if (is_malformed) list["index"] = "none";
  const std::string body = list.dump();
  SendAll(site.watch(),
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  if (is_malformed) {
    CHECK(site.watch().Ended());
  } else {
    CHECK(site.watch().Until("\r\n\r\n").find("GET /api/targets?since=41&timeout_ms=") == 0);
  }
  CHECK(observer.Excess() < kMaxExcess);
}

}  // namespace
}  // namespace postspread
