// Names and texts that leave the process and that compatibility_test.cpp does not pin: keys of the settings,
// statuses and errors of the admin server, metric help texts, counts in the log, errors of client commands. A
// rename in the code must not change any of them.
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "http/request.h"
#include "http/response.h"
#include "idempotency/counts.h"
#include "ops/admin_calls.h"
#include "ops/metrics.h"
#include "planner/types.h"
#include "resp/frame.h"
#include "resp/request.h"

namespace postspread {
namespace {

using nlohmann::json;

json BaseSettings() {
  return json::parse(R"({
    "Classes": [{"Name": "lookup", "Aim": 5, "HardLimit": 9, "Effect": "keyed", "DedupScope": "cell"}],
    "Contracts": [{"Name": "team", "PerSecond": 2, "Depth": 8}],
    "GroupSize": 3, "Domain": {"CountLimit": 30000}, "Limits": {}, "Prices": {}, "Safety": {}, "Goal": {},
    "LoadReport": {}})");
}

TEST_CASE("given each key of the settings, when it is set alone, then the decoded settings change") {
  const std::vector<std::pair<const char*, json>> keys{{"/Classes/0/Name", "other"},
                                                       {"/Classes/0/Aim", 6},
                                                       {"/Classes/0/HardLimit", 10},
                                                       {"/Classes/0/Effect", "unsafe"},
                                                       {"/Classes/0/DedupScope", "zone"},
                                                       {"/Classes/0/KeyTtl", 7},
                                                       {"/Classes/0/Stream", true},
                                                       {"/Classes/0/Importance", 2.5},
                                                       {"/Classes/0/LateShare", 0.5},
                                                       {"/Contracts/0/Name", "other"},
                                                       {"/Contracts/0/PerSecond", 3},
                                                       {"/Contracts/0/Depth", 9},
                                                       {"/Contracts/0/AtOnce", 4},
                                                       {"/Contracts/0/CapRate", 4},
                                                       {"/Contracts/0/HardBurst", 4},
                                                       {"/Contracts/0/CeilingSlack", 4},
                                                       {"/Contracts/0/Pays", 4},
                                                       {"/Contracts/0/ExcessWorth", 0.5},
                                                       {"/Contracts/0/ExcessCost", 0.5},
                                                       {"/Zones", json::array({"a", "b"})},
                                                       {"/MyZone", "a"},
                                                       {"/Rank", 1},
                                                       {"/GroupSize", 4},
                                                       {"/MembershipMode", "subscribe"},
                                                       {"/Weights", "nominal"},
                                                       {"/Weights", "rough"},
                                                       {"/Weights", "live"},
                                                       {"/LoadReport/Source", "answers"},
                                                       {"/LoadReport/Source", "probe"},
                                                       {"/Tick", 11},
                                                       {"/Domain/SharedCounter", true},
                                                       {"/Domain/CountLimit", 40'000},
                                                       {"/Domain/CallPrice", 0.5},
                                                       {"/Domain/CostAfter", true},
                                                       {"/Domain/MaxUnits", 4},
                                                       {"/Domain/MeterPeriod", 11},
                                                       {"/Domain/MailPerS", 11},
                                                       {"/Limits/MostTries", 4},
                                                       {"/Limits/SecondCopies", true},
                                                       {"/Limits/Cancelling", true},
                                                       {"/Limits/Probes", true},
                                                       {"/Limits/MayTell", true},
                                                       {"/Limits/RetryAfter", true},
                                                       {"/Limits/MaxRetryAfter", 11},
                                                       {"/Limits/DialTimeout", 11},
                                                       {"/Prices/Probe", 0.5},
                                                       {"/Prices/CrossZone", 0.5},
                                                       {"/Prices/Waste", 0.5},
                                                       {"/Prices/LateFail", 0.5},
                                                       {"/Safety/AnswerSlack", 11},
                                                       {"/Safety/DrainGrace", 11},
                                                       {"/Safety/AskWithin", 11},
                                                       {"/Safety/ColdShare", 0.5},
                                                       {"/Safety/WarmWithin", 11},
                                                       {"/Safety/FallMultiple", 2},
                                                       {"/Safety/Fall", 11},
                                                       {"/Goal/Whole", 0.5},
                                                       {"/Goal/WorstWindow", 0.5},
                                                       {"/Goal/WorstClass", 0.5},
                                                       {"/Goal/WorstTenant", 0.5}};
  const Settings base = DecodeSettings(BaseSettings());
  for (const auto& [pointer, value] : keys) {
    json changed = BaseSettings();
    changed[json::json_pointer(pointer)] = value;
    INFO(pointer);
    CHECK_FALSE(DecodeSettings(changed) == base);
  }
}

TEST_CASE("given the default words of the settings, when they are written out, then nothing changes") {
  const Settings base = DecodeSettings(BaseSettings());
  for (const auto& [pointer, value] : std::vector<std::pair<const char*, json>>{
           {"/MembershipMode", "automatic"}, {"/Weights", "none"}, {"/LoadReport/Source", "none"}}) {
    json changed = BaseSettings();
    changed[json::json_pointer(pointer)] = value;
    INFO(pointer);
    CHECK(DecodeSettings(changed) == base);
  }
  for (const char* effect : {"safe", "keyed", "unsafe"}) {
    json changed = BaseSettings();
    changed["Classes"][0]["Effect"] = effect;
    CHECK_NOTHROW(DecodeSettings(changed));
  }
}

TEST_CASE("given each status, when the admin server writes a response, then its head keeps its bytes") {
  const std::pair<int, const char*> statuses[] = {{200, "OK"},
                                                  {400, "Bad Request"},
                                                  {404, "Not Found"},
                                                  {405, "Method Not Allowed"},
                                                  {408, "Request Timeout"},
                                                  {409, "Conflict"},
                                                  {503, "Service Unavailable"},
                                                  {599, "Other"}};
  for (const auto& [status, reason] : statuses) {
    CHECK(http::FormatResponse(status, "body\n") ==
          "HTTP/1.1 " + std::to_string(status) + " " + reason +
              "\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: 5\r\n"
              "Connection: close\r\n\r\nbody\n");
  }
  CHECK(http::FormatResponse(405, "", "GET").find("\r\nAllow: GET\r\n") != std::string::npos);
}

TEST_CASE("given a malformed call, when the admin server parses it, then the error keeps its text") {
  const std::pair<std::string, std::string_view> calls[] = {
      {"GET /\r\n", "the request line has not three parts"},
      {"G(T / HTTP/1.1\r\n", "the method can't be read"},
      {"GET x HTTP/1.1\r\n", "the path can't be read"},
      {"GET / HTTP/2.0\r\n", "the version is not HTTP/1.1"},
      {"GET / HTTP/1.1\r\nno colon\r\n", "a header can't be read"},
      {"GET / HTTP/1.1\r\nX: " + std::string(http::RequestParser::kMaxHead, 'x'), "the head is too long"}};
  for (const auto& [bytes, error] : calls) {
    http::RequestParser parser;
    parser.Feed(bytes);
    CHECK(parser.broken());
    CHECK(parser.error() == error);
  }
}

TEST_CASE("given a poll of discovery, when it is written, then the request keeps its bytes") {
  CHECK(http::FormatGetRequest("10.0.0.1:8500", "/api/targets") ==
        "GET /api/targets HTTP/1.1\r\nHost: 10.0.0.1:8500\r\nAccept: application/json\r\n\r\n");
}

TEST_CASE("given a response of discovery, when it names its framing, then the header names are recognized") {
  http::ResponseParser parser;
  parser.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  REQUIRE(parser.done());
  CHECK(parser.body() == "ok");
  CHECK(parser.closes());
  http::ResponseParser old_version;
  old_version.Feed("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(old_version.done());
  CHECK_FALSE(old_version.closes());
}

TEST_CASE("given the counts of the idempotency store, when they are logged, then their names stay") {
  CHECK(idempotency::Summary({}, 1, 2, 3, 4) ==
        "keys=1 bytes=2 bytes_max=3 bytes_bound=4 started=0 joined=0 replayed=0 fetched=0 resumed=0 "
        "mismatched=0 unknown_told=0 answer_gone_told=0 full_deferred=0 full_passed=0 unvouched=0 "
        "values_dropped=0 datagrams_out=0 datagrams_in=0 datagrams_bad=0 records_dropped=0");
}

TEST_CASE("given the metrics, when they are rendered, then each help text stays") {
  ops::MembershipMetrics membership;
  membership.members = {{"alive", 1}};
  membership.dropped = {{"unreadable", 1}};
  ops::Metrics metrics;
  metrics.ForClass("lookup");
  metrics.attempts_ended = {{"served", 1}};
  const std::string text = ops::Render(metrics, {.membership = membership});
  for (const char* help :
       {"svc_completed Requests served",
        "svc_rejected Requests refused",
        "svc_failed Requests failed",
        "svc_upstream_requests Attempts written whole to workers",
        "svc_repeated_attempts Further attempts of requests",
        "svc_attempts_ended Attempts by how they ended",
        "svc_client_connections_closed Connections of clients by why they ended",
        "svc_refusals Requests refused by what refused them",
        "svc_rule_violations Rules on what may be sent, repeated or closed that were broken",
        "svc_rule_preventions What was not done, for it would have broken a rule",
        "svc_client_connections Connections of clients",
        "svc_pending Requests taken and not ended",
        "svc_members Workers in the list",
        "svc_members_unavailable Listed workers that are avoided now",
        "svc_config_reloads Configurations taken on at SIGHUP",
        "svc_config_reload_errors Configurations turned down at SIGHUP",
        "svc_over_quota_answers Answers that told of a customer beyond its quota",
        "svc_odd_use Answers whose figures on use could not be read",
        "svc_fleet_members Gatekeepers by what this one holds of them",
        "svc_fleet_dropped Datagrams that changed nothing, by cause",
        "svc_fleet_suspicions_raised Suspicions of this gatekeeper",
        "svc_fleet_suspicions_refuted Of these: the suspect answered",
        "svc_fleet_deaths_declared Deaths that this gatekeeper declared",
        "svc_fleet_view_changes Changes of the set of living members",
        "svc_fleet_name_conflicts Signs of two processes under one name",
        "svc_fleet_datagrams_sent Datagrams of the view",
        "svc_fleet_bytes_sent Their bytes",
        "svc_fleet_held_back Datagrams not sent for want of budget"}) {
    INFO(help);
    CHECK(text.find("# HELP " + std::string(help) + "\n") != std::string::npos);
  }
}

class ShutDownHandler : public ops::AdminHandler {
 public:
  ops::Readiness CheckReadiness() override { return {.is_ready = false, .state = "stopping"}; }
  std::string Metrics() override { return ""; }
  std::string Membership() override { return ""; }
  ops::AdminResult Drain() override { return ops::AdminResult::kStopping; }
  ops::AdminResult Activate() override { return ops::AdminResult::kStopping; }
};

TEST_CASE("given a gateway that shuts down, when operators call it, then the bodies keep their texts") {
  ShutDownHandler handler;
  CHECK(ops::HandleAdminCall("GET", "/v1/readyz", handler).body == "stopping\n");
  CHECK(ops::HandleAdminCall("GET", "/v1/fleet", handler).body == "the view of the fleet is off\n");
  CHECK(ops::HandleAdminCall("PUT", "/v1/gatekeeper/drain", handler).body == "the process is stopping\n");
  CHECK(ops::HandleAdminCall("PUT", "/v1/gatekeeper/activate", handler).body == "the process is stopping\n");
  CHECK(ops::HandleAdminCall("GET", "/v1/other", handler).body == "no such path\n");
  CHECK(ops::HandleAdminCall("PUT", "/v1/fleet", handler).body == "/v1/fleet takes GET\n");
}

TEST_CASE("given each result of an attempt, when it labels a metric, then its name stays") {
  using planner::AttemptResult;
  using planner::Name;
  CHECK(Name(AttemptResult::kSucceeded) == "served");
  CHECK(Name(AttemptResult::kError) == "error");
  CHECK(Name(AttemptResult::kRejected) == "turned_away");
  CHECK(Name(AttemptResult::kTimedOut) == "timed_out");
  CHECK(Name(AttemptResult::kConnectFailed) == "could_not_connect");
  CHECK(Name(AttemptResult::kReset) == "reset");
  CHECK(Name(AttemptResult::kCancelled) == "abandoned");
}

TEST_CASE(
    "given a command with a wrong or missing value, when it is decoded, then the error keeps its text") {
  resp::Vocabulary vocabulary;
  vocabulary.classes = {{.name = "lookup", .is_safe = true, .is_keyed = false},
                        {.name = "move", .is_safe = false, .is_keyed = true}};
  vocabulary.plans = {"team"};
  vocabulary.gateways = 3;
  vocabulary.max_units = 4;
  const auto error_of = [&](const char* command, const std::string& extras) {
    std::string bytes;
    if (std::string_view(command) == "API.READ") {
      resp::AppendCommand({command, "0000000000000001", "one", extras}, bytes);
    } else {
      resp::AppendCommand({command, "0000000000000001", "one", extras, "body"}, bytes);
    }
    resp::Command parsed;
    REQUIRE(resp::ParseCommand(bytes, parsed) == resp::Progress::kComplete);
    resp::DecodedRequest decoded;
    const char* const error = resp::DecodeRequest(parsed, vocabulary, decoded);
    return std::string(error == nullptr ? "" : error);
  };
  const std::string read = "c=lookup,t=team,d=60000,units=1,spread=2,first=0";
  CHECK(error_of("API.READ", read).empty());
  CHECK(error_of("API.READ", read + ",r=x") == "bad r");
  CHECK(error_of("API.READ", "c=lookup,t=team,d=60000,spread=2,first=0") == "units is missing");
  CHECK(error_of("API.READ", "c=lookup,t=team,d=60000,units=1,first=0") == "spread is missing");
  CHECK(error_of("API.READ", "c=lookup,t=team,d=60000,units=1,spread=2") == "first is missing");
  CHECK(error_of("API.WRITE", "c=move,t=team,d=60000,k=,units=1,spread=2,first=0") == "bad k");
  CHECK(error_of("API.WRITE", "c=move,t=team,d=60000,units=1,spread=2,first=0") == "k is missing");
}

}  // namespace
}  // namespace postspread
