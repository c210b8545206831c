// A worker's answer with a large value is spoilt: the length that it states does not fit the value. What does
// the client get?
#include "site.h"

using namespace review;

namespace {

constexpr int kRequests = 12;
constexpr std::size_t kLine = 100;      // bytes of a line of the value, with its line end
constexpr std::size_t kSize = 200'000;  // bytes of the value

// A value of lines, as a report or a calendar is.
std::string Value(const std::string& id) {
  std::string line = "entry of " + id;
  line.resize(kLine - 2, '.');
  line += "\r\n";
  std::string out;
  while (out.size() < kSize) out += line;
  return out;
}

std::string AnswerWithLength(const std::string& value, std::size_t length) {
  return "*3\r\n$" + std::to_string(length) + "\r\n" + value + "\r\n$-1\r\n" +
         Bulk("util=0.20,latency_ms=20");
}

}  // namespace

int main() {
  Begin();
  Loop loop;
  Discovery discovery(loop);
  Counter counter(loop);
  Worker one(loop, "s-0", 0), two(loop, "s-1", 0);
  std::map<std::string, int> attempts;
  int requests = 0;
  for (Worker* worker : {&one, &two}) {
    worker->on_request = [&, worker](const Worker::Request& request) {
      const std::string value = Value(request.id);
      std::size_t length = value.size();
      // The first answer to each request is spoilt; a further attempt would get a sound one.
      if (HasTrouble() && attempts[request.id]++ == 0) {
        // Too short by 2, 102, 202 ... bytes: a line end follows there, as everywhere in a value of lines.
        // And too long by 5: the line end of the part behind it follows.
        length =
            requests % 2 == 0 ? length + 5 : length - 2 - kLine * static_cast<std::size_t>(requests * 37);
      }
      Record("%s answers %s: %zu bytes, stated length %zu", worker->name.c_str(), request.id.c_str(),
             value.size(), length);
      request.connection->Send(AnswerWithLength(value, length));
    };
  }
  discovery.SetList({one.Entry("Ready"), two.Entry("Ready")});
  Options options;
  options.classes = {{"calendar-read", 2, 6, "safe"}};
  Gateway gateway(loop, options, discovery, counter);
  gateway.AwaitReady();

  int wrong = 0;
  for (; requests < kRequests; ++requests) {
    const auto client = Dial(loop, gateway.port());
    if (!client) CouldNotRun("no connection to the gateway");
    const std::string id = NewId();
    client->Send(ReadCommand(id, "calendar-read", 6'000));
    loop.Run(7, [&] { return !client->is_open() || (!client->in.empty() && ValueSize(client->in) > 0); });
    const std::size_t size = client->in.empty() ? 0 : ValueSize(client->in);
    const std::string answer = client->in.substr(0, size);
    const bool is_served = answer.starts_with('$');
    const bool is_wrong = is_served && answer != Bulk(Value(id));
    wrong += is_wrong ? 1 : 0;
    Record("client gets for %s: %s%s", id.c_str(),
           size == 0 ? "no whole answer" : answer.substr(0, answer.find('\r')).c_str(),
           is_wrong ? ", a whole value that is NOT the worker's" : "");
  }
  return End(wrong > 0, std::to_string(wrong) + " of " + std::to_string(kRequests) +
                            " requests were served with a value that no worker made");
}
