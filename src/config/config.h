// The one place where configuration is read, checked and given defaults.
#ifndef POSTSPREAD_CONFIG_CONFIG_H_
#define POSTSPREAD_CONFIG_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/address.h"
#include "config/endpoint_list.h"
#include "postspread/control.h"

namespace postspread::config {

// What is wrong with the configuration; names the faulty key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  std::optional<Address> ops;      // where operators call; nothing: no door
  std::optional<Address> counter;  // nothing: the site has none
  // As given, for subsystems that talk to the other gateways: ToPeers reads them.
  std::string peer_listen;
  std::vector<std::string> peers;
  std::string peers_all;
  std::optional<int> inherited;  // the clients' listening socket, open already; nothing: listen by ourselves
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  EndpointList known;
  Settings settings;
  std::chrono::microseconds upstream_idle{0};  // an upstream closes a connection that stood idle for so long
  std::size_t max_in_flight = 0;               // requests held at once
  // The file's keys, sorted, as "settings.Limits.MostTries"; of a list's elements those that all of them
  // have, as "settings.Classes[].Aim". Below `known` none are kept.
  std::vector<std::string> keys;
  // Members of the file's object that nothing here reads, sorted: told in the log, for a key that an operator
  // believes to be in force.
  std::vector<std::string> unknown_keys;
};

// Where the gateways of the group are reached by datagrams.
struct Peers {
  Address listen;
  std::vector<Address> each;   // by rank, the own one included
  std::optional<Address> all;  // reaches every other one at once; nothing: each is told by itself
};
// Nothing where the settings do not allow messages, or the configuration names nobody. Throws ConfigError.
std::optional<Peers> ToPeers(const Config& config);

using Environment = std::function<const char*(const char* name)>;

// Reads ROUTER_CONFIG and the variables beside it; a variable wins over the file's key. Throws ConfigError.
Config Load(const Environment& environment);

// The same while the program runs: the file has been replaced, and variables are as they were at the start.
// So the file's `discovery` wins; the rest of the environment still does over the file. A key that the file
// in force has must be there, also where a default would do at a start: a file without it is not whole.
Config Reload(const Environment& environment, const Config& in_force);

// Throws ConfigError where `next` lacks a key that `in_force` has.
void CheckWhole(const Config& next, const Config& in_force);

// Which of the two names discovery, where both do.
enum class Discovery { kFromVariable, kFromFile };

// The same from the file's text.
Config Decode(std::string_view text, const Environment& environment,
              Discovery discovery = Discovery::kFromVariable);

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_CONFIG_H_
