#include "net/gateway_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/gateway/gateway_setup.h"

namespace postspread::net {
namespace {

std::chrono::microseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

// Returns the configuration with the limits that follow from the memory.
config::Config WithLimits(config::Config config) {
  config.settings.max_customers = ToResourcePartition(config).MaxCustomers();
  return config;
}

GracefulShutdown::ListenSocket ListenSocketOf(const config::Config& config) {
  using ListenSocket = GracefulShutdown::ListenSocket;
  return config.inherited ? ListenSocket::kInherited : ListenSocket::kOwned;
}

}  // namespace

GatewayServer::GatewayServer(event_base* base, const config::Config& config,
                             const operator_file::OperatorFile& operator_config,
                             membership::DisabledDefense disabled)
    : config_(WithLimits(config)),
      operator_config_(operator_config),
      planner_(config_.settings, config.seed, WallNow(), Clock::now(),
               ToPlannerOptions(config, operator_config, disabled)),
      memory_(ToResourcePartition(config)),
      shared_claims_(config.inherited ? SharedClaimsPath(config.listen.text()) : std::string()),
      claims_(shared_claims_.entries()),
      loop_monitor_(base),
      memory_trimmer_(base),
      driver_(base, planner_, actions_),
      in_flight_(memory_),
      admission_({.settings = config_.settings,
                  .lifecycle = lifecycle_,
                  .loop_monitor = loop_monitor_,
                  .in_flight = in_flight_,
                  .streams = streams_},
                 std::min(config.max_in_flight, memory_.partition.upstream_connections)),
      streams_(pool_, memory_.partition),
      requests_({.settings = config_.settings,
                 .planner = planner_,
                 .driver = driver_,
                 .admission = admission_,
                 .in_flight = in_flight_,
                 .streams = streams_,
                 .pool = pool_,
                 .service_state = service_state_,
                 .metrics = metrics_,
                 .claims = claims_}),
      peers_(config_, driver_),
      actions_({.requests = requests_, .peers = peers_, .counters = counters_, .pool = pool_}),
      pool_(base, {.dial_timeout = config.settings.dial_timeout, .idle = config.upstream_idle}, memory_,
            requests_),
      clients_(base, {.listen = config.listen, .inherited = config.inherited}, ToVocabulary(config.settings),
               memory_, metrics_, requests_, loop_monitor_),
      counters_(base, config_.settings, config.counter, driver_),
      endpoints_(pool_, driver_, config.cached_endpoints, memory_.partition.MaxEndpoints()),
      discovery_(base, config.discovery, config.settings.dial_timeout, config.settings.group_size,
                 config.seed, memory_.partition.MaxDiscoveryResponse(),
                 [this](const config::EndpointList& endpoint_list) { endpoints_.Update(endpoint_list); }),
      service_state_(base, lifecycle_,
                     {.endpoints = endpoints_, .counters = counters_, .discovery = discovery_}),
      idempotency_log_(base, planner_),
      accept_gate_(base, service_state_, clients_),
      shutdown_(base, ListenSocketOf(config),
                {.settings = config_.settings,
                 .planner = planner_,
                 .driver = driver_,
                 .service_state = service_state_,
                 .clients = clients_,
                 .requests = requests_,
                 .in_flight = in_flight_,
                 .accept_gate = accept_gate_,
                 .idempotency_log = idempotency_log_,
                 .metrics = metrics_}),
      admin_service_({.planner = planner_,
                      .service_state = service_state_,
                      .clients = clients_,
                      .in_flight = in_flight_,
                      .streams = streams_,
                      .peers = peers_,
                      .pool = pool_,
                      .memory = memory_,
                      .metrics = metrics_}) {
  config_.cached_endpoints = {};  // the registry has them now
  peers_.Open(base, operator_config);
  idempotency_log_.Start();
  if (planner_.membership() != nullptr) driver_.ArmTick();
  RegisterClassMetrics();
  if (config.inherited) accept_gate_.Start();
  if (config.ops) admin_server_.emplace(base, *config.ops, admin_service_);
}

void GatewayServer::RegisterClassMetrics() {
  for (const ClassSettings& cls : config_.settings.classes) metrics_.ForClass(cls.name);
}

ReloadResult GatewayServer::Reload(const config::Config& config,
                                   const operator_file::OperatorFile& operator_config) {
  if (config.counter) counters_.ChangeAddress(*config.counter);
  if (!(discovery_.address() == config.discovery)) discovery_.ChangeAddress(config.discovery);
  planner_.SetLimits(operator_config.idempotency, operator_config.membership);
  ++metrics_.config_reloads;
  Settings settings = config.settings;
  settings.max_customers = config_.settings.max_customers;
  const bool plans_ignored = planner_.Reconfigure(settings);
  if (plans_ignored) settings.plans = config_.settings.plans;
  clients_.SetVocabulary(ToVocabulary(settings));
  const bool needs_restart =
      plans_ignored || NeedsRestart(config_, config) || NeedsRestart(operator_config_, operator_config);
  peers_.SetRate(config.settings.peer_messages_per_second);
  config_.settings = std::move(settings);
  config_.keys = config.keys;
  RegisterClassMetrics();
  return needs_restart ? ReloadResult::kNeedsRestart : ReloadResult::kComplete;
}

}  // namespace postspread::net
