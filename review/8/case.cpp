// What does a large value that breaks off take along? Its worker resets its connection in the middle of it.
// Scene 1: a client reads slowly; before the broken value there is one that its worker has given whole.
// Scene 2: the broken value waits behind an earlier answer, and a write that has run stands behind it.
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

// Returns how many whole values were cut off.
int PlayValuesBefore() {
  Record("scene 1: a whole value before the broken one");
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
  Record("scene 1: %d of %d whole values were cut off", cut, kClients);
  return cut + kClients - judged;
}

// Returns how many requests have neither an answer nor a byte of one.
int PlayRequestsBehind() {
  Record("scene 2: requests that wait, before and behind the broken one");
  Loop loop;
  Discovery discovery(loop);
  Counter counter(loop);
  Worker one(loop, "s-0", 0), two(loop, "s-1", 0);
  const std::string ids[3] = {NewId(), NewId(), NewId()};
  const std::string large(200'000, 'v');
  bool has_run = false;
  for (Worker* worker : {&one, &two}) {
    worker->on_request = [&, worker](const Worker::Request& request) {
      Record("%s runs %s %s", worker->name.c_str(), request.verb.c_str(), request.id.c_str());
      if (request.id == ids[2]) has_run = true;
      if (request.id != ids[1]) {
        loop.After(request.id == ids[0] ? 1.0 : 0.2, [worker, request] {
          Record("%s answers %s", worker->name.c_str(), request.id.c_str());
          request.connection->Send(Served("value of " + request.id));
        });
        return;
      }
      const std::string answer = Served(large);
      request.connection->Send(HasTrouble() ? answer.substr(0, 1'000) : answer);
      if (!HasTrouble()) return;
      loop.After(0.4, [worker, connection = request.connection, id = request.id] {
        Record("%s resets its connection in the middle of the value of %s", worker->name.c_str(), id.c_str());
        connection->Reset();
      });
    };
  }
  discovery.SetList({one.Entry("Ready"), two.Entry("Ready")});
  Options options;
  options.classes = {{"calendar-read", 0.8, 3, "safe"}, {"event-signup", 2, 8, "unsafe"}};
  Gateway gateway(loop, options, discovery, counter);
  gateway.AwaitReady();
  const auto client = Dial(loop, gateway.port());
  Record("client sends %s, %s (reads) and %s (event-signup)", ids[0].c_str(), ids[1].c_str(), ids[2].c_str());
  client->Send(ReadCommand(ids[0], "calendar-read", 3'000) + ReadCommand(ids[1], "calendar-read", 3'000) +
               WriteCommand(ids[2], "event-signup", 8'000));
  const std::string first = Bulk("value of " + ids[0]), third = Bulk("value of " + ids[2]);
  loop.Run(9, [&] {
    return !client->is_open() || client->in.ends_with(third) || client->in.ends_with("-ERR failed\r\n");
  });
  Record("client got %zu bytes; connection %s", client->in.size(),
         client->is_open() ? "open" : "closed by the gateway");
  const bool has_first = client->in.starts_with(first);
  const std::size_t second_bytes = has_first ? client->in.size() - first.size() : 0;
  const bool has_third =
      client->in.ends_with(third) || (client->is_open() && client->in.ends_with("-ERR failed\r\n"));
  Record("answer to %s: %s; bytes after it: %zu; answer to %s: %s", ids[0].c_str(),
         has_first ? "yes" : "none", second_bytes, ids[2].c_str(), has_third ? "yes" : "none");
  const int unanswered = (has_first ? 0 : 1) + (second_bytes > 0 ? 0 : 1) + (has_run && !has_third ? 1 : 0);
  Record("scene 2: %d of 3 requests have no answer and not one byte of it", unanswered);
  return unanswered;
}

}  // namespace

int main() {
  Begin();
  const int cut = PlayValuesBefore();
  const int unanswered = PlayRequestsBehind();
  return End(cut + unanswered > 0, std::to_string(cut) + " whole values cut off, " +
                                       std::to_string(unanswered) + " requests with no answer");
}
