// Decoding of the operator file: values, defaults, and errors that name file, line and key.
#include "operator/operator_file.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

namespace postspread::operator_file {
namespace {

std::string ErrorOf(const std::string& text) {
  try {
    Decode(text, "op.conf");
  } catch (const OperatorError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("an empty operator file has the same effect as none") {
  CHECK(Decode("", "op.conf") == OperatorFile{});
  CHECK_FALSE(Decode("# nothing\n", "op.conf").idempotency.enabled);
}

TEST_CASE("the operator file under deploy/ contains the defaults and enables nothing") {
  CHECK(Load(DEPLOY_DIR "/operator.conf") == OperatorFile{});
}

TEST_CASE("the operator file of this platform enables usage broadcasts and nothing else") {
  OperatorFile expected;
  expected.usage.broadcast = true;
  CHECK(Load(DEPLOY_DIR "/fleet.conf") == expected);
  CHECK_THAT(ErrorOf("demand {\n  tells = true\n}\n"),
             Catch::Contains("op.conf:2") && Catch::Contains("tells"));
}

TEST_CASE("each key of the idempotency block is decoded, including its unit") {
  const idempotency::Limits limits =
      Decode(
          "idempotency {\n enabled = true\n memory = 512kb\n keep = 2m\n customer_share = 0.5\n"
          " max_waiters = 3\n when_full = pass\n unvouched = defer\n witnesses = 3\n datagrams_per_second = "
          "2000\n"
          " peer_silent = 1s\n}\n",
          "op.conf")
          .idempotency;
  CHECK(limits.enabled);
  CHECK(limits.memory == std::size_t{512} * 1024);
  CHECK(limits.keep == std::chrono::minutes(2));
  CHECK(limits.customer_quota == 0.5);
  CHECK(limits.max_waiters == 3);
  CHECK(limits.when_full == idempotency::WhenFull::kStartUnprotected);
  CHECK(limits.when_unconfirmed == idempotency::WhenUnconfirmed::kReject);
  CHECK(limits.replicas == 3);
  CHECK(limits.datagrams_per_second == 2'000);
  CHECK(limits.peer_silent == std::chrono::seconds(1));
}

TEST_CASE("the membership block is decoded, and values that contradict each other are rejected") {
  const membership::Limits membership =
      Decode(
          "fleet {\n enabled = true\n name = \"south\"\n seeds = {\"10.0.0.1:7946\", \"10.0.0.2:7946\"}\n"
          " listen = \"10.0.0.3:7946\"\n datagram = 1kb\n datagrams_per_second = 50\n period = 500ms\n"
          " suspicion = 2s\n forget = 1h\n}\n",
          "op.conf")
          .membership;
  CHECK(membership.enabled);
  CHECK(membership.name == "south");
  CHECK(membership.seeds == std::vector<std::string>{"10.0.0.1:7946", "10.0.0.2:7946"});
  CHECK(membership.listen == "10.0.0.3:7946");
  CHECK(membership.datagram == 1024);
  CHECK(membership.period == std::chrono::milliseconds(500));
  CHECK(membership.suspicion == std::chrono::seconds(2));
  CHECK(membership.forget == std::chrono::hours(1));
  CHECK_THAT(ErrorOf("fleet {\n suspicion = 1s\n}"),
             Catch::Contains("fleet.suspicion is shorter than twice"));
  CHECK_THAT(ErrorOf("fleet {\n seeds = {\"10.0.0.1:1\"}\n}"),
             Catch::Contains("fleet.seeds needs fleet.listen"));
  CHECK_THAT(ErrorOf("fleet {\n datagram = 64b\n}"),
             Catch::Contains("op.conf:2: fleet.datagram is out of bounds"));
  CHECK_THAT(ErrorOf("fleet {\n name = \"\"\n}"), Catch::Contains("fleet.name is \"\": 1 to 31 bytes"));
}

TEST_CASE("an invalid operator file is rejected with an error that names file, line and key") {
  const std::pair<const char*, const char*> cases[] = {
      {"idempotency {\n keep = 60\n}", "op.conf:2: idempotency.keep is \"60\": a whole number with its unit"},
      {"idempotency {\n\n memory = 1kb\n}", "op.conf:3: idempotency.memory is out of bounds: from 65536 b"},
      {"idempotency { keep = 99999999999999999h }", "op.conf:1: idempotency.keep is "},
      {"idempotency { keep = -5s }", "op.conf:1: idempotency.keep is \"-5s\""},
      {"idempotency {\n enabled = yes\n}", "op.conf:2: idempotency.enabled is \"yes\": one of true, false"},
      {"idempotency {\n when_full = drop\n}",
       "op.conf:2: idempotency.when_full is \"drop\": one of defer, pass"},
      {"idempotency {\n customer_share = 1.5\n}", "op.conf:2: idempotency.customer_share"},
      {"idempotency {\n max_waiters = many\n}", "op.conf:2: idempotency.max_waiters is \"many\""},
      {"idempotency {\n keep = 5s\n keep = 6s\n}", "op.conf:3: idempotency.keep is given twice"},
      {"idempotency {\n kept = 5s\n}", "op.conf:2: no such option 'kept'"},
      {"\nquotas { }", "op.conf:2: no such option 'quotas'"},
      {"idempotency {\n keep = 5s\n", "op.conf: a block is not closed"},
  };
  for (const auto& [text, error] : cases) {
    INFO(text);
    CHECK(ErrorOf(text).find(error) == 0);
  }
  CHECK(ErrorOf(std::string("a\0b", 3)).find("op.conf: not a text file") == 0);
  CHECK_THROWS_WITH(Load("no-such-file.conf"), "no-such-file.conf: can't be read");
}

}  // namespace
}  // namespace postspread::operator_file
