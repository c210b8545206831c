// Configuration and lists: what is read, defaulted and refused.
#include "config/config.h"

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/json_reader.h"

namespace postspread::config {
namespace {

using nlohmann::json;

json Sound() {
  return json::parse(R"({"name":"n3","listen":"10.0.0.4:6379","discovery":"10.2.0.1:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"counter":"10.2.0.2:6400",
    "known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"10.1.0.18:6379","zone":"a",
      "type":"m2","group":3,"status":"Ready","weight":1.5,"since_ms":7,"later":1}]},
    "settings":{"Later":1,"Classes":[{"Name":"lookup","Aim":5,"HardLimit":9,"Effect":"safe"}],
      "Contracts":[{"Name":"team","PerSecond":2,"Depth":8}],"Domain":{"SharedCounter":true,"CountLimit":30000},
      "Limits":{"ConnIdle":7000000}}})");
}

Config Read(const json& from, const std::map<std::string, std::string>& variables = {}) {
  return Decode(from.dump(), [&](const char* name) {
    const auto found = variables.find(name);
    return found == variables.end() ? nullptr : found->second.c_str();
  });
}

std::string Fault(const json& from) {
  try {
    Read(from);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("a whole configuration is read and unknown keys are skipped") {
  const Config config = Read(Sound(), {{"ROUTER_NAME", "n4"}, {"ROUTER_LISTEN", "127.0.0.9:1"}});
  CHECK(config.name == "n4");
  CHECK(config.listen.text() == "127.0.0.9:1");
  CHECK(config.discovery.text() == "10.2.0.1:8500");
  CHECK(config.seed == 0x8c1f30d27a5be964);
  CHECK(config.sockets == 256);
  CHECK(config.upstream_idle == std::chrono::seconds(7));
  CHECK(config.max_in_flight == 20'000);
  REQUIRE(config.known.entries.size() == 1);
  CHECK(config.known.index == 41);
  CHECK(config.known.entries[0].upstream.started == std::chrono::milliseconds(7));
  CHECK(config.known.entries[0].address.text() == "10.1.0.18:6379");
  CHECK(config.settings.plans.at(0).burst == 8);
}

TEST_CASE("at a reload the file's discovery wins over the variable") {
  const Environment variables = [](const char* name) {
    return std::string(name) == "ROUTER_DISCOVERY" ? "127.0.0.9:2" : nullptr;
  };
  json from = Sound();
  CHECK(Decode(from.dump(), variables).discovery.text() == "127.0.0.9:2");
  CHECK(Decode(from.dump(), variables, Discovery::kFromFile).discovery.text() == "10.2.0.1:8500");
  from.erase("discovery");
  CHECK(Decode(from.dump(), variables, Discovery::kFromFile).discovery.text() == "127.0.0.9:2");
}

TEST_CASE("what may be left out has a default") {
  json from = Sound();
  for (const char* key : {"limits", "known", "seed", "counter"}) from.erase(key);
  from["settings"].erase("Limits");
  from["settings"]["Domain"]["SharedCounter"] = false;
  const Config config = Read(from);
  CHECK(config.sockets == 1024);
  CHECK(config.memory_mb == 192);
  CHECK(config.upstream_idle == std::chrono::seconds(30));
  CHECK_FALSE(config.counter);
  CHECK(config.known.entries.empty());
}

TEST_CASE("an error names the faulty key") {
  const auto with = [](const char* pointer, json value) {
    json from = Sound();
    from[json::json_pointer(pointer)] = std::move(value);
    return Fault(from);
  };
  CHECK(Fault(Sound()) == "");
  CHECK(with("/name", "") == "\"name\" is missing");
  CHECK(with("/listen", "10.0.0.4") == "\"listen\" is not ADDRESS:PORT: \"10.0.0.4\"");
  CHECK(with("/discovery", "host:80") == "\"discovery\" is not ADDRESS:PORT: \"host:80\"");
  CHECK(with("/counter", nullptr) == "\"counter\" is missing");
  CHECK(with("/seed", "xyz") == "configuration: member \"seed\" is not a hex number");
  CHECK(with("/limits/sockets", 4) == "limits: member \"sockets\" is below 32");
  CHECK(with("/limits/memory_mb", "64") == "limits: member \"memory_mb\" is not a whole number");
  CHECK(with("/known/endpoints/0/address", "x") == "known: member \"address\" is not ADDRESS:PORT: \"x\"");
  CHECK(with("/known/endpoints/0/name", nullptr) == "known: missing member \"name\"");
  CHECK(with("/settings/Classes/0/Aim", -1) == "settings: member \"Aim\" is out of range");
  CHECK(with("/settings/Classes", json::array()) == "settings: member \"Classes\" is empty");
  CHECK(with("/settings", nullptr) == "configuration: missing member \"settings\"");
  CHECK(with("/settings/Limits/ConnIdle", 0) == "settings.Limits: member \"ConnIdle\" is below 1");
  CHECK(with("/settings/Classes/0/HardLimit", 0) == "settings: member \"HardLimit\" is not above 0");
  for (const json& value : {json(0), json("4"), json(2.5), json::array()}) {
    CHECK(with("/settings/Limits/MostTries", value).find("settings: member \"MostTries\"") == 0);
  }
  const json cls = Sound()["settings"]["Classes"][0];
  CHECK(with("/settings/Classes", json::array({cls, cls})) == "settings: two classes are named \"lookup\"");
  CHECK(with("/settings/Contracts/0/Depth", 0) == "settings: member \"Depth\" of \"team\" is not above 0");
  CHECK(with("/settings/Contracts/0/PerSecond", -1) ==
        "settings: member \"PerSecond\" of \"team\" is below 0");
  CHECK(with("/settings/Contracts/1", Sound()["settings"]["Contracts"][0]) ==
        "settings: two plans are named \"team\"");
  json group = Sound();
  group["settings"]["GroupSize"] = 2;
  group["settings"]["Rank"] = 2;
  CHECK(Fault(group) == "settings: members \"Rank\" and \"GroupSize\" contradict one another: 2 of 2");
  CHECK(with("/settings/Safety", {{"ColdShare", 1.5}}) ==
        "settings: member \"ColdShare\" is not between 0 and 1");
  CHECK(with("/settings/Domain/CountLimit", 0) == "settings: member \"CountLimit\" is not above 0");
  CHECK(with("/settings/Domain/MaxUnits", 0) == "settings: member \"MaxUnits\" is not above 0");
  CHECK_THROWS_WITH(Load([](const char*) { return nullptr; }), "ROUTER_CONFIG is not set");
  CHECK_THROWS_WITH(Load([](const char*) { return "/nowhere"; }), "ROUTER_CONFIG: can't read /nowhere");
}

TEST_CASE("a file cut at any byte is turned down") {
  const std::string whole = Sound().dump();
  const auto none = [](const char*) { return static_cast<const char*>(nullptr); };
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_THROWS_AS(Decode(whole.substr(0, size), none), ConfigError);
  }
}

TEST_CASE("a new file must have every key of the one in force, in each element of a list") {
  json from = Sound();
  json& classes = from["settings"]["Classes"];
  classes.push_back(classes[0]);
  classes[1]["Name"] = "order";
  classes[1]["KeyTtl"] = 5;  // one element alone has it: it may go
  const Config in_force = Read(from);
  CHECK_NOTHROW(CheckComplete(Read(from), in_force));
  int keys = 0;
  const json flat = from.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    // Each key on the way to a value, but for those below `known`.
    for (json::json_pointer at(pointer); !at.empty(); at.pop_back()) {
      if (!from[at.parent_pointer()].is_object() || at.to_string().rfind("/known/", 0) == 0) continue;
      json cut = from, null = from;
      cut[at.parent_pointer()].erase(at.back());
      null[at] = nullptr;
      INFO(at.to_string());
      if (at.to_string() == "/settings/Classes/1/KeyTtl") {
        CHECK_NOTHROW(CheckComplete(Read(cut), in_force));
        continue;
      }
      CHECK_THROWS_AS(CheckComplete(Read(cut), in_force), ConfigError);
      CHECK_THROWS_AS(CheckComplete(Read(null), in_force), ConfigError);
      ++keys;
    }
  }
  CHECK(keys > 25);
  from["settings"]["Limits"].erase("ConnIdle");
  CHECK_THROWS_WITH(CheckComplete(Read(from), in_force), "\"settings.Limits.ConnIdle\" is missing");
}

TEST_CASE("the inherited socket and the operators' address") {
  CHECK_FALSE(Read(Sound()).inherited);
  CHECK_FALSE(Read(Sound()).ops);
  CHECK(Read(Sound(), {{"ROUTER_FD", "7"}}).inherited == 7);
  for (const char* bad : {"x", "-1", "7x", " 7"}) {
    CHECK_THROWS_AS(Read(Sound(), {{"ROUTER_FD", bad}}), ConfigError);
  }
  json from = Sound();
  from["ops"] = "10.0.0.4:9100";
  CHECK(Read(from).ops->text() == "10.0.0.4:9100");
  CHECK(Read(from, {{"ROUTER_OPS", "10.0.0.4:9101"}}).ops->text() == "10.0.0.4:9101");
  from["ops"] = "here";
  CHECK(Fault(from) == "\"ops\" is not ADDRESS:PORT: \"here\"");
}

TEST_CASE("a next hop of unknown status gets nothing new") {
  json list = Sound()["known"];
  list["endpoints"][0]["status"] = "Warming";
  CHECK(DecodeEndpointList(list).entries[0].upstream.state == UpstreamState::kDraining);
  list["endpoints"][0] = {{"name", "s-1"}, {"status", "Gone"}};  // one that is gone needs no address
  CHECK(DecodeEndpointList(list).entries[0].upstream.state == UpstreamState::kRemoved);
  list["snapshot"] = false;
  CHECK_FALSE(DecodeEndpointList(list).full);
}

TEST_CASE("addresses are numeric") {
  CHECK(Address::Parse("127.0.0.1:80"));
  CHECK(Address::Parse("[::1]:80"));
  for (const char* text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                           "localhost:80", "127.0.0.1:80x", "1:2:3:80"}) {
    CHECK_FALSE(Address::Parse(text));
  }
}

}  // namespace
}  // namespace postspread::config
