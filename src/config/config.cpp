#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>

#include "config/json_reader.h"
#include "config/settings.h"
#include "config/sockets.h"

namespace postspread::config {
namespace {

using namespace json_reader;

// Suffices for the program, one 4 MB body with its copy, and one second of high load.
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kDefaultMemoryMb = 192;
constexpr std::int64_t kDefaultSockets = 1'024;
constexpr std::chrono::microseconds kDefaultUpstreamIdle = std::chrono::seconds(30);
constexpr std::int64_t kDefaultMaxInFlight = 20'000;

// Members of the configuration that the gateway reads, or that are documented but ignored.
constexpr std::string_view kKnownKeys[] = {"counter", "discovery", "known", "limits",
                                           "listen",  "name",      "ops",   "peer_listen",
                                           "peers",   "peers_all", "seed",  "settings"};

// Runs `decode` and turns its JsonError into a ConfigError prefixed with the name of the containing object.
template <typename Decode>
auto WithErrorContext(const char* object, Decode decode) {
  try {
    return decode();
  } catch (const JsonError& error) {
    throw ConfigError(std::string(object) + ": " + error.what());
  }
}

// Returns an environment variable's value, or nullopt if it is unset or empty.
std::optional<std::string> Variable(const Environment& environment, const char* name) {
  const char* value = environment(name);
  if (value == nullptr || *value == '\0') return std::nullopt;
  return value;
}

// Returns the environment variable's value, or the file's member if the variable is unset.
std::string VariableOrMember(const json& from, const char* key, const Environment& environment,
                             const char* variable) {
  if (std::optional<std::string> value = Variable(environment, variable)) return *std::move(value);
  return TextOr(from, key);
}

Address ToAddress(const std::string& text, const char* key) {
  if (text.empty()) throw ConfigError(std::string("\"") + key + "\" is missing");
  const std::optional<Address> address = Address::Parse(text);
  if (!address) throw ConfigError(std::string("\"") + key + "\" is not ADDRESS:PORT: \"" + text + "\"");
  return *address;
}

std::uint64_t ToSeed(const json& from) {
  const std::string text = TextOr(from, "seed", "0");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    ThrowJsonError("member \"seed\" is not a hex number");
  return seed;
}

// Returns the limit or `fallback`. Throws JsonError if the value is below `min`.
std::int64_t LimitOr(const json& limits, const char* key, std::int64_t min, std::int64_t fallback) {
  const std::int64_t value = IntegerOr(limits, key, fallback);
  if (value < min) ThrowJsonError(std::string("member \"") + key + "\" is below " + std::to_string(min));
  return value;
}

void CollectKeys(const json& from, const std::string& path, std::vector<std::string>& out);

// Appends the keys that all elements have in common.
void CollectCommonKeys(const json& elements, const std::string& path, std::vector<std::string>& out) {
  std::vector<std::string> common;
  for (std::size_t i = 0; i < elements.size(); ++i) {
    std::vector<std::string> own;
    CollectKeys(elements[i], path + "[]", own);
    std::sort(own.begin(), own.end());
    if (i == 0) {
      common = std::move(own);
      continue;
    }
    std::vector<std::string> both;
    std::set_intersection(common.begin(), common.end(), own.begin(), own.end(), std::back_inserter(both));
    common = std::move(both);
  }
  out.insert(out.end(), common.begin(), common.end());
}

void CollectKeys(const json& from, const std::string& path, std::vector<std::string>& out) {
  if (from.is_array()) return CollectCommonKeys(from, path, out);
  if (!from.is_object()) return;
  for (const auto& [key, value] : from.items()) {
    if (value.is_null()) continue;
    std::string full_name = path;
    if (!path.empty()) full_name += '.';
    full_name += key;
    out.push_back(full_name);
    if (full_name != "known") CollectKeys(value, full_name, out);
  }
}

std::vector<std::string> UnknownKeys(const json& from) {
  std::vector<std::string> out;
  for (const auto& [key, value] : from.items()) {
    if (std::find(std::begin(kKnownKeys), std::end(kKnownKeys), key) == std::end(kKnownKeys))
      out.push_back(key);
  }
  return out;
}

std::optional<int> InheritedSocket(const Environment& environment) {
  const std::optional<std::string> digits = Variable(environment, "ROUTER_FD");
  if (!digits) return std::nullopt;
  int number = -1;
  const char* const digits_end = digits->data() + digits->size();
  const auto [end, error] = std::from_chars(digits->data(), digits_end, number);
  if (error != std::errc() || end != digits_end || number < 0) {
    throw ConfigError("ROUTER_FD is not the number of a descriptor: \"" + *digits + "\"");
  }
  return number;
}

// Decodes the name and the addresses that an environment variable may override.
void DecodeAddresses(const json& from, const Environment& environment, Discovery discovery, Config& out) {
  out.name = VariableOrMember(from, "name", environment, "ROUTER_NAME");
  if (out.name.empty()) throw ConfigError("\"name\" is missing");
  out.listen = ToAddress(VariableOrMember(from, "listen", environment, "ROUTER_LISTEN"), "listen");
  const bool prefers_file = discovery == Discovery::kFromFile && !TextOr(from, "discovery").empty();
  out.discovery =
      ToAddress(prefers_file ? TextOr(from, "discovery")
                             : VariableOrMember(from, "discovery", environment, "ROUTER_DISCOVERY"),
                "discovery");
  const std::string ops = VariableOrMember(from, "ops", environment, "ROUTER_OPS");
  if (!ops.empty()) out.ops = ToAddress(ops, "ops");
  out.inherited = InheritedSocket(environment);
}

// Stores the values without validation: ToPeers validates them if a subsystem needs them.
void DecodePeers(const json& from, Config& out) {
  if (const json* listen = Find(from, "peer_listen"); listen != nullptr && listen->is_string()) {
    out.peer_listen = listen->get<std::string>();
  }
  if (const json* peers = Find(from, "peers"); peers != nullptr && peers->is_array()) {
    for (const json& peer : *peers) out.peers.push_back(peer.is_string() ? peer.get<std::string>() : "");
  }
  out.peers_all = TextOr(from, "peers_all");
}

void DecodeProcessLimits(const json& limits, Config& out) {
  out.memory_mb = static_cast<std::size_t>(LimitOr(limits, "memory_mb", kMinMemoryMb, kDefaultMemoryMb));
  const auto min_sockets =
      static_cast<std::int64_t>(MinSockets(out.ops.has_value(), out.inherited.has_value()));
  out.sockets = static_cast<std::size_t>(LimitOr(limits, "sockets", min_sockets, kDefaultSockets));
}

// Decodes those two of the settings' limits that bound connections and memory and do not affect decisions.
void DecodeConnectionLimits(const json& limits, Config& out) {
  out.upstream_idle = std::chrono::microseconds(LimitOr(limits, "ConnIdle", 1, kDefaultUpstreamIdle.count()));
  out.max_in_flight = static_cast<std::size_t>(LimitOr(limits, "MaxOpen", 1, kDefaultMaxInFlight));
}

void DecodeDeploymentSettings(const json& from, Config& out) {
  const json& settings = Require(from, "settings");
  out.settings = WithErrorContext("settings", [&] { return DecodeSettings(settings); });
  WithErrorContext("settings.Limits", [&] { DecodeConnectionLimits(ObjectOr(settings, "Limits"), out); });
  if (out.settings.classes.empty()) throw ConfigError("settings: member \"Classes\" is empty");
  if (out.settings.plans.empty()) throw ConfigError("settings: member \"Contracts\" is empty");
}

Config DecodeObject(const json& from, const Environment& environment, Discovery discovery) {
  Config out;
  DecodeAddresses(from, environment, discovery, out);
  out.seed = ToSeed(from);
  DecodePeers(from, out);
  const json& limits = ObjectOr(from, "limits");
  WithErrorContext("limits", [&] { DecodeProcessLimits(limits, out); });
  if (Find(from, "known") != nullptr) {
    out.cached_endpoints = WithErrorContext("known", [&] { return DecodeEndpointList(from["known"]); });
  }
  DecodeDeploymentSettings(from, out);
  out.unknown_keys = UnknownKeys(from);
  CollectKeys(from, "", out.keys);
  std::sort(out.keys.begin(), out.keys.end());
  if (out.settings.has_counter) out.counter = ToAddress(TextOr(from, "counter"), "counter");
  return out;
}

std::string ReadFile(const Environment& environment) {
  const std::optional<std::string> path = Variable(environment, "ROUTER_CONFIG");
  if (!path) throw ConfigError("ROUTER_CONFIG is not set");
  std::ifstream file(*path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw ConfigError("ROUTER_CONFIG: can't read " + *path);
  return text.str();
}

}  // namespace

Config Decode(std::string_view text, const Environment& environment, Discovery discovery) {
  const json from = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (from.is_discarded() || !from.is_object()) throw ConfigError("the configuration is not a JSON object");
  return WithErrorContext("configuration", [&] { return DecodeObject(from, environment, discovery); });
}

std::optional<Peers> ToPeers(const Config& config) {
  if (!config.settings.can_message_peers || config.peer_listen.empty() || config.peers.empty())
    return std::nullopt;
  if (std::ssize(config.peers) != config.settings.group_size) {
    throw ConfigError("\"peers\" names " + std::to_string(config.peers.size()) +
                      " gateways, but \"GroupSize\" is " + std::to_string(config.settings.group_size));
  }
  Peers out{.listen = ToAddress(config.peer_listen, "peer_listen"), .by_rank = {}, .all = {}};
  if (!config.peers_all.empty()) out.all = ToAddress(config.peers_all, "peers_all");
  for (const std::string& peer : config.peers) out.by_rank.push_back(ToAddress(peer, "peers"));
  return out;
}

Config Load(const Environment& environment) { return Decode(ReadFile(environment), environment); }

void CheckComplete(const Config& next, const Config& current) {
  std::vector<std::string> missing;
  std::set_difference(current.keys.begin(), current.keys.end(), next.keys.begin(), next.keys.end(),
                      std::back_inserter(missing));
  if (!missing.empty()) throw ConfigError("\"" + missing.front() + "\" is missing");
}

Config Reload(const Environment& environment, const Config& current) {
  Config out = Decode(ReadFile(environment), environment, Discovery::kFromFile);
  CheckComplete(out, current);
  return out;
}

}  // namespace postspread::config
