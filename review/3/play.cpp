// Case 3: clients that stop in the middle of a long write keep others' whole requests from being read.
//
// One gateway with 192 MB and 1,024 descriptors, and nine workers. 100 bad clients each write the head of a
// schedule-change of 4,000,000 bytes and 100,000 bytes of its body, stop there and stay. Half a second later
// ten sound clients, one each 0.2 s, each send one schedule-change of 110,000 bytes, whole and at once. The
// gateway's machine has acknowledged their last byte. Each is owed its final answer within d and half a
// second. With TROUBLE=0 the bad clients stay away.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "../rig/rig.h"

namespace {

using namespace rig;

constexpr int kWorkers = 9;
constexpr int kBadClients = 100;
constexpr std::size_t kBadBody = 4'000'000, kBadSent = 100'000;
constexpr int kSoundClients = 10;
constexpr std::size_t kSoundBody = 110'000;
constexpr milliseconds kDeadline{8'000};  // d of the requests, the class's HardLimit
constexpr milliseconds kSlack{500};       // "Up to half a second after its time it only earns nothing"
constexpr milliseconds kHeadStart{500}, kBetweenSound{200};

class Play {
 public:
  Play(const std::string& folder, const std::string& record)
      : folder_(folder), record_(record), discovery_(loop_), counter_(loop_) {}

  int Run() {
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<Listener>(loop_, [this, i](Connection& c) { Serve(i, c); }));
      discovery_.workers.push_back(RosterEntry(i, workers_.back()->port()));
    }
    gateway_ =
        std::make_unique<Gateway>(folder_, GatewayOptions{.peer_ports = PeerPorts(3)}, discovery_, counter_);
    if (!gateway_->AwaitReady(loop_, milliseconds(30'000))) return CannotRun("the gateway is not ready");
    record_.Line(std::string("gateway ready; TROUBLE is ") + (Trouble() ? "on" : "off"));
    if (Trouble()) StartBadClients();
    loop_.Sleep(kHeadStart);
    for (int i = 0; i < kSoundClients; ++i) {
      StartSoundClient(i);
      loop_.Sleep(kBetweenSound);
    }
    loop_.Sleep(kDeadline + kSlack + milliseconds(200));
    int status = 0;
    if (gateway_->Ended(status)) return CannotRun("the gateway has ended");
    int taken = 0, lost = 0;
    for (const auto& client : sound_) {
      taken += client->taken;
      lost += client->taken && !client->answered_in_time;
    }
    record_.Line("sound requests taken " + std::to_string(taken) + " of " + std::to_string(kSoundClients) +
                 ", with no final answer within d and half a second " + std::to_string(lost) +
                 "; bad clients ended " + std::to_string(bad_ended_));
    if (taken == 0) return CannotRun("no sound request was taken");
    record_.Line(lost > 0 ? "the rule was broken" : "the rule held");
    return lost > 0 ? kBroken : kHeld;
  }

 private:
  struct Client {
    std::string id;
    ConnectionPtr connection;
    Clock::time_point sent_at;
    bool taken = false, answered_in_time = false;
  };

  int CannotRun(const std::string& why) {
    record_.Line("can't run: " + why);
    return kCannotRun;
  }

  void Serve(int worker, Connection& connection) {
    std::vector<std::string> parts;
    while (TakeCommand(connection.in, parts) == Parse::kComplete) {
      if (parts[0] != "API.WRITE") {
        connection.Send("-ERR unknown\r\n");
        continue;
      }
      record_.Line("worker s-" + std::to_string(worker) + " gets " + parts[2]);
      loop_.After(milliseconds(200), [this, worker, number = connection.number, id = parts[2]] {
        if (const ConnectionPtr to = workers_[static_cast<std::size_t>(worker)]->Find(number)) {
          to->Send(Served("value of " + id));
        }
      });
    }
  }

  static std::string Head(int customer, const std::string& id, std::size_t body) {
    return "*5\r\n" + Bulk("API.WRITE") + Bulk(Customer(customer)) + Bulk(id) +
           Bulk("c=schedule-change,t=city,d=" + std::to_string(kDeadline.count()) +
                ",k=" + std::to_string(customer) + ",units=1,spread=3,first=0") +
           "$" + std::to_string(body) + "\r\n";
  }

  void StartBadClients() {
    record_.Line(std::to_string(kBadClients) + " bad clients connect");
    for (int i = 0; i < kBadClients; ++i) {
      bad_.push_back(Connect(
          loop_, gateway_->port(), [](Connection&) {}, [this](Connection&, const char*) { ++bad_ended_; }));
      bad_.back()->Send(Head(100'000 + i, "bad" + std::to_string(i), kBadBody) + std::string(kBadSent, 'x'));
    }
  }

  void StartSoundClient(int number) {
    auto client = std::make_shared<Client>();
    client->id = "sound" + std::to_string(number);
    client->sent_at = Clock::now();
    client->connection = Connect(
        loop_, gateway_->port(),
        [this, client = client.get()](Connection& c) {
          char kind = 0;
          std::string text;
          if (TakeAnswer(c.in, kind, text) != Parse::kComplete) return;
          const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - client->sent_at);
          client->answered_in_time = took <= kDeadline + kSlack;
          record_.Line(client->id + " gets " + (kind + text) + " after " + std::to_string(took.count()) +
                       " ms");
        },
        [this, client = client.get()](Connection&, const char* how) {
          record_.Line(client->id + ": connection " + how);
        });
    client->connection->Send(Head(number, client->id, kSoundBody) + std::string(kSoundBody, 'b') + "\r\n");
    record_.Line(client->id + " sends its request whole, d=" + std::to_string(kDeadline.count()));
    sound_.push_back(client);
    loop_.After(milliseconds(150), [this, client = client.get()] { CheckTaken(*client); });
    loop_.After(kDeadline + kSlack, [this, client = client.get()] {
      if (client->taken && !client->answered_in_time) {
        record_.Line("LOST: " + client->id + " has no final answer half a second after its time");
      }
    });
  }
  // Taken for sure: the gateway's machine has acknowledged the last byte.
  void CheckTaken(Client& client) {
    int unacknowledged = -1;
    if (client.connection->open()) ioctl(client.connection->fd(), SIOCOUTQ, &unacknowledged);
    client.taken = client.answered_in_time || (client.connection->unsent() == 0 && unacknowledged == 0);
    record_.Line(client.id + (client.taken ? ": its last byte is acknowledged by the gateway's machine"
                                           : ": its last byte is not acknowledged yet; it is not counted"));
  }

  const std::string folder_;
  Record record_;
  Loop loop_;
  Discovery discovery_;
  Counter counter_;
  std::vector<std::unique_ptr<Listener>> workers_;
  std::unique_ptr<Gateway> gateway_;
  std::vector<ConnectionPtr> bad_;
  std::vector<std::shared_ptr<Client>> sound_;
  int bad_ended_ = 0;
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
