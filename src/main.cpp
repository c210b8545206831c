// postspread's gatekeeper: wiring, signals and exit codes.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>

#include "config/config.h"
#include "net/gatekeeper.h"
#include "net/log.h"
#include "net/loop.h"

namespace {

namespace config = postspread::config;
namespace net = postspread::net;

constexpr int kExitFailure = 1;  // could not start or go on
constexpr int kExitConfig = 2;   // the configuration is wrong

const char* Variable(const char* name) { return std::getenv(name); }

std::string Partners(const config::Config& config) {
  return "discovery " + config.discovery.text() +
         (config.counter ? ", counter " + config.counter->text() : "");
}

// The whole new file is decoded first: where it is wrong, all stays as it is.
void Reload(net::Gatekeeper& gatekeeper) {
  try {
    const config::Config config = config::Reload(Variable);
    const bool more = gatekeeper.Reload(config);
    net::Log("configuration read again", Partners(config));
    if (more) net::Log("configuration changed beyond that", "the rest holds from the next start on");
  } catch (const std::exception& error) {
    net::Log("new configuration is wrong, the old one stays", error.what());
  }
}

int Serve() {
  std::signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::MakeEventBase();
  std::optional<net::Gatekeeper> gatekeeper;
  // Caught before the file is read, so that no signal ends the program or is missed on the way up: the loop
  // calls back only once it runs.
  const auto on_stop = [](evutil_socket_t, short, void* self) {
    (*static_cast<std::optional<net::Gatekeeper>*>(self))->Drain();
  };
  const auto on_reload = [](evutil_socket_t, short, void* self) {
    Reload(**static_cast<std::optional<net::Gatekeeper>*>(self));
  };
  const net::EventHandle term(evsignal_new(base.get(), SIGTERM, on_stop, &gatekeeper));
  const net::EventHandle interrupt(evsignal_new(base.get(), SIGINT, on_stop, &gatekeeper));
  const net::EventHandle hang_up(evsignal_new(base.get(), SIGHUP, on_reload, &gatekeeper));
  for (const auto* handle : {&term, &interrupt, &hang_up}) event_add(handle->get(), nullptr);
  const config::Config config = config::Load(Variable);
  gatekeeper.emplace(base.get(), config);
  net::Log("started", config.name + " on " + config.listen.text());
  event_base_dispatch(base.get());
  net::Log("stopped", "all that was taken is answered");
  return EXIT_SUCCESS;
}

}  // namespace

int main() {
  try {
    return Serve();
  } catch (const config::ConfigError& error) {
    net::Log("configuration is wrong", error.what());
    return kExitConfig;
  } catch (const std::exception& error) {
    net::Log("can't go on", error.what());
    return kExitFailure;
  }
}
