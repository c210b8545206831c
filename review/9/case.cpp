// Three requests on one connection. The worker of the second has begun a large value and resets its
// connection while the first is still waited for; the workers of the first and the third answer. Which
// answers does the client get?
#include "site.h"

using namespace review;

int main() {
  Begin();
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
  return End(
      !has_first || (has_run && !has_third),
      has_third ? "each request has its answer" : "a request that has run and was answered has no answer");
}
