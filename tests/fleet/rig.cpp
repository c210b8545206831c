#include "fleet/rig.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <initializer_list>
#include <sstream>

#include "fleet/admin_call.h"

namespace postspread::fleet_rig {
namespace {

using namespace partners;

constexpr milliseconds kStepInterval{10};

std::string Hex(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// Returns a listening socket that a gateway and its successor inherit.
int ListenForSuccessor(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(port);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 128) != 0) {
    throw std::runtime_error("can't listen on the gateway's port");
  }
  evutil_make_socket_closeonexec(fd);
  return fd;
}

}  // namespace

json AdditionalRequestClasses() {
  return {{{"Name", "move"},
           {"Aim", 800'000},
           {"HardLimit", 4'000'000},
           {"Effect", "keyed"},
           {"DedupScope", "cell"},
           {"KeyTtl", 15'000'000}},
          {{"Name", "order"}, {"Aim", 800'000}, {"HardLimit", 4'000'000}, {"Effect", "unsafe"}}};
}

Rig::Rig(Options options) : options_(std::move(options)), base_(net::MakeEventBase()), rng_(options_.seed) {
  // The simulated services may write to a gateway that has been killed. The write has to fail with an error
  // and must not terminate the rig.
  std::signal(SIGPIPE, SIG_IGN);
  static int count = 0;
  directory_ = (std::filesystem::temp_directory_path() /
                ("postspread-rig-" + std::to_string(getpid()) + "-" + std::to_string(count++)))
                   .string();
  std::filesystem::create_directories(directory_);
  upstreams_ = std::make_unique<Upstreams>(base_.get(), options_.upstreams, 1, options_.seed, seconds(15));
  counter_ = std::make_unique<Counter>(base_.get());
  SetUpDatagrams();
  WriteOperatorFile(options_);
  for (int i = 0; i < options_.gateways; ++i) SetUpGateway(i);
  clients_ = std::make_unique<Clients>(base_.get(), size(), [this](int i) { return port(i); });
  Poll();
  SendDueRequests();
}

void Rig::SetUpDatagrams() {
  datagrams_ = std::make_unique<Datagrams>(base_.get(), options_.gateways, options_.seed);
  datagrams_->loss = options_.loss;
  datagrams_->max_delay = milliseconds(10);
  datagrams_->cut = [this](int from, int to) {
    if (cut_pairs_.contains({from, to}) || isolated_.contains(from) || isolated_.contains(to)) return true;
    return !partition_.empty() &&
           partition_[static_cast<std::size_t>(from)] != partition_[static_cast<std::size_t>(to)];
  };
}

void Rig::SetUpGateway(int i) {
  gateways_.push_back(std::make_unique<Gateway>());
  Gateway& gateway = at(i);
  gateway.port = FreePort();
  gateway.admin_port = FreePort();
  if (!options_.fault_shim.empty()) MapFaultControl(i);
  if (options_.inherited) gateway.socket = ListenForSuccessor(gateway.port);
  gateway.discovery = std::make_unique<Discovery>(base_.get());
  gateway.discovery_relay = std::make_unique<Relay>(base_.get(), gateway.discovery->address());
  gateway.counter_relay = std::make_unique<Relay>(base_.get(), counter_->address());
  json list = upstreams_->EndpointEntries(1);
  for (json& entry : list) {
    gateway.upstream_relays.push_back(
        std::make_unique<Relay>(base_.get(), entry["address"].get<std::string>()));
    entry["address"] = gateway.upstream_relays.back()->address();
  }
  const json more = MoreEndpoints();
  list.insert(list.end(), more.begin(), more.end());
  gateway.discovery->Publish(list);
  std::ofstream(Path(i, ".json")) << MakeConfig(i, list).dump();
}

json Rig::MoreEndpoints() const {
  json out = json::array();
  for (int i = 0; i < options_.more_endpoints; ++i) {
    out.push_back({{"name", "s-more-" + std::to_string(i)},
                   {"address", "127.0.1.1:" + std::to_string(1'000 + i)},
                   {"zone", "hall-a"},
                   {"group", 0},
                   {"status", "Terminating"}});
  }
  return out;
}

json Rig::MakeConfig(int i, const json& endpoints) const {
  const Gateway& gateway = at(i);
  return {{"name", options_.name(i)},
          {"listen", LoopbackAddress(gateway.port)},
          {"ops", LoopbackAddress(gateway.admin_port)},
          {"discovery", gateway.discovery_relay->address()},
          {"counter", gateway.counter_relay->address()},
          {"limits", {{"sockets", options_.sockets}, {"memory_mb", options_.memory_mb}}},
          {"seed", Hex(options_.seed * 1000 + static_cast<std::uint64_t>(i))},
          {"peer_listen", datagrams_->listen(i)},
          {"peers", datagrams_->peers(i)},
          {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}}},
          {"settings", MakeSettings(i)}};
}

json Rig::MakeSettings(int i) const {
  json classes = {{{"Name", "read"}, {"Aim", 800'000}, {"HardLimit", 4'000'000}, {"Effect", "safe"}}};
  classes.insert(classes.end(), options_.more_classes.begin(), options_.more_classes.end());
  return {{"Classes", classes},
          {"Contracts", {{{"Name", "basic"}, {"PerSecond", 100'000}, {"Depth", 100'000}}}},
          {"Domain", {{"SharedCounter", true}, {"CountLimit", 100'000}, {"MaxUnits", 4}}},
          {"Rank", i},
          {"GroupSize", options_.gateways},
          {"Limits",
           {{"Cancelling", true},
            {"MostTries", 4},
            {"MayTell", true},
            {"RetryAfter", true},
            {"MaxRetryAfter", 1'000'000},
            {"DialTimeout", 500'000},
            {"ConnIdle", 30'000'000}}}};
}

Rig::~Rig() {
  shutting_down_ = true;
  for (const auto& g : gateways_) {
    g->process.reset();
    g->predecessor.reset();
    if (g->socket >= 0) close(g->socket);
    if (g->faults != nullptr) munmap(g->faults, sizeof(FaultControl));
  }
  // Timers of the simulated services may still be pending, and their callbacks use this object. They expire
  // within this time.
  Run(milliseconds(400));
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string Rig::Path(int i, const char* ending) const {
  return directory_ + "/" + std::to_string(i) + ending;
}

partners::Process::Options Rig::ProcessOptions(int i) const {
  partners::Process::Options out;
  out.program = !options_.program.empty()   ? options_.program
                : options_.disabled.empty() ? GATEWAY_PROGRAM
                                            : GATEWAY_PROGRAM_FOR_TESTS;
  out.arguments = {"--operator", directory_ + "/operator.conf", "--log-format", "json"};
  out.variables = {"ROUTER_CONFIG=" + Path(i, ".json")};
  if (!options_.disabled.empty()) out.variables.push_back("POSTSPREAD_WITHOUT=" + options_.disabled);
  if (options_.inherited) out.variables.push_back("ROUTER_FD=7");
  if (!options_.fault_shim.empty()) {
    out.variables.push_back("LD_PRELOAD=" + options_.fault_shim);
    // The address sanitizer refuses to start where its library isn't loaded first, but works in any order.
    out.variables.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
    out.variables.push_back(std::string(kFaultFileVariable) + "=" + Path(i, ".faults"));
  }
  out.inherited = at(i).socket;
  out.log = Path(i, ".log");
  return out;
}

void Rig::WriteOperatorFile(const Options& values) {
  std::ofstream(directory_ + "/operator.conf")
      << "fleet {\n enabled = " << (values.view ? "true" : "false")
      << "\n name = \"rig\"\n period = " << values.period.count()
      << "ms\n suspicion = " << values.suspicion.count() << "ms\n forget = " << values.forget.count()
      << "ms\n datagrams_per_second = " << static_cast<long>(values.datagrams_per_second) << "\n}\n"
      << values.more;
}

// ---- Faults ----

void Rig::LogEvent(const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", std::chrono::duration<double>(Clock::now() - started_at_).count());
  event_log_.push_back(at + what);
}

void Rig::MarkDisturbed(int i) {
  at(i).disturbed_at = Clock::now();
  at(i).polls = 0;
}
void Rig::MarkAllDisturbed() {
  for (int i = 0; i < size(); ++i) MarkDisturbed(i);
}

void Rig::Start(int i) {
  LogEvent("start " + options_.name(i));
  Gateway& g = at(i);
  g.process = std::make_unique<partners::Process>(ProcessOptions(i));
  g.process->LimitDescriptors(static_cast<rlim_t>(options_.sockets));
  g.stopped = g.shutting_down = false;
  g.incarnation = 0;
  g.hash.clear();
  g.members.clear();
  MarkDisturbed(i);
}
void Rig::StartAll() {
  for (int i = 0; i < size(); ++i) {
    if (!alive(i)) Start(i);
  }
}
void Rig::Kill(int i) {
  LogEvent("kill " + options_.name(i));
  at(i).process.reset();
  at(i).stopped = false;
  MarkDisturbed(i);
}
void Rig::Stop(int i) {
  LogEvent("stop " + options_.name(i));
  at(i).process->Stop();
  at(i).stopped = true;
  MarkDisturbed(i);
}
void Rig::Continue(int i) {
  LogEvent("continue " + options_.name(i));
  at(i).process->Continue();
  at(i).stopped = false;
  MarkDisturbed(i);
}
void Rig::Terminate(int i) {
  LogEvent("terminate " + options_.name(i));
  at(i).process->Terminate();
  at(i).shutting_down = true;
  MarkDisturbed(i);
}
void Rig::Reload(int i) {
  LogEvent("reload " + options_.name(i));
  at(i).process->Signal(SIGHUP);
}
void Rig::Call(int i, const std::string& method, const std::string& path) {
  LogEvent(method + " " + path + " at " + options_.name(i));
  admin_calls_.push_back(std::make_unique<AdminCall>(
      base_.get(), at(i).admin_port, path, [](const std::string&) {}, method));
}
void Rig::StartSuccessor(int i) {
  LogEvent("start a successor of " + options_.name(i));
  Gateway& g = at(i);
  g.predecessor = std::move(g.process);
  g.admin_port = FreePort();
  partners::Process::Options options = ProcessOptions(i);
  options.variables.push_back("ROUTER_OPS=" + LoopbackAddress(g.admin_port));
  g.process = std::make_unique<partners::Process>(options);
  g.process->LimitDescriptors(static_cast<rlim_t>(options_.sockets));
  g.incarnation = 0;
  g.polls = 0;
}
void Rig::TerminatePredecessor(int i) {
  LogEvent("terminate the predecessor of " + options_.name(i));
  at(i).predecessor->Terminate();
}
void Rig::CutPair(int from, int to, bool both) {
  LogEvent("cut " + options_.name(from) + (both ? " <-> " : " -> ") + options_.name(to));
  cut_pairs_.insert({from, to});
  if (both) cut_pairs_.insert({to, from});
}
void Rig::Partition(std::vector<int> sides) {
  std::string text;
  for (const int side : sides) text += std::to_string(side);
  LogEvent("partition " + text);
  partition_ = std::move(sides);
  MarkAllDisturbed();
}
void Rig::Isolate(int i) {
  LogEvent("isolate " + options_.name(i));
  isolated_.insert(i);
  at(i).counter_relay->Cut();
  at(i).discovery_relay->Cut();
  for (const auto& relay : at(i).upstream_relays) relay->Cut();
  MarkAllDisturbed();
}
void Rig::Rejoin(int i) {
  LogEvent("rejoin " + options_.name(i));
  isolated_.erase(i);
  at(i).counter_relay->Heal();
  at(i).discovery_relay->Heal();
  for (const auto& relay : at(i).upstream_relays) relay->Heal();
  MarkAllDisturbed();
}
std::vector<Relay*> Rig::Relays(int i, Service service) {
  if (service == Service::kCounter) return {at(i).counter_relay.get()};
  if (service == Service::kDiscovery) return {at(i).discovery_relay.get()};
  std::vector<Relay*> out;
  for (const auto& relay : at(i).upstream_relays) out.push_back(relay.get());
  return out;
}
void Rig::CutConnections(int i, Service service) {
  for (Relay* relay : Relays(i, service)) relay->Cut();
}
void Rig::RestoreConnections(int i, Service service) {
  for (Relay* relay : Relays(i, service)) relay->Heal();
}
void Rig::ResetConnections(int i, Service service) {
  for (Relay* relay : Relays(i, service)) relay->Reset();
}
void Rig::PublishEndpoints(const std::set<int>& draining) {
  for (const auto& g : gateways_) {
    json list = upstreams_->EndpointEntries(1);
    for (std::size_t upstream = 0; upstream < list.size(); ++upstream) {
      list[upstream]["address"] = g->upstream_relays[upstream]->address();
      if (draining.contains(static_cast<int>(upstream))) list[upstream]["status"] = "Terminating";
    }
    const json more = MoreEndpoints();
    list.insert(list.end(), more.begin(), more.end());
    g->discovery->Publish(std::move(list));
  }
}
void Rig::MapFaultControl(int i) {
  const int fd = ::open(Path(i, ".faults").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ftruncate(fd, sizeof(FaultControl)) != 0)
    throw std::runtime_error("can't create the fault control file");
  void* mapping = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  if (mapping == MAP_FAILED) throw std::runtime_error("can't map the fault control file");
  at(i).faults = new (mapping) FaultControl{};
  at(i).faults->seed = options_.seed + static_cast<std::uint64_t>(i);
}
void Rig::HealAll() {
  LogEvent("heal all");
  cut_pairs_.clear();
  partition_.clear();
  for (const int i : std::set<int>(isolated_)) Rejoin(i);
  MarkAllDisturbed();
}

// ---- Time ----

void Rig::Run(std::chrono::microseconds span) {
  const auto until = Clock::now() + span;
  while (Clock::now() < until) {
    const timeval step{0, std::chrono::microseconds(kStepInterval).count()};
    event_base_loopexit(base_.get(), &step);
    event_base_dispatch(base_.get());
    if (!shutting_down_) ReapExited();
  }
}

double Rig::Periods(Clock::time_point since) const {
  return std::chrono::duration<double>(Clock::now() - since) / std::chrono::duration<double>(options_.period);
}

double Rig::Until(const std::function<bool()>& condition, double max_periods) {
  const auto started_at = Clock::now();
  while (!condition()) {
    if (Periods(started_at) >= max_periods) {
      LogEvent("condition not met in time");
      return -1;
    }
    Run(kStepInterval);
  }
  return Periods(started_at);
}

// Collects the processes that have exited. A process that exits without a SIGTERM, or with a code other than
// 0, is a violation.
void Rig::ReapExited() {
  for (int i = 0; i < size(); ++i) {
    Gateway& g = at(i);
    int code = 0;
    if (g.predecessor && g.predecessor->Ended(code)) {
      if (code != 0)
        violations_.push_back("the predecessor of " + options_.name(i) + " exited with code " +
                              std::to_string(code));
      g.predecessor.reset();
    }
    if (!g.process || !g.process->Ended(code)) continue;
    LogEvent(options_.name(i) + " exited with code " + std::to_string(code));
    if (!g.shutting_down || code != 0)
      violations_.push_back(options_.name(i) + " exited with code " + std::to_string(code));
    g.process.reset();
    MarkDisturbed(i);
  }
}

}  // namespace postspread::fleet_rig
