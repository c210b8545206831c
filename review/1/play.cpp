// Case 1: a copy of a long keyed request whose last byte reaches its worker after the window for repeats.
//
// Three gateways, fifteen workers in five pods, and steady reads. One customer sends one long
// schedule-change. Its worker applies the change, and the three workers of that pod then fall silent: they
// keep their connections, read nothing and answer nothing. After the window they go on. With TROUBLE=0 they
// don't.
#include "../rig/rig.h"

namespace {

using namespace rig;

constexpr int kGateways = 3;
constexpr int kWorkers = 15;
constexpr int kWorkersPerPod = 3;  // a fifth of the workers
constexpr int kPodsPerHall = 2;
constexpr milliseconds kWindow{4'000};  // KeyTtl in the settings
constexpr milliseconds kSlack{50};      // "Each time limit is 50 ms longer."
constexpr milliseconds kSilence{4'600};
constexpr std::size_t kLongBody = 2'000'000;
constexpr int kReadsBefore = 150, kReadsAfter = 450;
constexpr milliseconds kBetweenReads{20};

struct Pod {
  struct Change {
    Clock::time_point first;  // when the first attempt came whole
    std::string first_by;
    int applied = 0;
  };
  std::map<std::string, Change> changes;  // by customer and key; its workers share them
  bool silent = false;
  std::vector<std::function<void()>> held;  // what its workers do once they go on
};

class Play {
 public:
  Play(const std::string& folder, const std::string& record)
      : folder_(folder), record_(record), discovery_(loop_), counter_(loop_) {}

  int Run() {
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<Listener>(loop_, [this, i](Connection& c) { Read(i, c); }));
      discovery_.workers.push_back(RosterEntry(i, workers_.back()->port(), kPodsPerHall));
    }
    const std::vector<int> peers = PeerPorts(kGateways);
    for (int rank = 0; rank < kGateways; ++rank) {
      gateways_.push_back(std::make_unique<Gateway>(
          folder_, GatewayOptions{.rank = rank, .key_ttl = kWindow, .peer_ports = peers}, discovery_,
          counter_));
    }
    for (const auto& gateway : gateways_) {
      if (!gateway->AwaitReady(loop_, milliseconds(30'000))) return CannotRun("a gateway is not ready");
    }
    record_.Line(std::string("gateways ready; TROUBLE is ") + (Trouble() ? "on" : "off"));
    SendReads(kReadsBefore);
    SendLongChange();
    SendReads(kReadsAfter);
    for (const auto& gateway : gateways_) {
      int status = 0;
      if (gateway->Ended(status)) return CannotRun("a gateway has ended");
    }
    if (!change_received_) return CannotRun("no worker got the long change");
    if (Trouble() && !went_on_) return CannotRun("the pod did not fall silent");
    record_.Line("served " + std::to_string(served_) + ", refused or failed " + std::to_string(other_));
    record_.Line(broken_ ? "the rule was broken" : "the rule held");
    return broken_ ? kBroken : kHeld;
  }

 private:
  int CannotRun(const std::string& why) {
    record_.Line("can't run: " + why);
    return kCannotRun;
  }

  // ---- Workers
  void Read(int worker, Connection& connection) {
    Pod& pod = pods_[worker / kWorkersPerPod];
    if (pod.silent) return Hold(worker, connection);
    std::vector<std::string> parts;
    while (!pod.silent && TakeCommand(connection.in, parts) == Parse::kComplete) {
      if (parts[0] == "API.WRITE") {
        Apply(worker, parts);
      } else if (parts[0] != "API.READ") {
        connection.Send("-ERR unknown\r\n");
        continue;
      }
      Answer(worker, connection.number, parts[2], milliseconds(parts[0] == "API.WRITE" ? 200 : 120));
    }
  }
  // Reads nothing more on this connection until the pod goes on.
  void Hold(int worker, Connection& connection) {
    connection.SetReading(false);
    pods_[worker / kWorkersPerPod].held.push_back([this, worker, number = connection.number] {
      const ConnectionPtr to = workers_[worker]->Find(number);
      if (to == nullptr) return;
      to->SetReading(true);
      Read(worker, *to);
    });
  }
  void Apply(int worker, const std::vector<std::string>& parts) {
    const std::string name =
        "worker s-" + std::to_string(worker) + " (pod " + std::to_string(worker / kWorkersPerPod) + ")";
    Pod& pod = pods_[worker / kWorkersPerPod];
    const std::string key = parts[1] + "/" + Field(parts[3], "k");
    Pod::Change& change = pod.changes[key];
    const auto now = Clock::now();
    const auto since = std::chrono::duration_cast<milliseconds>(now - change.first);
    const bool is_repeat = change.applied > 0 && since <= kWindow + kSlack;
    record_.Line(name + " got id " + parts[2] + " whole, key " + Field(parts[3], "k") +
                 ", d=" + Field(parts[3], "d") + ": " + (is_repeat ? "dropped as a repeat" : "applied"));
    if (is_repeat) return;
    const std::string first_by = std::exchange(change.first_by, name);
    change.first = now;
    if (++change.applied > 1) {
      broken_ = true;
      record_.Line("APPLIED TWICE: key " + Field(parts[3], "k") + " of id " + parts[2] + ", first by " +
                   first_by + " " + std::to_string(since.count()) + " ms before; the window is " +
                   std::to_string(kWindow.count()) + " ms");
    }
    if (parts[2] != long_id_ || change_received_) return;
    change_received_ = true;
    if (Trouble()) FallSilent(worker / kWorkersPerPod);
  }
  void Answer(int worker, std::uint64_t number, const std::string& id, milliseconds after) {
    loop_.After(after, [this, worker, number, id] {
      const auto send = [this, worker, number, id] {
        if (const ConnectionPtr to = workers_[worker]->Find(number)) to->Send(Served("value of " + id));
      };
      Pod& pod = pods_[worker / kWorkersPerPod];
      // Work that was stopped takes its time once more afterwards.
      if (!pod.silent) return send();
      pod.held.push_back([this, send] { loop_.After(milliseconds(150), send); });
    });
  }
  void FallSilent(int pod) {
    pods_[pod].silent = true;
    record_.Line("the three workers of pod " + std::to_string(pod) + " fall silent");
    loop_.After(kSilence, [this, pod] {
      record_.Line("the workers of pod " + std::to_string(pod) + " go on");
      went_on_ = true;
      pods_[pod].silent = false;
      const auto held = std::move(pods_[pod].held);
      pods_[pod].held.clear();
      for (const auto& each : held) each();
    });
  }

  // ---- Clients
  void SendReads(int count) {
    for (int i = 0; i < count; ++i) {
      Send("API.READ", "c=calendar-read,t=city,d=3000,units=1,spread=3,first=0", nullptr);
      loop_.Sleep(kBetweenReads);
    }
  }
  // The client sends it once, and never again.
  void SendLongChange() {
    const std::string body(kLongBody, 'b');
    long_id_ = Send("API.WRITE",
                    "c=schedule-change,t=city,d=8000,k=5c0f6e1a2b3d4c59,units=1,spread=3,first=0", &body);
    record_.Line("client sends the long change: id " + long_id_ + ", d=8000, " + std::to_string(kLongBody) +
                 " bytes");
  }
  std::string Send(const char* verb, const std::string& fields, const std::string* body) {
    const int number = next_++;
    const std::string id = "id" + std::to_string(100'000 + number);
    ConnectionPtr client = Connect(
        loop_, gateways_[static_cast<std::size_t>(number % kGateways)]->port(),
        [this, id](Connection& c) {
          char kind = 0;
          std::string text;
          while (TakeAnswer(c.in, kind, text) == Parse::kComplete) {
            ++(kind == '$' ? served_ : other_);
            if (id == long_id_) record_.Line("the long change's client gets " + (kind + text));
          }
        },
        [](Connection&, const char*) {});
    std::vector<std::string> parts{verb, Customer(number), id, fields};
    if (body != nullptr) parts.push_back(*body);
    client->Send(Command(parts));
    clients_.push_back(std::move(client));
    return id;
  }

  const std::string folder_;
  Record record_;
  Loop loop_;
  Discovery discovery_;
  Counter counter_;
  std::vector<std::unique_ptr<Listener>> workers_;
  std::map<int, Pod> pods_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<ConnectionPtr> clients_;
  std::string long_id_;
  int next_ = 0, served_ = 0, other_ = 0;
  bool change_received_ = false, went_on_ = false, broken_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCannotRun;
  try {
    AllowDescriptors(4'096);
    return Play(argv[1], argv[2]).Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCannotRun;
  }
}
