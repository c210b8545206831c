// postspread's gatekeeper: wiring, signals and exit codes.
#include <csignal>
#include <cstdlib>
#include <exception>

#include "config/config.h"
#include "net/gatekeeper.h"
#include "net/log.h"
#include "net/loop.h"

namespace {

constexpr int kExitFailure = 1;  // could not start or go on
constexpr int kExitConfig = 2;   // the configuration is wrong

int Serve(const postspread::config::Config& config) {
  namespace net = postspread::net;
  std::signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::MakeEventBase();
  net::Gatekeeper gatekeeper(base.get(), config);
  const auto on_signal = [](evutil_socket_t, short, void* self) {
    static_cast<net::Gatekeeper*>(self)->Drain();
  };
  const net::EventHandle term(evsignal_new(base.get(), SIGTERM, on_signal, &gatekeeper));
  const net::EventHandle interrupt(evsignal_new(base.get(), SIGINT, on_signal, &gatekeeper));
  event_add(term.get(), nullptr);
  event_add(interrupt.get(), nullptr);
  net::Log("started", config.name + " on " + config.listen.text());
  event_base_dispatch(base.get());
  net::Log("stopped", "all that was taken is answered");
  return EXIT_SUCCESS;
}

}  // namespace

int main() {
  try {
    return Serve(postspread::config::Load([](const char* name) { return std::getenv(name); }));
  } catch (const postspread::config::ConfigError& error) {
    postspread::net::Log("configuration is wrong", error.what());
    return kExitConfig;
  } catch (const std::exception& error) {
    postspread::net::Log("can't go on", error.what());
    return kExitFailure;
  }
}
