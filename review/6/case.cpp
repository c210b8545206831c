// A worker's machine vanishes with a keyed request that it has run. Its replacement, of a new name, is listed
// at the same address before the vanished one is told gone. To which cell does the next attempt go?
#include "site.h"

using namespace review;

int main() {
  Begin();
  Loop loop;
  Discovery discovery(loop);
  Counter counter(loop);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(std::make_unique<Worker>(loop, "s-" + std::to_string(i), i / 2));  // cells 0 and 1
  }
  std::map<std::string, std::map<int, int>> runs;  // by key: how often each cell has run it
  Worker* vanished = nullptr;
  std::string lost_key;
  for (const auto& worker : workers) {
    Worker* self = worker.get();
    worker->on_request = [&, self](const Worker::Request& request) {
      if (self == vanished) return;  // that machine says nothing
      const std::string key = Field(request.fields, "k");
      int& count = runs[key][self->cell];
      // The workers of a cell drop a repeat: they answer without running it again.
      Record("%s (cell %d) gets %s, key %s%s", self->name.c_str(), self->cell, request.id.c_str(),
             key.c_str(), count > 0 ? ": a repeat, dropped" : ": runs it");
      if (count == 0) ++count;
      if (self->cell == 1 && lost_key.empty()) {
        lost_key = key;
        if (HasTrouble()) {
          vanished = self;
          Record("%s vanishes: it has run the request and says nothing more", self->name.c_str());
          return;
        }
      }
      loop.After(0.15, [connection = request.connection, key] { connection->Send(Served("done " + key)); });
    };
  }
  std::vector<std::string> list;
  for (const auto& worker : workers) list.push_back(worker->Entry("Ready"));
  discovery.SetList(list);
  Options options;
  options.classes = {{"schedule-change", 8, 20, "keyed", "cell", 15}};
  Gateway gateway(loop, options, discovery, counter);
  gateway.AwaitReady();

  const auto client = Dial(loop, gateway.port());
  int sent = 0, answered = 0;
  client->on_data = [&](Connection& from) {
    for (std::size_t size = 0; !from.in.empty() && (size = ValueSize(from.in)) > 0; from.in.erase(0, size)) {
      ++answered;
      Record("client gets %s", Shown(from.in.substr(0, size)).c_str());
    }
  };
  while (lost_key.empty() && sent < 100) {
    const std::string key = "5c0f6e1a2b3d4c" + std::to_string(10 + sent);
    const std::string id = NewId();
    Record("client sends %s, key %s", id.c_str(), key.c_str());
    client->Send(WriteCommand(id, "schedule-change", 20'000, key));
    ++sent;
    loop.Run(3, [&] { return answered == sent || vanished != nullptr; });
  }
  if (lost_key.empty()) CouldNotRun("no request has come to cell 1");
  if (vanished != nullptr) {
    loop.Run(1.2);
    // The replacement has started at the vanished machine's address, and is listed as a worker of that cell.
    const std::string entry = vanished->EntryAs("s-4", "Ready", WallMs() - 500, 1);
    Record("discovery tells: %s", entry.c_str());
    discovery.Tell({entry});
    // What comes on a new connection is the replacement's.
    vanished->listener.SetOnAccept([&](Connection& connection) {
      connection.on_data = [&](Connection& from) {
        while (const auto parts = TakeCommand(from.in)) {
          if (parts->size() < 5) continue;
          const std::string key = Field(parts->at(3), "k");
          Record("s-4 (cell 1) gets %s, key %s: a repeat, dropped", parts->at(2).c_str(), key.c_str());
          from.Send(Served("done " + key));
        }
      };
    });
  }
  loop.Run(25, [&] { return answered == sent; });
  const auto& cells = runs[lost_key];
  return End(cells.size() > 1, "key " + lost_key + " ran in " + std::to_string(cells.size()) + " cell(s)");
}
