// A client that reads slowly has two values in a row to come on one connection. The worker of the second one
// resets its connection in the middle of that value. Does the first value, which its worker has given whole,
// arrive whole?
#include "site.h"

using namespace review;

namespace {

constexpr int kClients = 6;
constexpr std::size_t kStep = 24 * 1024;  // bytes that a client reads at a time
constexpr double kPause = 0.05;

std::string Value(const std::string& id, std::size_t size) {
  std::string out;
  while (out.size() < size) out += id + " ";
  out.resize(size);
  return out;
}

struct SlowClient {
  std::shared_ptr<Connection> connection;
  std::string first_id, second_id;
  std::size_t first_size = 0;
  bool is_closed = false, is_judged = false, is_whole = false;
};

}  // namespace

int main() {
  Begin();
  Loop loop;
  Discovery discovery(loop);
  Counter counter(loop);
  Worker one(loop, "s-0", 0), two(loop, "s-1", 0);
  std::vector<SlowClient> clients(kClients);
  for (Worker* worker : {&one, &two}) {
    worker->on_request = [&, worker](const Worker::Request& request) {
      for (const SlowClient& client : clients) {
        if (request.id == client.first_id) {
          Record("%s gives the whole value of %s, %zu bytes", worker->name.c_str(), request.id.c_str(),
                 client.first_size);
          request.connection->Send(Served(Value(request.id, client.first_size)));
        }
        if (request.id != client.second_id) continue;
        const std::string answer = Served(Value(request.id, 200'000));
        if (!HasTrouble()) {
          request.connection->Send(answer);
          continue;
        }
        request.connection->Send(answer.substr(0, 1'000));
        loop.After(0.1, [worker, connection = request.connection, id = request.id] {
          Record("%s resets its connection in the middle of the value of %s", worker->name.c_str(),
                 id.c_str());
          connection->Reset();
        });
      }
    };
  }
  discovery.SetList({one.Entry("Ready"), two.Entry("Ready")});
  Options options;
  options.classes = {{"calendar-read", 8, 30, "safe"}};
  Gateway gateway(loop, options, discovery, counter);
  gateway.AwaitReady();

  int judged = 0, cut = 0;
  for (int i = 0; i < kClients; ++i) {
    SlowClient& client = clients[static_cast<std::size_t>(i)];
    client.first_id = NewId();
    client.second_id = NewId();
    client.first_size = 600'000 + static_cast<std::size_t>(i) * 11'000;
    client.connection = Dial(loop, gateway.port(), 16 * 1024);
    client.connection->SetReading(false);
    client.connection->on_close = [&client](Connection&) { client.is_closed = true; };
    Record("client %d sends %s and %s, reads %zu bytes each %.2f s", i, client.first_id.c_str(),
           client.second_id.c_str(), kStep, kPause);
    client.connection->Send(ReadCommand(client.first_id, "calendar-read", 30'000) +
                            ReadCommand(client.second_id, "calendar-read", 30'000));
  }
  const double until = Now() + 60;
  while (judged < kClients && Now() < until) {
    loop.Run(kPause);
    for (SlowClient& client : clients) {
      if (client.is_judged) continue;
      if (client.connection->is_open()) client.connection->ReadSome(kStep);
      const std::string expected = Bulk(Value(client.first_id, client.first_size));
      client.is_whole = client.connection->in.starts_with(expected);
      if (!client.is_whole && !client.is_closed) continue;
      client.is_judged = true;
      ++judged;
      cut += client.is_whole ? 0 : 1;
      Record("client %d got %zu of the %zu bytes of the answer to %s%s",
             static_cast<int>(&client - clients.data()),
             std::min(client.connection->in.size(), expected.size()), expected.size(),
             client.first_id.c_str(),
             client.is_whole ? "" : ", then the gateway closed the connection: CUT OFF");
    }
  }
  return End(cut > 0 || judged < kClients,
             std::to_string(cut) + " of " + std::to_string(kClients) + " whole values were cut off");
}
