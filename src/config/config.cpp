#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>

#include "config/sockets.h"
#include "json_read.h"
#include "settings.h"

namespace postspread::config {
namespace {

using namespace json_read;

constexpr std::int64_t kLeastMemoryMb =
    16;  // the program itself, one body of 4 MB and its copy, and a busy second
constexpr std::chrono::seconds kDefaultUpstreamIdle{30};
constexpr std::int64_t kUsualMaxOpen = 20'000;
// Members of the configuration that this program reads, or that its pages allow without a use here.
constexpr std::string_view kKnownKeys[] = {"counter", "discovery", "known", "limits",
                                           "listen",  "name",      "ops",   "peer_listen",
                                           "peers",   "peers_all", "seed",  "settings"};

// Runs `read` and puts `where` before what it has to say.
template <typename F>
auto Within(const char* where, F read) {
  try {
    return read();
  } catch (const JsonError& error) {
    throw ConfigError(std::string(where) + ": " + error.what());
  }
}

std::string Choose(const json& from, const char* key, const Environment& environment, const char* variable) {
  if (const char* value = environment(variable); value != nullptr && *value != '\0') return value;
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
  if (error != std::errc() || end != text.data() + text.size()) Bad("member \"seed\" is not a hex number");
  return seed;
}

std::int64_t Limit(const json& limits, const char* key, std::int64_t least, std::int64_t absent) {
  const std::int64_t value = IntegerOr(limits, key, absent);
  if (value < least) Bad(std::string("member \"") + key + "\" is below " + std::to_string(least));
  return value;
}

void Keys(const json& from, const std::string& path, std::vector<std::string>& out) {
  if (from.is_object()) {
    for (const auto& [key, value] : from.items()) {
      if (value.is_null()) continue;
      const std::string at = path.empty() ? key : path + "." + key;
      out.push_back(at);
      if (at != "known") Keys(value, at, out);
    }
  } else if (from.is_array() && !from.empty()) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < from.size(); ++i) {
      std::vector<std::string> own, both;
      Keys(from[i], path + "[]", own);
      std::sort(own.begin(), own.end());
      std::set_intersection(all.begin(), all.end(), own.begin(), own.end(), std::back_inserter(both));
      all = i == 0 ? std::move(own) : std::move(both);
    }
    out.insert(out.end(), all.begin(), all.end());
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

}  // namespace

Config Decode(std::string_view text, const Environment& environment, Discovery discovery) {
  const json from = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (from.is_discarded() || !from.is_object()) throw ConfigError("the configuration is not a JSON object");
  return Within("configuration", [&] {
    Config out;
    out.name = Choose(from, "name", environment, "ROUTER_NAME");
    if (out.name.empty()) throw ConfigError("\"name\" is missing");
    out.listen = ToAddress(Choose(from, "listen", environment, "ROUTER_LISTEN"), "listen");
    const bool file_wins = discovery == Discovery::kFromFile && !TextOr(from, "discovery").empty();
    out.discovery = ToAddress(
        file_wins ? TextOr(from, "discovery") : Choose(from, "discovery", environment, "ROUTER_DISCOVERY"),
        "discovery");
    if (const std::string ops = Choose(from, "ops", environment, "ROUTER_OPS"); !ops.empty()) {
      out.ops = ToAddress(ops, "ops");
    }
    if (const char* fd = environment("ROUTER_FD"); fd != nullptr && *fd != '\0') {
      const std::string_view digits(fd);
      int number = -1;
      const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
      if (error != std::errc() || end != digits.data() + digits.size() || number < 0) {
        throw ConfigError("ROUTER_FD is not the number of a descriptor: \"" + std::string(digits) + "\"");
      }
      out.inherited = number;
    }
    out.seed = ToSeed(from);
    if (const json* listen = Find(from, "peer_listen"); listen != nullptr && listen->is_string()) {
      out.peer_listen = listen->get<std::string>();
    }
    if (const json* peers = Find(from, "peers"); peers != nullptr && peers->is_array()) {
      for (const json& peer : *peers) out.peers.push_back(peer.is_string() ? peer.get<std::string>() : "");
    }
    out.peers_all = TextOr(from, "peers_all");
    const json& limits = Part(from, "limits");
    Within("limits", [&] {
      out.memory_mb = static_cast<std::size_t>(Limit(limits, "memory_mb", kLeastMemoryMb, 192));
      const auto least =
          static_cast<std::int64_t>(LeastSockets(out.ops.has_value(), out.inherited.has_value()));
      out.sockets = static_cast<std::size_t>(Limit(limits, "sockets", least, 1024));
      return 0;
    });
    if (Find(from, "known") != nullptr)
      out.known = Within("known", [&] { return DecodeEndpointList(from["known"]); });
    const json& settings = Need(from, "settings");
    out.settings = Within("settings", [&] { return DecodeSettings(settings); });
    Within("settings.Limits", [&] {
      const json& own = Part(settings, "Limits");
      out.upstream_idle = std::chrono::microseconds(
          Limit(own, "ConnIdle", 1, std::chrono::microseconds(kDefaultUpstreamIdle).count()));
      out.max_in_flight = static_cast<std::size_t>(Limit(own, "MaxOpen", 1, kUsualMaxOpen));
      return 0;
    });
    if (out.settings.classes.empty()) throw ConfigError("settings: member \"Classes\" is empty");
    if (out.settings.plans.empty()) throw ConfigError("settings: member \"Contracts\" is empty");
    out.unknown_keys = UnknownKeys(from);
    Keys(from, "", out.keys);
    std::sort(out.keys.begin(), out.keys.end());
    if (out.settings.has_counter) out.counter = ToAddress(TextOr(from, "counter"), "counter");
    return out;
  });
}

std::optional<Peers> ToPeers(const Config& config) {
  if (!config.settings.can_message_peers || config.peer_listen.empty() || config.peers.empty())
    return std::nullopt;
  if (std::ssize(config.peers) != config.settings.group_size) {
    throw ConfigError("\"peers\" names " + std::to_string(config.peers.size()) +
                      " gatekeepers, the settings " + std::to_string(config.settings.group_size));
  }
  Peers out{.listen = ToAddress(config.peer_listen, "peer_listen"), .each = {}, .all = {}};
  if (!config.peers_all.empty()) out.all = ToAddress(config.peers_all, "peers_all");
  for (const std::string& peer : config.peers) out.each.push_back(ToAddress(peer, "peers"));
  return out;
}

namespace {

std::string ReadFile(const Environment& environment) {
  const char* path = environment("ROUTER_CONFIG");
  if (path == nullptr || *path == '\0') throw ConfigError("ROUTER_CONFIG is not set");
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw ConfigError(std::string("ROUTER_CONFIG: can't read ") + path);
  return text.str();
}

}  // namespace

Config Load(const Environment& environment) { return Decode(ReadFile(environment), environment); }

void CheckWhole(const Config& next, const Config& in_force) {
  std::vector<std::string> missing;
  std::set_difference(in_force.keys.begin(), in_force.keys.end(), next.keys.begin(), next.keys.end(),
                      std::back_inserter(missing));
  if (!missing.empty()) throw ConfigError("\"" + missing.front() + "\" is missing");
}

Config Reload(const Environment& environment, const Config& in_force) {
  Config out = Decode(ReadFile(environment), environment, Discovery::kFromFile);
  CheckWhole(out, in_force);
  return out;
}

}  // namespace postspread::config
