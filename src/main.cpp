// The gateway's entry point: command line, configuration files, signals and exit codes.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "membership/types.h"
#include "net/gateway_server.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/process_memory.h"
#include "operator/operator_file.h"

namespace {

namespace config = postspread::config;
namespace net = postspread::net;
namespace operator_file = postspread::operator_file;

constexpr int kExitFailure = 1;  // the gateway can't start or can't continue
constexpr int kExitConfig = 2;   // the configuration is invalid

const char* ReadVariable(const char* name) { return std::getenv(name); }

constexpr std::string_view kVariablePrefix = "ROUTER_";
constexpr std::string_view kKnownVariables[] = {"ROUTER_CONFIG", "ROUTER_DISCOVERY", "ROUTER_FD",
                                                "ROUTER_LISTEN", "ROUTER_NAME",      "ROUTER_OPS"};

// Returns the environment variables that have the prefix but are not known.
std::vector<std::string> UnknownVariables() {
  std::vector<std::string> unknown;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const std::string_view text(*variable);
    const std::string_view name = text.substr(0, text.find('='));
    if (!name.starts_with(kVariablePrefix)) continue;
    const bool known =
        std::find(std::begin(kKnownVariables), std::end(kKnownVariables), name) != std::end(kKnownVariables);
    if (!known) unknown.emplace_back(name);
  }
  return unknown;
}

std::string Join(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items) joined += (joined.empty() ? "" : ", ") + item;
  return joined;
}

// Logs settings with unknown names, which have no effect although an operator may expect one.
void LogUnknown(const config::Config& config) {
  if (!config.unknown_keys.empty()) net::Log("unknown configuration keys", Join(config.unknown_keys));
  const std::vector<std::string> variables = UnknownVariables();
  if (!variables.empty()) net::Log("unknown variables", Join(variables));
}

std::string DescribeAddresses(const config::Config& config) {
  return "discovery " + config.discovery.text() +
         (config.counter ? ", counter " + config.counter->text() : "");
}

// The command line options.
struct Options {
  std::string operator_path;  // empty: no operator file
  bool check_only = false;
  net::LogFormat log_format = net::LogFormat::kText;
};

operator_file::OperatorFile ReadOperatorFile(const Options& options) {
  if (options.operator_path.empty()) return {};
  return operator_file::Load(options.operator_path);
}

void CheckPeerAddress(const char* key, const std::string& text) {
  const std::optional<config::Address> address = config::Address::Parse(text);
  if (address && address->get()->sa_family == AF_INET) return;
  throw config::ConfigError(std::string(key) + " is \"" + text + "\": an IPv4 address and port is wanted");
}

// Checks the two files against each other. Throws config::ConfigError.
void CheckConsistency(const config::Config& config, const operator_file::OperatorFile& operator_config) {
  const postspread::membership::Limits& membership = operator_config.membership;
  if (membership.enabled) {
    if (config.name.empty() || config.name.size() > postspread::membership::kMaxNameBytes) {
      throw config::ConfigError("\"name\" is not 1 to 31 bytes long, as membership requires");
    }
    for (const std::string& peer : membership.seeds) CheckPeerAddress("fleet.seeds", peer);
    if (!membership.listen.empty()) CheckPeerAddress("fleet.listen", membership.listen);
    if (membership.listen.empty() && !config::ToPeers(config)) {
      throw config::ConfigError(
          "fleet.enabled needs \"peer_listen\", \"peers\" and settings that allow messages, or fleet.listen");
    }
  }
  if (!operator_config.idempotency.enabled) return;
  for (const postspread::ClassSettings& class_settings : config.settings.classes) {
    if (class_settings.retry_safety != postspread::RetrySafety::kIdempotencyKey ||
        operator_config.idempotency.keep >= class_settings.key_ttl)
      continue;
    throw config::ConfigError("idempotency.keep is shorter than the KeyTtl of class \"" +
                              class_settings.name + "\", " +
                              std::to_string(class_settings.key_ttl.count() / 1000) + "ms");
  }
  config::ToPeers(config);  // Throws ConfigError if the peers are invalid.
}

