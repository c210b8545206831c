// The platform's configuration: read, checked and given defaults in this one place, from the file that
// ROUTER_CONFIG names and the variables beside it.
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

// The configuration can't be used; the text names the faulty key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;  // of this gateway, for the log and the membership view
  Address listen;    // where clients connect
  Address discovery;
  std::optional<Address> ops;      // of the admin server; absent: there is none
  std::optional<Address> counter;  // absent: the deployment has none
  // As given, for subsystems that talk to the other gateways: ToPeers checks them.
  std::string peer_listen;
  std::vector<std::string> peers;
  std::string peers_all;
  std::optional<int> inherited;  // the clients' listening socket, open already; absent: open one
  std::uint64_t seed = 0;        // of all random draws
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  EndpointList known;  // the endpoint list as last cached by the platform
  Settings settings;
  std::chrono::microseconds upstream_idle{0};  // after which an upstream closes an idle connection
  std::size_t max_in_flight = 0;               // requests
  // The file's keys, sorted, as "settings.Limits.MostTries"; of a list's elements those that all of them
  // have, as "settings.Classes[].Aim". Those below `known` are left out.
  std::vector<std::string> keys;
  // Members of the file's object that nothing reads, sorted, for a warning in the log.
  std::vector<std::string> unknown_keys;
};

// Where the gateways of the group are reached by datagrams.
struct Peers {
  Address listen;
  std::vector<Address> each;   // by rank, the own one included
  std::optional<Address> all;  // broadcast to every other one; absent: each gets its own datagram
};
// Absent where the settings do not allow messages, or the configuration names nobody. Throws ConfigError.
std::optional<Peers> ToPeers(const Config& config);

using Environment = std::function<const char*(const char* name)>;

// Reads ROUTER_CONFIG and the variables beside it; a variable wins over the file's key. Throws ConfigError.
Config Load(const Environment& environment);

// The same for a reload. The file's `discovery` wins over the variable, which is as old as the start; of the
// other variables each still wins over the file. A key of the file in force has to be there, even one with a
// default: a file without it may have been cut short.
Config Reload(const Environment& environment, const Config& in_force);

// Throws ConfigError where `next` lacks a key that `in_force` has.
void CheckComplete(const Config& next, const Config& in_force);

// Which one wins where both name discovery.
enum class Discovery { kFromVariable, kFromFile };

// The same from the file's text.
Config Decode(std::string_view text, const Environment& environment,
              Discovery discovery = Discovery::kFromVariable);

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_CONFIG_H_
