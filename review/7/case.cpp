// A worker's second copy of an answer comes some milliseconds late, when the connection carries the next
// request already. What does that request's client get?
#include "site.h"

using namespace review;

int main() {
  Begin();
  Loop loop;
  Discovery discovery(loop);
  Counter counter(loop);
  Worker first(loop, "s-0", 0), second(loop, "s-1", 0);
  bool is_spoilt = false;
  for (Worker* worker : {&first, &second}) {
    worker->on_request = [&, worker](const Worker::Request& request) {
      Record("%s runs %s, connection %d", worker->name.c_str(), request.id.c_str(),
             request.connection->number);
      loop.After(0.1, [&, worker, request] {
        const std::string answer = Served("value of " + request.id);
        request.connection->Send(answer);
        if (!HasTrouble() || is_spoilt) return;
        is_spoilt = true;
        loop.After(0.005, [&, worker, request, answer] {
          Record("%s sends its answer to %s a second time, 5 ms late", worker->name.c_str(),
                 request.id.c_str());
          request.connection->Send(answer);
        });
      });
    };
  }
  discovery.SetList({first.Entry("Ready"), second.Entry("Ready")});
  Options options;
  options.classes = {{"calendar-read", 0.8, 3, "safe"}};
  Gateway gateway(loop, options, discovery, counter);
  gateway.AwaitReady();

  const auto client = Dial(loop, gateway.port());
  int wrong = 0, answered = 0;
  std::string id;
  client->on_data = [&](Connection& from) {
    for (std::size_t size = 0; !from.in.empty() && (size = ValueSize(from.in)) > 0; from.in.erase(0, size)) {
      const std::string answer = from.in.substr(0, size);
      ++answered;
      const bool is_wrong = answer.starts_with('$') && answer != Bulk("value of " + id);
      wrong += is_wrong ? 1 : 0;
      Record("client gets %s for %s%s", Shown(answer).c_str(), id.c_str(), is_wrong ? ": FOREIGN" : "");
    }
  };
  for (int sent = 1; sent <= 20; ++sent) {
    id = NewId();
    Record("client sends %s", id.c_str());
    client->Send(ReadCommand(id, "calendar-read", 3'000));
    if (!loop.Run(4, [&] { return answered == sent; })) return End(true, "no answer to " + id);
  }
  return End(wrong > 0, std::to_string(wrong) + " of 20 requests were served with another request's value");
}
