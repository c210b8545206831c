// The RESP parsers, and the decoding and validation of clients' commands.
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "resp/frame.h"
#include "resp/request.h"

namespace postspread::resp {
namespace {

using std::chrono::milliseconds;

Vocabulary TestVocabulary() {
  return {.classes = {{"lookup", true, false}, {"order", false, true}},
          .plans = {"team"},
          .gateways = 3,
          .max_units = 4};
}

std::string EncodeCommand(std::initializer_list<std::string_view> parts) {
  std::string out;
  AppendCommand(parts, out);
  return out;
}

const char* const kCustomer = "00000000b4d65521";
const char* const kFields = "c=lookup,t=team,d=480,units=2,spread=3,first=1";

std::string ReadCommand(std::string_view fields) {
  return EncodeCommand({"API.READ", kCustomer, "9b1f", fields});
}

// Returns the error of a complete message, or an empty text if it is valid.
std::string ErrorOf(const std::string& message) {
  Command command;
  REQUIRE(ParseCommand(message, command) == Progress::kComplete);
  DecodedRequest request;
  const char* error = DecodeRequest(command, TestVocabulary(), request);
  return error == nullptr ? "" : error;
}

TEST_CASE("a command that arrives in parts is parsed, and the parser requests no byte beyond its end") {
  const std::string message =
      EncodeCommand(
          {"API.WRITE", kCustomer, "9b1f", "c=order,t=team,d=480,k=5c,units=1,spread=1,first=0", "a\r\nb"}) +
      "*1\r\n";
  for (std::size_t cut = 0; cut <= message.size(); ++cut) {
    Command command;
    const Progress progress = ParseCommand(std::string_view(message).substr(0, cut), command);
    if (cut < message.size() - 4) {
      REQUIRE(progress == Progress::kPartial);
      REQUIRE(command.bytes_needed > cut);
      REQUIRE(command.bytes_needed <= message.size() - 4);
    } else {
      REQUIRE(progress == Progress::kComplete);
      REQUIRE(command.count == 5);
      REQUIRE(command.parts[4] == "a\r\nb");
      REQUIRE(command.size == message.size() - 4);
    }
  }
}

TEST_CASE("bytes that are not a command are rejected with an error") {
  const auto error = [](std::string_view bytes) {
    Command command;
    return ParseCommand(bytes, command) == Progress::kMalformed ? std::string(command.error) : "";
  };
  CHECK(error("PING\r\n") == "expected an array of bulk strings");
  CHECK(error("*x\r\n") == "invalid array length");
  CHECK(error("*-1\r\n") == "invalid array length");
  CHECK(error("*11111111111111111111") == "invalid array length");
  CHECK(error("*9\r\n") == "too many arguments");
  CHECK(error("*1\r\n:1\r\n") == "expected a bulk string");
  CHECK(error("*1\r\n$-1\r\n") == "invalid bulk length");
  CHECK(error("*1\r\n$65537\r\n") == "argument too long");
  CHECK(error("*1\r\n$1\r\nabc") == "bulk string without its end");
  CHECK(error("*2\r\n$65536\r\n" + std::string(65536, 'x') + "\r\n$65536\r\n") == "command too long");
}

TEST_CASE("replies that arrive in parts are parsed") {
  const std::string message = "*3\r\n$5\r\nva\r\nl\r\n$-1\r\n$25\r\nutil=0.61,latency_ms=14.5\r\n";
  for (std::size_t cut = 0; cut < message.size(); ++cut) {
    Reply reply;
    REQUIRE(ParseReply(std::string_view(message).substr(0, cut), reply) == Progress::kPartial);
    REQUIRE(reply.bytes_needed > cut);
  }
  Reply reply;
  REQUIRE(ParseReply(message, reply) == Progress::kComplete);
  CHECK(reply.kind == Reply::Kind::kArray);
  CHECK(reply.first_raw == "$5\r\nva\r\nl\r\n");
  CHECK(reply.parts[1].null);
  CHECK(DecodeLoad(reply.parts[2].text).utilization == Approx(0.61));
  CHECK(reply.size == message.size());
  REQUIRE(ParseReply("-BUSY 20\r\n", reply) == Progress::kComplete);
  CHECK(reply.kind == Reply::Kind::kError);
  CHECK(reply.text == "BUSY 20");
  REQUIRE(ParseReply("$-1\r\n", reply) == Progress::kComplete);
  CHECK(reply.kind == Reply::Kind::kNull);
  CHECK(ParseReply("?\r\n", reply) == Progress::kMalformed);
  CHECK(ParseReply("*1\r\n*1\r\n", reply) == Progress::kMalformed);
  CHECK(ParseReply("$99999999\r\n", reply) == Progress::kMalformed);
}

TEST_CASE("a malformed reply is rejected at its first invalid byte") {
  for (const char* bytes :
       {"~", "\r", "-ERR\n", "+a\rb", "$123456789012345678", "*3\r\n~", "*1\r\n$2\r\nabcd"}) {
    Reply reply;
    INFO(bytes);
    CHECK(ParseReply(bytes, reply) == Progress::kMalformed);
  }
}

TEST_CASE("random input is never read past its end, and an incomplete message requests more bytes") {
  std::mt19937 random(17);
  const std::string alphabet = "*$+-:0123456789\r\n\r\n\r\nAPIab=,";
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes;
    const std::size_t size = random() % 60;
    for (std::size_t i = 0; i < size; ++i) bytes += alphabet[random() % alphabet.size()];
    if (round % 2 == 0) bytes = ReadCommand(kFields).replace(random() % 40, 1, bytes);
    // The allocation has the exact size, so that a sanitizer detects reads past its end.
    const std::vector<char> exact(bytes.begin(), bytes.end());
    const std::string_view view(exact.data(), exact.size());
    Command command;
    const Progress progress = ParseCommand(view, command);
    if (progress == Progress::kComplete) {
      REQUIRE(command.size <= view.size());
      DecodedRequest request;
      if (command.count > 0 && DecodeRequest(command, TestVocabulary(), request) == nullptr) {
        REQUIRE(request.request.units <= 4);
      }
    } else if (progress == Progress::kPartial) {
      REQUIRE(command.bytes_needed > view.size());
    }
    Reply reply;
    const Progress reply_progress = ParseReply(view, reply);
    if (reply_progress == Progress::kComplete) REQUIRE(reply.size <= view.size());
    if (reply_progress == Progress::kPartial) REQUIRE(reply.bytes_needed > view.size());
  }
}

TEST_CASE("a valid command is decoded into a request") {
  const std::string message = ReadCommand("c=lookup,t=team,d=480,units=2.5,spread=3,first=1,r=1,later=x");
  Command command;
  REQUIRE(ParseCommand(message, command) == Progress::kComplete);
  DecodedRequest request;
  REQUIRE(DecodeRequest(command, TestVocabulary(), request) == nullptr);
  CHECK(request.request.class_name == "lookup");
  CHECK(request.request.plan == "team");
  CHECK(request.request.customer == kCustomer);
  CHECK(request.request.timeout == milliseconds(480));
  CHECK(request.request.units == 2.5);
  CHECK(request.request.spread == 3);
  CHECK(request.request.first == 1);
  CHECK(request.request.is_retry);
  CHECK_FALSE(request.request.is_write);
}

TEST_CASE("an invalid command is rejected with an error that names the cause") {
  CHECK(ErrorOf(ReadCommand(kFields)) == "");
  CHECK(ErrorOf(EncodeCommand({"GET", "x"})) == "unknown command");
  CHECK(ErrorOf(EncodeCommand({"API.READ", kCustomer, "9b1f"})) == "wrong number of arguments");
  CHECK(ErrorOf(EncodeCommand({"API.READ", "0000000200000000", "9b1f", kFields})) == "bad customer");
  CHECK(ErrorOf(EncodeCommand({"API.READ", "b4d65521", "9b1f", kFields})) == "bad customer");
  CHECK(ErrorOf(EncodeCommand({"API.READ", kCustomer, "", kFields})) == "bad id");
  CHECK(ErrorOf(EncodeCommand({"API.WRITE", kCustomer, "1", kFields, "b"})) ==
        "wrong command for this class");
  CHECK(ErrorOf(EncodeCommand({"API.WRITE", kCustomer, "1", "c=order,t=team,d=9,units=1,spread=1,first=0",
                               "b"})) == "k is missing");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "c is missing"},
      {"c=lookup,t=team,units=2,spread=3,first=1", "d is missing"},
      {"c=lookup,t=team,d=0,units=2,spread=3,first=1", "bad d"},
      {"c=lookup,t=team,d=-5,units=2,spread=3,first=1", "bad d"},
      {"c=lookup,t=team,d=99999999999999999999,units=2,spread=3,first=1", "bad d"},
      {"c=lookup,t=team,d=480,d=480,units=2,spread=3,first=1", "name given twice"},
      {"c=lookup,t=gold,d=480,units=2,spread=3,first=1", "unknown plan"},
      {"c=none,t=team,d=480,units=2,spread=3,first=1", "unknown class"},
      {"c=lookup,t=team,d=480,units=nan,spread=3,first=1", "bad units"},
      {"c=lookup,t=team,d=480,units=5,spread=3,first=1", "bad units"},
      {"c=lookup,t=team,d=480,units=2,spread=4,first=1", "bad spread"},
      {"c=lookup,t=team,d=480,units=2,spread=3,first=3", "bad first"},
      {"c=lookup,t=team,d=480,units=2,spread=3", "first is missing"},
      {"lookup", "bad names and values"},
      {std::string(1100, 'x'), "names and values too long"}};
  for (const auto& [fields, error] : cases) CHECK(ErrorOf(ReadCommand(fields)) == error);
}

