// A worker falls silent for 4.5 s in the middle of a large value and then goes on. Does the client get the
// whole value?
#include "site.h"

using namespace review;

namespace {

constexpr int kWorkers = 5;
constexpr double kSilence = 4.5;
constexpr std::size_t kSize = 1'000'000;
constexpr std::size_t kPiece = 50'000;

}  // namespace

int main() {
  Begin();
  Loop loop;
  Discovery discovery(loop);
  Counter counter(loop);
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::string> list;
  bool is_cut_off = false, has_fallen_silent = false;
  std::function<void(Worker*, std::shared_ptr<Connection>, std::shared_ptr<std::string>)> give =
      [&](Worker* worker, const std::shared_ptr<Connection>& connection,
          const std::shared_ptr<std::string>& rest) {
        if (!connection->is_open()) {
          Record("%s can't go on: the gateway has ended the connection, %zu bytes are left",
                 worker->name.c_str(), rest->size());
          is_cut_off = true;
          return;
        }
        connection->Send(rest->substr(0, kPiece));
        rest->erase(0, std::min(rest->size(), kPiece));
        if (rest->empty()) return Record("%s has given all of its answer", worker->name.c_str());
        double pause = 0.05;
        if (HasTrouble() && !has_fallen_silent && rest->size() < kSize * 7 / 10) {
          has_fallen_silent = true;
          pause = kSilence;
          Record("%s falls silent for %.1f s, %zu bytes are left", worker->name.c_str(), kSilence,
                 rest->size());
        }
        loop.After(pause, [&give, worker, connection, rest] { give(worker, connection, rest); });
      };
  const std::string value(kSize, 'v');
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(loop, "s-" + std::to_string(i), 0));
    Worker* worker = workers.back().get();
    worker->on_request = [&, worker](const Worker::Request& request) {
      Record("%s begins to answer %s", worker->name.c_str(), request.id.c_str());
      give(worker, request.connection, std::make_shared<std::string>(Served(value)));
    };
    list.push_back(worker->Entry("Ready"));
  }
  discovery.SetList(list);
  Options options;
  options.classes = {{"calendar-read", 0.8, 3, "safe"}};
  Gateway gateway(loop, options, discovery, counter);
  gateway.AwaitReady();
  const auto client = Dial(loop, gateway.port());
  const std::string id = NewId();
  Record("client sends %s", id.c_str());
  client->Send(ReadCommand(id, "calendar-read", 3'000));
  client->on_close = [](Connection& connection) {
    Record("the gateway closes the client's connection after %zu bytes", connection.in.size());
  };
  const std::string expected = Bulk(value);
  loop.Run(12, [&] { return client->in == expected || (!client->is_open() && is_cut_off); });
  const bool is_whole = client->in == expected;
  Record("client has %zu of %zu bytes", client->in.size(), expected.size());
  return End(!is_whole, is_whole ? "the client has the whole value"
                                 : "the gateway has cut off what the worker still gives");
}
