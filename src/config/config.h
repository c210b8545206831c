// The platform's configuration. It is read from the file that ROUTER_CONFIG names and from environment
// variables, validated and completed with defaults only here.
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

// The configuration is invalid. The text names the invalid key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;  // the gateway's name in the log and the membership view
  Address listen;    // the address that clients connect to
  Address discovery;
  std::optional<Address> ops;      // the admin server's address; absent: no admin server
  std::optional<Address> counter;  // absent: the deployment has no counter
  // The next three are not validated here: ToPeers does so for the subsystems that send to other gateways.
  std::string peer_listen;
  std::vector<std::string> peers;
  std::string peers_all;
  std::optional<int> inherited;  // descriptor of the clients' listening socket; absent: the gateway opens one
  std::uint64_t seed = 0;        // the seed of all random numbers
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;     // maximum of file descriptors
  EndpointList cached_endpoints;  // the endpoint list that the platform cached last
  Settings settings;
  std::chrono::microseconds upstream_idle{0};  // idle time after which an upstream closes a connection
  std::size_t max_in_flight = 0;               // maximum of requests in flight
  // The full names of the file's keys, sorted, for example "settings.Limits.MostTries". A key in a list's
  // elements is included if all elements have it, for example "settings.Classes[].Aim". Keys below `known`
  // are not included.
  std::vector<std::string> keys;
  // Members of the file's object that nothing reads, sorted. They are logged as a warning.
  std::vector<std::string> unknown_keys;
};

// The addresses at which the gateways of the group receive datagrams.
struct Peers {
  Address listen;
  std::vector<Address> by_rank;  // indexed by rank; includes this gateway's own address
  std::optional<Address> all;    // broadcast address of all others; absent: each gets its own datagram
};
// Returns nullopt if the settings do not allow messages or the configuration names no peers. Throws
// ConfigError if an address is invalid or the number of peers is not the group size.
std::optional<Peers> ToPeers(const Config& config);

using Environment = std::function<const char*(const char* name)>;

// Reads the file that ROUTER_CONFIG names and the other environment variables. A variable takes precedence
// over the file's key. Throws ConfigError.
Config Load(const Environment& environment);

// Does the same for a reload. The file's `discovery` takes precedence over the variable, whose value dates
// from the start; the other variables still take precedence over the file. Every key of the current file is
// required, even one with a default, because a file that lacks it may be truncated.
Config Reload(const Environment& environment, const Config& current);

// Throws ConfigError if `next` lacks a key that `current` has.
void CheckComplete(const Config& next, const Config& current);

// Which source takes precedence if both contain discovery's address.
enum class Discovery { kFromVariable, kFromFile };

// Decodes the configuration from the file's text. Throws ConfigError.
Config Decode(std::string_view text, const Environment& environment,
              Discovery discovery = Discovery::kFromVariable);

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_CONFIG_H_