TEST_CASE("an encoded request equals the received command except for its timeout") {
  for (const std::string fields : {"d=5,c=order,t=team,k=5c,units=1,spread=1,first=0",
                                   "c=order,t=team,k=d=5,units=1,spread=1,first=0,d=4800"}) {
    const std::string message = EncodeCommand({"API.WRITE", kCustomer, "$9", fields, "$3\r\nd=1"});
    Command command;
    REQUIRE(ParseCommand(message, command) == Progress::kComplete);
    DecodedRequest request;
    REQUIRE(DecodeRequest(command, TestVocabulary(), request) == nullptr);
    const EncodedRequest encoded(command.message(), request.fields, request.timeout);
    std::string out;
    encoded.RenderHead(milliseconds(371), out);
    out += encoded.tail();
    std::string expected = fields;
    expected.replace(fields.rfind(fields.front() == 'd' ? "d=5" : "d=4800") + 2,
                     fields.front() == 'd' ? 1 : 4, "371");
    CHECK(out == EncodeCommand({"API.WRITE", kCustomer, "$9", expected, "$3\r\nd=1"}));
  }
}

TEST_CASE("load reports are decoded under both sets of names, and invalid values are ignored") {
  const UpstreamLoad load = DecodeLoad("inflight=7,queue=2,utilization=0.61,recent_ms=x,eps=-1,new=3,,=");
  CHECK(load.outstanding == 7);
  CHECK(load.queue == 2);
  CHECK(load.utilization == Approx(0.61));
  CHECK(load.latency_ms < 0);
  CHECK(load.errors_per_second < 0);
}