// In test builds, an environment variable may disable one defense, to verify that the tests depend on it.
postspread::membership::DisabledDefense DisabledDefenseOfBuild() {
  using postspread::membership::DisabledDefense;
#ifdef POSTSPREAD_SWITCHES
  const std::map<std::string, DisabledDefense> defenses{
      {"refutation", DisabledDefense::kRefutation},    {"lives", DisabledDefense::kIncarnations},
      {"local-health", DisabledDefense::kLocalHealth}, {"asking-again", DisabledDefense::kReconnect},
      {"order", DisabledDefense::kGossipOrder},        {"budget", DisabledDefense::kBudget},
      {"knocking", DisabledDefense::kConfirmation},    {"help", DisabledDefense::kIndirectProbes}};
  const char* name = ReadVariable("POSTSPREAD_WITHOUT");
  if (name != nullptr) return defenses.at(name);
#endif
  return DisabledDefense::kNothing;
}

struct Program {
  const Options& options;
  std::optional<net::GatewayServer> gateway;
};

// Decodes both files completely before it applies them: if one is invalid, nothing changes.
void Reload(Program& program) {
  try {
    const config::Config config = config::Reload(ReadVariable, program.gateway->config());
    const operator_file::OperatorFile operator_config = ReadOperatorFile(program.options);
    CheckConsistency(config, operator_config);
    const net::ReloadResult result = program.gateway->Reload(config, operator_config);
    net::Log("configuration reloaded", DescribeAddresses(config));
    if (result == net::ReloadResult::kNeedsRestart)
      net::Log("configuration needs a restart", "the rest applies from the next start on");
  } catch (const std::exception& error) {
    program.gateway->OnReloadRejected();
    net::Log("configuration rejected, the old one stays", error.what());
  }
}

// The configuration is not kept here beside the gateway's own copy.
void Start(Program& program, event_base* base) {
  const config::Config config = config::Load(ReadVariable);
  const operator_file::OperatorFile operator_config = ReadOperatorFile(program.options);
  CheckConsistency(config, operator_config);
  program.gateway.emplace(base, config, operator_config, DisabledDefenseOfBuild());
  net::Log("started", config.name + " on " + config.listen.text());
  net::Log("admin listener", config.ops ? config.ops->text() : "none is configured");
  LogUnknown(config);
}

int Serve(const Options& options) {
  net::ConfigureAllocator();
  std::signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::MakeEventBase();
  Program program{options, std::nullopt};
  // The handlers are installed before the files are read, so that no signal terminates the process or is lost
  // during the start. The callbacks run only after the event loop has started.
  const auto on_stop = [](evutil_socket_t, short, void* self) {
    static_cast<Program*>(self)->gateway->BeginShutdown();
  };
  const auto on_reload = [](evutil_socket_t, short, void* self) { Reload(*static_cast<Program*>(self)); };
  const net::EventHandle term(evsignal_new(base.get(), SIGTERM, on_stop, &program));
  const net::EventHandle interrupt(evsignal_new(base.get(), SIGINT, on_stop, &program));
  const net::EventHandle hang_up(evsignal_new(base.get(), SIGHUP, on_reload, &program));
  for (const auto* handle : {&term, &interrupt, &hang_up}) {
    const auto add = [handle] { return event_add(handle->get(), nullptr) == 0; };
    if (!net::OpenWithRetries(add)) throw std::runtime_error("can't install the signal handlers");
  }
  Start(program, base.get());
  event_base_dispatch(base.get());
  net::Log("stopped", "all requests have their responses");
  return EXIT_SUCCESS;
}

// Reads and checks both files as at a start, without serving.
int Check(const Options& options) {
  const config::Config config = config::Load(ReadVariable);
  CheckConsistency(config, ReadOperatorFile(options));
  net::Log("configuration is valid", config.name + " on " + config.listen.text());
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("The gateway. ROUTER_CONFIG names the platform's configuration.", "postspread_gateway");
  app.add_option("--operator", options.operator_path,
                 "The operator file; without it, its optional features are disabled")
      ->type_name("FILE");
  app.add_flag("--check", options.check_only, "Read and check all configuration, then exit");
  app.add_option("--log-format", options.log_format, "The format of log lines: text or json")
      ->type_name("FORM")
      ->transform(CLI::CheckedTransformer(std::map<std::string, net::LogFormat>{
          {"text", net::LogFormat::kText}, {"json", net::LogFormat::kJson}}));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == EXIT_SUCCESS ? EXIT_SUCCESS : kExitConfig;
  }
  net::SetLogFormat(options.log_format);
  try {
    return options.check_only ? Check(options) : Serve(options);
  } catch (const config::ConfigError& error) {
    net::Log("configuration is invalid", error.what());
    return kExitConfig;
  } catch (const operator_file::OperatorError& error) {
    net::Log("configuration is invalid", error.what());
    return kExitConfig;
  } catch (const std::exception& error) {
    net::Log("fatal error", error.what());
    return kExitFailure;
  }
}
