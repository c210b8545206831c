// Case 3: a crowd of clients that stop in the middle of a write.
//
// One gateway with 32 MB and 1,024 descriptors, nine workers, and 20 reads a second, each on a new
// connection. Over five seconds 2,000 further clients connect; each writes the head of a schedule-change and
// 60,000 bytes of its body of 64 KiB, stops there and stays. The platform's stand-in reads the gateway's
// memory every 10 ms and kills it once that is over its limit. With TROUBLE=0 the crowd stays away.
#include "../rig/rig.h"

namespace {

using namespace rig;

constexpr int kWorkers = 9;
constexpr int kMemoryMb = 32, kSockets = 1'024;
constexpr int kCrowd = 2'000;
constexpr std::size_t kBody = 65'536, kBodySent = 60'000;
constexpr milliseconds kStep{10}, kCalm{2'000}, kCrowdTime{5'000}, kAfter{4'000};
constexpr milliseconds kBetweenReads{50};

class Play {
 public:
  Play(const std::string& folder, const std::string& record)
      : folder_(folder), record_(record), discovery_(loop_), counter_(loop_) {}

  int Run() {
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<Listener>(loop_, [this, i](Connection& c) { Serve(i, c); }));
      discovery_.workers.push_back(RosterEntry(i, workers_.back()->port()));
    }
    gateway_ = std::make_unique<Gateway>(
        folder_, GatewayOptions{.memory_mb = kMemoryMb, .sockets = kSockets, .peer_ports = PeerPorts(3)},
        discovery_, counter_);
    if (!gateway_->AwaitReady(loop_, milliseconds(30'000))) return CannotRun("the gateway is not ready");
    record_.Line(std::string("gateway ready; TROUBLE is ") + (Trouble() ? "on" : "off") + "; memory in use " +
                 std::to_string(MemoryKb()) + " kB");
    SendReads();
    WatchMemory();
    loop_.Sleep(kCalm);
    record_.Line("before the crowd: served " + std::to_string(served_) + ", memory " +
                 std::to_string(MemoryKb()) + " kB, most so far " + std::to_string(peak_kb_) + " kB");
    if (served_ < 10) return CannotRun("the reads are not served");
    if (Trouble()) Crowd();
    loop_.Sleep(kCrowdTime + kAfter);
    sending_ = false;
    record_.Line("most memory " + std::to_string(peak_kb_) + " kB of " + std::to_string(kMemoryMb * 1024) +
                 " kB; crowd connections " + std::to_string(crowd_.size()) + ", ended " +
                 std::to_string(crowd_ended_));
    record_.Line("reads served " + std::to_string(served_) + ", refused or failed " + std::to_string(other_) +
                 ", cut with no answer " + std::to_string(cut_));
    record_.Line(killed_ ? "the rule was broken" : "the rule held");
    return killed_ ? kBroken : kHeld;
  }

 private:
  int CannotRun(const std::string& why) {
    record_.Line("can't run: " + why);
    return kCannotRun;
  }

  // What the process itself has allocated; pages of its program and libraries don't count.
  [[nodiscard]] long MemoryKb() const { return gateway_->StatusKb("RssAnon"); }
  void WatchMemory() {
    const long now = MemoryKb();
    if (now > peak_kb_) peak_kb_ = now;
    if (!killed_ && now > kMemoryMb * 1024) {
      killed_ = true;
      sending_ = false;
      record_.Line("OVER THE LIMIT: memory " + std::to_string(now) + " kB of " +
                   std::to_string(kMemoryMb * 1024) + " kB, with " +
                   std::to_string(crowd_.size() - static_cast<std::size_t>(crowd_ended_)) +
                   " clients of the crowd connected; the platform kills the gateway");
      gateway_->Kill();
    }
    loop_.After(kStep, [this] { WatchMemory(); });
  }

  void Serve(int worker, Connection& connection) {
    std::vector<std::string> parts;
    while (TakeCommand(connection.in, parts) == Parse::kComplete) {
      if (parts[0] != "API.READ") {
        connection.Send("-ERR unknown\r\n");
        continue;
      }
      loop_.After(milliseconds(120), [this, worker, number = connection.number, id = parts[2]] {
        if (const ConnectionPtr to = workers_[static_cast<std::size_t>(worker)]->Find(number)) {
          to->Send(Served("value of " + id));
        }
      });
    }
  }

  void SendReads() {
    if (!sending_) return;
    const int number = next_++;
    const std::string id = "id" + std::to_string(100'000 + number);
    auto answered = std::make_shared<bool>(false);
    reads_.push_back(Connect(
        loop_, gateway_->port(),
        [this, id, answered](Connection& c) {
          char kind = 0;
          std::string text;
          if (TakeAnswer(c.in, kind, text) != Parse::kComplete) return;
          *answered = true;
          ++(kind == '$' && text == "value of " + id ? served_ : other_);
          c.Close();
        },
        [this, id, answered](Connection&, const char* how) {
          if (*answered) return;
          ++cut_;
          record_.Line("read " + id + " gets no answer: connection " + how);
        }));
    reads_.back()->Send(Command(
        {"API.READ", Customer(number), id, "c=calendar-read,t=city,d=3000,units=1,spread=3,first=0"}));
    loop_.After(kBetweenReads, [this] { SendReads(); });
  }

  void Crowd() {
    record_.Line("the crowd comes");
    for (int i = 0; i < kCrowd; ++i) {
      loop_.After(kCrowdTime * i / kCrowd, [this, i] {
        if (killed_) return;
        crowd_.push_back(Connect(
            loop_, gateway_->port(), [](Connection&) {},
            [this](Connection&, const char*) { ++crowd_ended_; }));
        std::string half =
            "*5\r\n" + Bulk("API.WRITE") + Bulk(Customer(100'000 + i)) + Bulk("crowd" + std::to_string(i)) +
            Bulk("c=schedule-change,t=city,d=8000,k=" + std::to_string(i) + ",units=1,spread=3,first=0") +
            "$" + std::to_string(kBody) + "\r\n";
        half.append(kBodySent, 'b');
        crowd_.back()->Send(half);
      });
    }
  }

  const std::string folder_;
  Record record_;
  Loop loop_;
  Discovery discovery_;
  Counter counter_;
  std::vector<std::unique_ptr<Listener>> workers_;
  std::unique_ptr<Gateway> gateway_;
  std::vector<ConnectionPtr> reads_, crowd_;
  long peak_kb_ = 0;
  int next_ = 0, served_ = 0, other_ = 0, cut_ = 0, crowd_ended_ = 0;
  bool sending_ = true, killed_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCannotRun;
  try {
    AllowDescriptors(8'192);
    return Play(argv[1], argv[2]).Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCannotRun;
  }
}