TEST_CASE("usage values are decoded from replies and error lines, and invalid ones are ignored") {
  const ReportedUsage use = DecodeUsage("used=37,cost=4,new=1");
  CHECK(use.percent_of_rate == 37);
  CHECK(use.units == 4);
  CHECK_FALSE(use.unreadable);
  const ReportedUsage invalid = DecodeUsage("used=-1,cost=nan,,cost");
  CHECK((invalid.percent_of_rate < 0 && invalid.units == 0 && invalid.unreadable));
  const ReportedUsage below = DecodeUsage("used=5,cost=-4");
  CHECK((below.percent_of_rate == 5 && below.units == 0 && below.unreadable));
  ReportedUsage failed;
  UpstreamLoad load;
  DecodeErrorTail("ERR failed used=140,cost=2 util=0.5", failed, load);
  CHECK((failed.percent_of_rate == 140 && failed.units == 2 && load.utilization == 0.5));
  ReportedUsage busy;
  DecodeErrorTail("BUSY used=0", busy, load);
  CHECK(busy.percent_of_rate == 0);
}

std::string Bulk(std::size_t size) {
  std::string out;
  AppendBulk(std::string(size, 'v'), out);
  return out;
}

TEST_CASE("only a command's body may be large") {
  const std::string head = "*5\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$1\r\nd\r\n";
  Command command;
  const std::string message = head + Bulk(kMaxValueBytes);
  CHECK(ParseCommand(message, command) == Progress::kComplete);
  CHECK(command.parts[4].size() == kMaxValueBytes);
  CHECK(command.size == message.size());
  CHECK(ParseCommand(head + "$4194305\r\n", command) == Progress::kMalformed);
  CHECK(ParseCommand("*5\r\n$65537\r\n", command) == Progress::kMalformed);
}

