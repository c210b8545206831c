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

constexpr milliseconds kStep{10};

std::string Hex(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// A listening socket that a gateway and its successor inherit.
int ListenForHandOver(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(port);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 128) != 0) {
    throw std::runtime_error("no port");
  }
  evutil_make_socket_closeonexec(fd);
  return fd;
}

}  // namespace

json ClassesOfOtherEffects() {
  return {{{"Name", "move"},
           {"Aim", 800'000},
           {"HardLimit", 4'000'000},
           {"Effect", "keyed"},
           {"DedupScope", "cell"},
           {"KeyTtl", 15'000'000}},
          {{"Name", "order"}, {"Aim", 800'000}, {"HardLimit", 4'000'000}, {"Effect", "unsafe"}}};
}

Rig::Rig(Options options)
    : options_(std::move(options)), base_(net::MakeEventBase()), random_(options_.seed) {
  // Partners answer gateways that have been killed meanwhile: an error of that write, not the rig's end.
  std::signal(SIGPIPE, SIG_IGN);
  static int count = 0;
  folder_ = (std::filesystem::temp_directory_path() /
             ("postspread-rig-" + std::to_string(getpid()) + "-" + std::to_string(count++)))
                .string();
  std::filesystem::create_directories(folder_);
  nodes_ = std::make_unique<Nodes>(base_.get(), options_.nodes, 1, options_.seed, seconds(15));
  counter_ = std::make_unique<Counter>(base_.get());
  SetUpDatagrams();
  WriteOperators(options_);
  for (int i = 0; i < options_.gateways; ++i) SetUpGateway(i);
  clients_ = std::make_unique<Clients>(base_.get(), size(), [this](int i) { return port(i); });
  Poll();
  Next();
}

void Rig::SetUpDatagrams() {
  datagrams_ = std::make_unique<Datagrams>(base_.get(), options_.gateways, options_.seed);
  datagrams_->loss = options_.loss;
  datagrams_->most_delay = milliseconds(10);
  datagrams_->cut = [this](int from, int to) {
    if (cut_pairs_.contains({from, to}) || cut_off_.contains(from) || cut_off_.contains(to)) return true;
    return !sides_.empty() && sides_[static_cast<std::size_t>(from)] != sides_[static_cast<std::size_t>(to)];
  };
}

void Rig::SetUpGateway(int i) {
  gateways_.push_back(std::make_unique<Gateway>());
  Gateway& gateway = at(i);
  gateway.port = FreePort();
  gateway.ops = FreePort();
  if (!options_.fault_shim.empty()) MapFaults(i);
  if (options_.inherited) gateway.socket = ListenForHandOver(gateway.port);
  gateway.discovery = std::make_unique<Discovery>(base_.get());
  gateway.to_discovery = std::make_unique<Relay>(base_.get(), gateway.discovery->address());
  gateway.to_counter = std::make_unique<Relay>(base_.get(), counter_->address());
  json list = nodes_->Listed(1);
  for (json& entry : list) {
    gateway.to_nodes.push_back(std::make_unique<Relay>(base_.get(), entry["address"].get<std::string>()));
    entry["address"] = gateway.to_nodes.back()->address();
  }
  gateway.discovery->Tell(list);
  std::ofstream(Path(i, ".json")) << ConfigOf(i, list).dump();
}

json Rig::ConfigOf(int i, const json& endpoints) const {
  const Gateway& gateway = at(i);
  return {{"name", options_.name(i)},
          {"listen", LoopbackAddress(gateway.port)},
          {"ops", LoopbackAddress(gateway.ops)},
          {"discovery", gateway.to_discovery->address()},
          {"counter", gateway.to_counter->address()},
          {"limits", {{"sockets", options_.sockets}}},
          {"seed", Hex(options_.seed * 1000 + static_cast<std::uint64_t>(i))},
          {"peer_listen", datagrams_->listen(i)},
          {"peers", datagrams_->peers(i)},
          {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}}},
          {"settings", SettingsOf(i)}};
}

json Rig::SettingsOf(int i) const {
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
  ending_ = true;
  for (const auto& g : gateways_) {
    g->process.reset();
    g->former.reset();
    if (g->socket >= 0) close(g->socket);
    if (g->faults != nullptr) munmap(g->faults, sizeof(FaultControl));
  }
  // What stands in for the platform has timers of its own under way: they hold no more than `this` for a
  // while.
  Run(milliseconds(400));
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Rig::Path(int i, const char* ending) const { return folder_ + "/" + std::to_string(i) + ending; }

partners::Process::Plan Rig::PlanOf(int i) const {
  partners::Process::Plan out;
  out.program = !options_.program.empty()   ? options_.program
                : options_.disabled.empty() ? GATEWAY_PROGRAM
                                            : GATEWAY_PROGRAM_FOR_TESTS;
  out.arguments = {"--operator", folder_ + "/operator.conf", "--log-format", "json"};
  out.variables = {"ROUTER_CONFIG=" + Path(i, ".json")};
  if (!options_.disabled.empty()) out.variables.push_back("POSTSPREAD_WITHOUT=" + options_.disabled);
  if (options_.inherited) out.variables.push_back("ROUTER_FD=7");
  if (!options_.fault_shim.empty()) {
    out.variables.push_back("LD_PRELOAD=" + options_.fault_shim);
    // A program built with the sanitizers wants its own library before all others, and works without.
    out.variables.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
    out.variables.push_back(std::string(kFaultFileVariable) + "=" + Path(i, ".faults"));
  }
  out.inherited = at(i).socket;
  out.log = Path(i, ".log");
  return out;
}

void Rig::WriteOperators(const Options& values) {
  std::ofstream(folder_ + "/operator.conf")
      << "fleet {\n enabled = " << (values.view ? "true" : "false")
      << "\n name = \"rig\"\n period = " << values.period.count()
      << "ms\n suspicion = " << values.suspicion.count() << "ms\n forget = " << values.forget.count()
      << "ms\n datagrams_per_second = " << static_cast<long>(values.datagrams_per_second) << "\n}\n"
      << values.more;
}

// ---- Faults ----

void Rig::Say(const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", std::chrono::duration<double>(Clock::now() - begun_).count());
  timetable_.push_back(at + what);
}

void Rig::Disturb(int i) {
  at(i).disturbed = Clock::now();
  at(i).polls = 0;
}
void Rig::DisturbAll() {
  for (int i = 0; i < size(); ++i) Disturb(i);
}

void Rig::Start(int i) {
  Say("start " + options_.name(i));
  Gateway& g = at(i);
  g.process = std::make_unique<partners::Process>(PlanOf(i));
  g.stopped = g.leaving = false;
  g.incarnation = 0;
  g.hash.clear();
  g.members.clear();
  Disturb(i);
}
void Rig::StartAll() {
  for (int i = 0; i < size(); ++i) {
    if (!alive(i)) Start(i);
  }
}
void Rig::Kill(int i) {
  Say("kill " + options_.name(i));
  at(i).process.reset();
  at(i).stopped = false;
  Disturb(i);
}
void Rig::Stop(int i) {
  Say("stop " + options_.name(i));
  at(i).process->Stop();
  at(i).stopped = true;
  Disturb(i);
}
void Rig::Continue(int i) {
  Say("continue " + options_.name(i));
  at(i).process->Continue();
  at(i).stopped = false;
  Disturb(i);
}
void Rig::Terminate(int i) {
  Say("terminate " + options_.name(i));
  at(i).process->Terminate();
  at(i).leaving = true;
  Disturb(i);
}
void Rig::Reload(int i) {
  Say("reload " + options_.name(i));
  at(i).process->Signal(SIGHUP);
}
void Rig::Call(int i, const std::string& method, const std::string& path) {
  Say(method + " " + path + " at " + options_.name(i));
  admin_calls_.push_back(std::make_unique<AdminCall>(
      base_.get(), at(i).ops, path, [](const std::string&) {}, method));
}
void Rig::StartSuccessor(int i) {
  Say("start a successor of " + options_.name(i));
  Gateway& g = at(i);
  g.former = std::move(g.process);
  g.ops = FreePort();
  partners::Process::Plan plan = PlanOf(i);
  plan.variables.push_back("ROUTER_OPS=" + LoopbackAddress(g.ops));
  g.process = std::make_unique<partners::Process>(plan);
  g.incarnation = 0;
  g.polls = 0;
}
void Rig::EndFormer(int i) {
  Say("terminate the former " + options_.name(i));
  at(i).former->Terminate();
}
void Rig::CutPair(int from, int to, bool both) {
  Say("cut " + options_.name(from) + (both ? " <-> " : " -> ") + options_.name(to));
  cut_pairs_.insert({from, to});
  if (both) cut_pairs_.insert({to, from});
}
void Rig::Split(std::vector<int> sides) {
  std::string text;
  for (const int side : sides) text += std::to_string(side);
  Say("split " + text);
  sides_ = std::move(sides);
  DisturbAll();
}
void Rig::CutOff(int i) {
  Say("cut off " + options_.name(i));
  cut_off_.insert(i);
  at(i).to_counter->Cut();
  at(i).to_discovery->Cut();
  for (const auto& relay : at(i).to_nodes) relay->Cut();
  DisturbAll();
}
void Rig::Rejoin(int i) {
  Say("rejoin " + options_.name(i));
  cut_off_.erase(i);
  at(i).to_counter->Heal();
  at(i).to_discovery->Heal();
  for (const auto& relay : at(i).to_nodes) relay->Heal();
  DisturbAll();
}
std::vector<Relay*> Rig::Relays(int i, Way way) {
  if (way == Way::kCounter) return {at(i).to_counter.get()};
  if (way == Way::kDiscovery) return {at(i).to_discovery.get()};
  std::vector<Relay*> out;
  for (const auto& relay : at(i).to_nodes) out.push_back(relay.get());
  return out;
}
void Rig::CutWay(int i, Way way) {
  for (Relay* relay : Relays(i, way)) relay->Cut();
}
void Rig::HealWay(int i, Way way) {
  for (Relay* relay : Relays(i, way)) relay->Heal();
}
void Rig::ResetWay(int i, Way way) {
  for (Relay* relay : Relays(i, way)) relay->Reset();
}
void Rig::TellNodes(const std::set<int>& draining) {
  for (const auto& g : gateways_) {
    json list = nodes_->Listed(1);
    for (std::size_t node = 0; node < list.size(); ++node) {
      list[node]["address"] = g->to_nodes[node]->address();
      if (draining.contains(static_cast<int>(node))) list[node]["status"] = "Terminating";
    }
    g->discovery->Tell(std::move(list));
  }
}
void Rig::MapFaults(int i) {
  const int fd = ::open(Path(i, ".faults").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ftruncate(fd, sizeof(FaultControl)) != 0) throw std::runtime_error("no page of faults");
  void* page = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  if (page == MAP_FAILED) throw std::runtime_error("no page of faults");
  at(i).faults = new (page) FaultControl{};
  at(i).faults->seed = options_.seed + static_cast<std::uint64_t>(i);
}
void Rig::HealAll() {
  Say("heal all");
  cut_pairs_.clear();
  sides_.clear();
  for (const int i : std::set<int>(cut_off_)) Rejoin(i);
  DisturbAll();
}

// ---- Time ----

void Rig::Run(std::chrono::microseconds span) {
  const auto until = Clock::now() + span;
  while (Clock::now() < until) {
    const timeval step{0, std::chrono::microseconds(kStep).count()};
    event_base_loopexit(base_.get(), &step);
    event_base_dispatch(base_.get());
    if (!ending_) Reap();
  }
}

double Rig::Periods(Clock::time_point since) const {
  return std::chrono::duration<double>(Clock::now() - since) / std::chrono::duration<double>(options_.period);
}

double Rig::Until(const std::function<bool()>& holds, double most) {
  const auto begun = Clock::now();
  while (!holds()) {
    if (Periods(begun) >= most) {
      Say("waited in vain");
      return -1;
    }
    Run(kStep);
  }
  return Periods(begun);
}

// Processes that were told to end do so; one that ends unasked is a crash.
void Rig::Reap() {
  for (int i = 0; i < size(); ++i) {
    Gateway& g = at(i);
    int code = 0;
    if (g.former && g.former->Ended(code)) {
      if (code != 0)
        broken_.push_back("the former " + options_.name(i) + " ended with " + std::to_string(code));
      g.former.reset();
    }
    if (!g.process || !g.process->Ended(code)) continue;
    Say(options_.name(i) + " has ended with " + std::to_string(code));
    if (!g.leaving || code != 0) broken_.push_back(options_.name(i) + " ended with " + std::to_string(code));
    g.process.reset();
    Disturb(i);
  }
}

}  // namespace postspread::fleet_rig
