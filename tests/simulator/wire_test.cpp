// The simulator's codec in both directions, and its errors for malformed lines.
#include "simulator/wire.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>

namespace postspread::simulator {
namespace {

template <typename T>
T DecodeEvent(const std::string& line) {
  Decoder decoder;
  return std::get<T>(std::get<InstanceEvent>(decoder.Decode(line)).event);
}

std::string ErrorOf(const std::string& line) {
  Decoder decoder;
  try {
    decoder.Decode(line);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

TEST(Wire, DecodesARequestAndIgnoresUnknownMembers) {
  const auto e = DecodeEvent<RequestEvent>(
      R"({"event_type":"Order","I":3,"Corr":77,"Service":"read","Terms":"gold","ApiKey":"91f03b7c55d20a64",)"
      R"("ExpiresIn":240000,"CostUnits":2.5,"Width":3,"FirstDoor":1,"IsRetry":true,"Later":[1]})");
  EXPECT_EQ(e.id, 77U);
  EXPECT_EQ(e.class_name, "read");
  EXPECT_EQ(e.plan, "gold");
  EXPECT_EQ(e.customer, "91f03b7c55d20a64");
  EXPECT_EQ(e.time_left, Duration(240000));
  EXPECT_DOUBLE_EQ(e.units, 2.5);
  EXPECT_EQ(e.spread, 3);
  EXPECT_EQ(e.first_gateway, 1);
  EXPECT_TRUE(e.retry);
  EXPECT_FALSE(e.write);
}

TEST(Wire, DecodesAnOutcomeWithItsLoadReport) {
  const auto e = DecodeEvent<OutcomeEvent>(
      R"({"event_type":"Response","I":3,"Corr":7,"Try":1,"Backend":"b","Reason":"too_slow","Elapsed":18500,)"
      R"("Last":true,"TrueUnits":3,"Gauge":{"recent_ms":14.5,"outstanding":7}})");
  EXPECT_EQ(e.outcome, Outcome::kTimeout);
  EXPECT_EQ(e.attempt, 1);
  EXPECT_TRUE(e.final);
  EXPECT_DOUBLE_EQ(e.true_units, 3);
  EXPECT_DOUBLE_EQ(e.load.outstanding, 7);
  EXPECT_LT(e.load.utilization, 0);
}

TEST(Wire, ResolvesAListToItsLatestContents) {
  Decoder decoder;
  const std::string endpoint_list =
      R"({"event_type":"PeersKnown","I":0,"Mode":"Complete","Index":1,"Buffer":2})";
  decoder.Decode(R"({"event_type":"Inventory","Buffer":2,"Rows":[{"Backend":"old"}]})");
  const auto first = std::get<InstanceEvent>(decoder.Decode(endpoint_list));
  decoder.Decode(
      R"({"event_type":"Inventory","Buffer":2,"Rows":[{"Backend":"new","Availability":"terminating"}]})");
  const auto second = std::get<InstanceEvent>(decoder.Decode(endpoint_list));
  EXPECT_EQ(std::get<EndpointListEvent>(first.event).upstreams->at(0).id, "old");
  EXPECT_EQ(std::get<EndpointListEvent>(second.event).upstreams->at(0).id, "new");
  EXPECT_EQ(std::get<EndpointListEvent>(second.event).upstreams->at(0).state, EndpointState::kDraining);
}

TEST(Wire, DecodesCounterReplies) {
  const auto e = DecodeEvent<CounterEvent>(
      R"({"event_type":"LedgerReply","I":1,"Level":38.5,"Elapsed":2150,"Reason":"pass","Book":"k:0:5"})");
  EXPECT_EQ(e.result, CounterResult::kOk);
  EXPECT_DOUBLE_EQ(e.total, 38.5);
  EXPECT_EQ(e.name, "k:0:5");
}

TEST(Wire, DecodesSettings) {
  Decoder decoder;
  const auto start = std::get<InstanceStart>(decoder.Decode(
      R"({"event_type":"Init","I":2,"Seed":9,"Info":{"Classes":[{"Name":"w","Aim":5,"HardLimit":9,)"
      R"("Effect":"keyed","DedupScope":"zone","KeyTtl":3}],"Contracts":[{"Name":"p","PerSecond":2,"Depth":8,)"
      R"("CapRate":4,"HardBurst":16,"CeilingSlack":2}],"Domain":{"SharedCounter":true,"CountLimit":30000},)"
      R"("MembershipMode":"subscribe","Safety":{"DrainGrace":7}}})"));
  EXPECT_EQ(start.settings.classes.at(0).retry_safety, RetrySafety::kIdempotencyKey);
  EXPECT_EQ(start.settings.classes.at(0).scope, KeyScope::kZone);
  EXPECT_DOUBLE_EQ(start.settings.plans.at(0).ceiling_burst, 16);
  EXPECT_TRUE(start.settings.has_counter);
  EXPECT_EQ(start.settings.discovery_mode, DiscoveryMode::kSubscribe);
  EXPECT_EQ(start.settings.drain_grace, Duration(7));
}

TEST(Wire, RejectsMalformedLinesWithAnError) {
  EXPECT_EQ(ErrorOf("{"), "not valid JSON");
  EXPECT_EQ(ErrorOf("[]"), "not a JSON object");
  EXPECT_EQ(ErrorOf(R"({"I":1})"), "missing member \"event_type\"");
  EXPECT_EQ(ErrorOf(R"({"event_type":"Lunch","I":1})"), "unknown event_type \"Lunch\"");
  EXPECT_EQ(ErrorOf(R"({"event_type":"CancelledByClient","I":1})"), "missing member \"Corr\"");
  EXPECT_EQ(ErrorOf(R"({"event_type":"CancelledByClient","I":1,"Corr":4294967296})"),
            "member \"Corr\" is out of range");
  EXPECT_EQ(ErrorOf(R"({"event_type":"CancelledByClient","I":1,"Corr":"7"})"),
            "member \"Corr\" is not a whole number");
  EXPECT_EQ(ErrorOf(R"({"event_type":"PeersKnown","I":1,"Mode":"Complete","Index":1,"Buffer":4})"),
            "member \"Buffer\" names a list that was not given");
}

TEST(Wire, EncodesActions) {
  EXPECT_EQ(Encode(3, Send{7, "b", Duration(80000)}),
            R"({"Backend":"b","Corr":7,"I":3,"Limit":80000,"event_type":"CallOut"})");
  EXPECT_EQ(Encode(3, Reject{7, Duration(0)}), R"({"Corr":7,"I":3,"event_type":"Shed"})");
  EXPECT_EQ(Encode(3, Reject{7, Duration(5)}), R"({"Corr":7,"HoldOff":5,"I":3,"event_type":"Shed"})");
  EXPECT_EQ(Encode(3, Fail{7}), R"({"Corr":7,"I":3,"event_type":"GiveUp"})");
  EXPECT_EQ(Encode(3, Cancel{7, 2}), R"({"Corr":7,"I":3,"Try":2,"event_type":"Revoke"})");
  EXPECT_EQ(Encode(3, CounterAdd{"k", -1.5, Duration(9)}),
            R"({"Book":"k","Delta":-1.5,"I":3,"Ttl":9,"event_type":"Incr"})");
  EXPECT_EQ(Encode(3, SetTimer{Duration(5), 12}),
            R"({"After":5,"Cookie":"12","I":3,"event_type":"Schedule"})");
}

}  // namespace
}  // namespace postspread::simulator
