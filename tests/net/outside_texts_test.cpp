// Texts and names that clients and operators see of the running program and that no other test checks.
#include "partners/site.h"

namespace postspread {
namespace {

using namespace site;

TEST_CASE(
    "given a connected client, when it sends an empty or invalid command, then the error keeps its text") {
  Site site(1);
  site.Start(1);
  Peer client = site.Client();
  client.Send("*0\r\n" + Command({"PING", "a", "b"}));
  CHECK(client.Line() == "-ERR empty command\r\n");
  CHECK(client.Line() == "-ERR wrong number of arguments\r\n");
}

TEST_CASE(
    "given a response too large for the store, when its key is repeated after its window, then the error "
    "stays") {
  const json keyed = {{"settings",
                       {{"Classes",
                         {{{"Name", "move"},
                           {"Aim", 60'000'000},
                           {"HardLimit", 60'000'000},
                           {"Effect", "keyed"},
                           {"DedupScope", "cell"},
                           {"KeyTtl", 300'000}}}}}}};
  Site site(1, keyed, false, "idempotency {\n enabled = true\n memory = 64kb\n}\n");
  site.Start(1);
  const auto write = [](std::string_view id) {
    return Command({"API.WRITE", "0000000000000001", id,
                    "c=move,t=team,d=60000,k=k1,units=1,spread=2,first=0", "to monday"});
  };
  Peer client = site.Client();
  client.Send(write("one"));
  site.Grant();
  Peer upstream = site.upstream(0).Accept();
  upstream.Command();
  const std::string value(std::size_t{100} * 1024, 'v');
  upstream.Send("*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
  CHECK(client.Line() == "$" + std::to_string(value.size()) + "\r\n");
  CHECK(client.Line() == value + "\r\n");
  usleep(400'000);  // past the key's window, in which the upstream itself would recognize the repeat
  client.Send(write("two"));
  CHECK(client.Line() == "-ERR the change under this key was made, its answer is held no longer\r\n");
}

TEST_CASE(
    "given the membership view, when metrics are read, then each cause of a dropped datagram keeps its "
    "label") {
  Port address;
  const std::string operator_file = "fleet {\n enabled = true\n name = \"n0\"\n listen = \"" +
                                    address.address() + "\"\n seeds = {\"127.0.0.1:9\"}\n}\n";
  Site site(1, {{"ops", true}}, false, operator_file.c_str());
  site.Start(1);
  for (const char* cause : {"unreadable", "foreign", "future", "former_life", "unasked", "no_room"}) {
    INFO(cause);
    CHECK(site.Metric("svc_fleet_dropped{cause=\"" + std::string(cause) + "\"}") == 0);
  }
}

}  // namespace
}  // namespace postspread