TEST_CASE(
    "a reply that begins with a large value is recognized once its header is complete, wherever it is "
    "split") {
  LargeValue large;
  const std::string message = "*3\r\n" + Bulk(100'000) + "$-1\r\n$9\r\nutil=0.25\r\n";
  const std::size_t header = std::string("*3\r\n$100000\r\n").size();
  for (std::size_t size = 0; size < header; ++size)
    CHECK_FALSE(BeginsWithLargeValue(message.substr(0, size), large));
  for (const std::size_t size : {header, header + 1, std::size_t(4'000), message.size()}) {
    REQUIRE(BeginsWithLargeValue(message.substr(0, size), large));
    CHECK(large.at == 4);
    CHECK(large.size == Bulk(100'000).size());
    CHECK(large.rest == 2);
  }
  for (const char* other :
       {"$100000\r\n", "*3\r\n$65536\r\n", "*3\r\n$4194305\r\n", "*3\r\n$3000000000\r\n", "*0\r\n$100000\r\n",
        "*9\r\n$100000\r\n", "*3\r\n:100000\r\n", "*x\r\n$100000\r\n", "-ERR failed\r\n"}) {
    CHECK_FALSE(BeginsWithLargeValue(other, large));
  }
}

// Reads `bytes` in pieces of this size, as they would arrive. Returns the last result, and adds to
// `bytes_read`.
Progress ReadInPieces(TrailingParts& parts, std::string_view bytes, std::size_t piece,
                      std::size_t& bytes_read) {
  Progress progress = Progress::kPartial;
  for (std::size_t end = piece; progress == Progress::kPartial; end += piece) {
    end = std::min(end, bytes.size());
    progress = parts.Read(bytes.substr(bytes_read, end - bytes_read));
    bytes_read += parts.bytes_read();
    if (end == bytes.size()) break;
  }
  return progress;
}

TEST_CASE("the parts behind a large value are read in pieces of any size, up to their end") {
  const std::string message = "$-1\r\n" + Bulk(2'000) + "-what\r\n$0\r\n\r\n$9\r\nutil=0.25\r\n";
  for (std::size_t piece = 1; piece <= message.size() + 1; ++piece) {
    TrailingParts parts(5);
    std::size_t bytes_read = 0;
    REQUIRE(ReadInPieces(parts, message + "x", piece, bytes_read) == Progress::kComplete);
    REQUIRE(bytes_read == message.size());
  }
  for (std::size_t size = 0; size < message.size(); ++size) {
    TrailingParts parts(5);
    REQUIRE(parts.Read(message.substr(0, size)) == Progress::kPartial);
    CHECK(parts.bytes_read() <= size);
    CHECK(parts.Read(message.substr(parts.bytes_read())) == Progress::kComplete);
  }
  TrailingParts none(0);
  CHECK(none.Read("x") == Progress::kComplete);
  CHECK(none.bytes_read() == 0);
}

TEST_CASE("parts behind a large value that have no header, or end elsewhere than stated, are malformed") {
  for (const char* bytes : {"x", "\r\n", "*1\r\n", "$x\r\n", "$65537\r\n", "$-2\r\n", "$2\r\nabc\r\n",
                            "$2\r\nab\n\r", "+a\rb\r\n"}) {
    INFO(bytes);
    for (const std::size_t piece : {1, 100}) {
      TrailingParts parts(1);
      std::size_t bytes_read = 0;
      CHECK(ReadInPieces(parts, bytes, piece, bytes_read) == Progress::kMalformed);
    }
  }
  TrailingParts parts(1);
  CHECK(parts.Read("+" + std::string(kMaxLineBytes, 'x')) == Progress::kMalformed);
}

}  // namespace
}  // namespace postspread::resp
