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

#include "membership/wire.h"

namespace postspread::fleet_rig {
namespace {

using namespace partners;

constexpr milliseconds kPollEvery{40};
constexpr milliseconds kStep{10};
constexpr seconds kTimeout{4};           // of a client
constexpr seconds kLate{6};              // by then an answer counts as never come
constexpr double kSeenWithin = 25;       // periods
constexpr int kUndisturbedPeriods = 30;  // after which nobody may be held dead that lives

std::string Hex(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

// One call at a door; the body comes, or nothing.
class Rig::Fetch {
 public:
  Fetch(event_base* base, int port, const std::string& path, std::function<void(std::string)> done,
        const std::string& method = "GET")
      : done_(std::move(done)) {
    event_ = net::Dial(
        base, *config::Address::Parse(LoopbackAddress(port)), nullptr, nullptr,
        [](bufferevent*, short what, void* self) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
            static_cast<Fetch*>(self)->End();
        },
        this);
    if (!event_) {
      over_ = true;
      return;
    }
    const timeval limit{2, 0};
    bufferevent_set_timeouts(event_.get(), &limit, nullptr);
    bufferevent_enable(event_.get(), EV_READ | EV_WRITE);
    const std::string call = method + " " + path + " HTTP/1.1\r\nHost: rig\r\n\r\n";
    bufferevent_write(event_.get(), call.data(), call.size());
  }
  [[nodiscard]] bool over() const { return over_; }

 private:
  void End() {
    const std::string text(net::Peek(event_.get(), net::ReadSize(event_.get())));
    over_ = true;
    const std::size_t body = text.find("\r\n\r\n");
    if (text.starts_with("HTTP/1.1 200") && body != std::string::npos) done_(text.substr(body + 4));
  }
  net::BufferEvent event_;
  std::function<void(std::string)> done_;
  bool over_ = false;
};

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
  datagrams_ = std::make_unique<Datagrams>(base_.get(), options_.gateways, options_.seed);
  datagrams_->loss = options_.loss;
  datagrams_->most_delay = milliseconds(10);
  datagrams_->cut = [this](int from, int to) {
    if (cut_pairs_.contains({from, to}) || cut_off_.contains(from) || cut_off_.contains(to)) return true;
    return !sides_.empty() && sides_[static_cast<std::size_t>(from)] != sides_[static_cast<std::size_t>(to)];
  };
  WriteOperators(options_);
  for (int i = 0; i < options_.gateways; ++i) {
    gateways_.push_back(std::make_unique<Gateway>());
    Gateway& g = at(i);
    g.port = FreePort();
    g.ops = FreePort();
    if (!options_.fault_shim.empty()) MapFaults(i);
    if (options_.inherited) {
      g.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      const sockaddr_in address = Loopback(g.port);
      const int one = 1;
      setsockopt(g.socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      if (bind(g.socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
          listen(g.socket, 128) != 0) {
        throw std::runtime_error("no port");
      }
      evutil_make_socket_closeonexec(g.socket);
    }
    g.discovery = std::make_unique<Discovery>(base_.get());
    g.to_discovery = std::make_unique<Relay>(base_.get(), g.discovery->address());
    g.to_counter = std::make_unique<Relay>(base_.get(), counter_->address());
    json list = nodes_->Listed(1);
    for (json& entry : list) {
      g.to_nodes.push_back(std::make_unique<Relay>(base_.get(), entry["address"].get<std::string>()));
      entry["address"] = g.to_nodes.back()->address();
    }
    g.discovery->Tell(list);
    json classes = {{{"Name", "read"}, {"Aim", 800'000}, {"HardLimit", 4'000'000}, {"Effect", "safe"}}};
    classes.insert(classes.end(), options_.more_classes.begin(), options_.more_classes.end());
    const json config = {{"name", options_.name(i)},
                         {"listen", LoopbackAddress(g.port)},
                         {"ops", LoopbackAddress(g.ops)},
                         {"discovery", g.to_discovery->address()},
                         {"counter", g.to_counter->address()},
                         {"limits", {{"sockets", options_.sockets}}},
                         {"seed", Hex(options_.seed * 1000 + static_cast<std::uint64_t>(i))},
                         {"peer_listen", datagrams_->listen(i)},
                         {"peers", datagrams_->peers(i)},
                         {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", list}}},
                         {"settings",
                          {{"Classes", classes},
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
                             {"ConnIdle", 30'000'000}}}}}};
    std::ofstream(Path(i, ".json")) << config.dump();
  }
  clients_ = std::make_unique<Clients>(base_.get(), size(), [this](int i) { return port(i); });
  Poll();
  Next();
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
  fetches_.push_back(std::make_unique<Fetch>(
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

// ---- What is seen ----

void Rig::Poll() {
  std::erase_if(fetches_, [](const auto& f) { return f->over(); });
  for (int i = 0; i < size() && !ending_ && polls_; ++i) {
    if (!alive(i) || stopped(i) || !options_.view) continue;
    const int epoch = at(i).polls;
    fetches_.push_back(
        std::make_unique<Fetch>(base_.get(), at(i).ops, "/v1/fleet",
                                [this, i, epoch](const std::string& body) { Take(i, epoch, body); }));
  }
  if (!ending_) After(base_.get(), kPollEvery, [this] { Poll(); });
}

// Members of the object and of its list are what operators' scripts read.
bool HasTheFormOfAView(const json& view) {
  const auto has_just = [](const json& object, const std::set<std::string>& names) {
    std::set<std::string> found;
    for (const auto& [name, value] : object.items()) found.insert(name);
    return found == names;
  };
  if (!has_just(view, {"self", "life", "view", "members"})) return false;
  return std::all_of(view["members"].begin(), view["members"].end(), [&](const json& member) {
    return has_just(member, {"name", "address", "state", "life", "since_ms", "word"});
  });
}

void Rig::Take(int i, int, const std::string& body) {
  Gateway& g = at(i);
  if (!g.process || g.stopped) return;
  const json view = json::parse(body, nullptr, false);
  if (view.is_discarded()) return broken_.push_back("the door gave no JSON");
  if (!HasTheFormOfAView(view)) return broken_.push_back("GET /v1/fleet has another form: " + body);
  const std::string hash = view["view"];
  if (!g.hash.empty() && hash != g.hash) {
    g.changes.push_back(Clock::now());
    std::erase_if(g.changes, [](auto t) { return Clock::now() - t > seconds(60); });
    flaps_per_minute = std::max<std::uint64_t>(flaps_per_minute, g.changes.size());
  }
  g.hash = hash;
  g.incarnation = view["life"];
  g.members.clear();
  for (const json& m : view["members"]) g.members[m["name"]] = {m["state"], m["life"]};
  ++g.polls;
  Check(i);
}

// All through: whoever has run undisturbed for long enough, as has the viewer, is held to live in its own
// life.
void Rig::Check(int viewer) {
  const Gateway& g = at(viewer);
  for (int other = 0; other < size(); ++other) {
    const Gateway& o = at(other);
    if (other == viewer || !o.process || o.stopped || o.leaving || g.leaving) continue;
    if (Periods(o.disturbed) < kUndisturbedPeriods || Periods(g.disturbed) < kUndisturbedPeriods) continue;
    const std::optional<Held> held = See(viewer, other);
    if (held && held->state != "dead" && held->state != "left") continue;
    ++false_deaths;
    if (broken_.size() < 20) {
      Say(options_.name(viewer) + " holds " + options_.name(other) +
          (held ? " " + held->state : " for unknown"));
      broken_.push_back(options_.name(viewer) + " holds " + options_.name(other) +
                        " not to live, which it does");
    }
  }
}

std::vector<int> Rig::Living() const {
  std::vector<int> out;
  for (int i = 0; i < size(); ++i) {
    if (alive(i) && !stopped(i) && !at(i).leaving) out.push_back(i);
  }
  return out;
}

std::optional<Held> Rig::See(int viewer, int member) const {
  const auto found = at(viewer).members.find(options_.name(member));
  if (found == at(viewer).members.end()) return std::nullopt;
  return found->second;
}

bool Rig::SeenByAny(int member) const {
  for (const int viewer : Living()) {
    const std::optional<Held> held = See(viewer, member);
    if (viewer != member && held && (held->state == "alive" || held->state == "suspect")) return true;
  }
  return false;
}

int Rig::Count(int viewer, const std::string& state) const {
  const auto& members = at(viewer).members;
  return static_cast<int>(
      std::count_if(members.begin(), members.end(), [&](const auto& m) { return m.second.state == state; }));
}

bool Rig::Agree(const std::vector<int>& side) const {
  for (const int viewer : side) {
    const Gateway& g = at(viewer);
    if (g.polls == 0 || g.hash != at(side.front()).hash) return false;
    std::size_t living = 0;
    for (const auto& [name, held] : g.members) living += held.state == "alive" || held.state == "suspect";
    if (living != side.size()) return false;
    for (const int other : side) {
      const std::optional<Held> held = See(viewer, other);
      if (!held || held->incarnation != at(other).incarnation ||
          (held->state != "alive" && held->state != "suspect"))
        return false;
    }
  }
  return true;
}

void Rig::ReadMetrics() {
  int left = 0;
  for (int i = 0; i < size(); ++i) {
    if (!alive(i) || stopped(i)) continue;
    ++left;
    fetches_.push_back(std::make_unique<Fetch>(
        base_.get(), at(i).ops, "/v1/metrics", [this, i, &left](const std::string& body) {
          --left;
          std::istringstream lines(body);
          for (std::string line; std::getline(lines, line);) {
            const std::size_t space = line.rfind(' ');
            if (line.empty() || line[0] == '#' || space == std::string::npos) continue;
            at(i).metrics[line.substr(0, space)] = std::stod(line.substr(space + 1));
          }
        }));
  }
  Until([&left] { return left == 0; }, 50);
}

bool Rig::Logged(int i, const std::string& text) const {
  std::ostringstream out;
  out << std::ifstream(Path(i, ".log")).rdbuf();
  return out.str().find(text) != std::string::npos;
}

double Rig::Cpu() const {
  double out = 0;
  for (const auto& g : gateways_) out += g->process ? g->process->CpuSeconds() : 0;
  return out;
}
double Rig::PeakMb() const {
  double out = 0;
  for (const auto& g : gateways_) out = std::max(out, g->process ? g->process->PeakMb() : 0);
  return out;
}

// ---- Traffic ----

void Rig::Traffic(double per_second) {
  per_second_ = per_second;
  asked_ = Clock::now();
}

void Rig::Next() {
  if (ending_) return;
  if (per_second_ > 0) {
    const auto now = Clock::now();
    owed_ += std::chrono::duration<double>(now - asked_).count() * per_second_;
    asked_ = now;
    for (; owed_ >= 1; owed_ -= 1) Ask();
  }
  After(base_.get(), milliseconds(4), [this] { Next(); });
}

void Rig::Ask() {
  std::vector<int> to;
  for (int i = 0; i < size(); ++i) {
    if (sends_to(i)) to.push_back(i);
  }
  if (to.empty()) return;
  const int rank = to[random_() % to.size()];
  std::string message;
  resp::AppendCommand(
      {"API.READ", Hex(random_() % 500 + 1), Hex(next_id_++),
       "c=read,t=basic,d=" + std::to_string(milliseconds(kTimeout).count()) +
           ",units=1,spread=" + std::to_string(std::min(size(), 4)) + ",first=" + std::to_string(rank)},
      message);
  ++tally_.asked;
  ++open_;
  const auto over = std::make_shared<bool>(false);
  After(base_.get(), kLate, [this, over] {
    if (ending_ || std::exchange(*over, true)) return;
    --open_;
    ++tally_.unanswered;
  });
  clients_->Ask(rank, message, [this, over](bool came, const std::string& answer) {
    if (std::exchange(*over, true)) return;
    --open_;
    ++(!came                         ? tally_.dropped
       : answer[0] == '+'            ? tally_.served
       : answer.starts_with("-BUSY") ? tally_.refused
                                     : tally_.failed);
  });
}

std::string Rig::Report() const {
  std::string out = "seed " + std::to_string(options_.seed) + "\n";
  for (const std::string& line : timetable_) out += line + "\n";
  std::vector<std::pair<std::string, std::string>> lines;
  for (int i = 0; i < size(); ++i) {
    std::ifstream log(Path(i, ".log"));
    for (std::string line; std::getline(log, line);) {
      const json parsed = json::parse(line, nullptr, false);
      if (parsed.is_discarded()) {
        lines.emplace_back("", options_.name(i) + " " + line);
        continue;
      }
      lines.emplace_back(parsed.value("time", ""), options_.name(i) + " " + parsed.value("event", "") + ": " +
                                                       parsed.value("detail", ""));
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [time, line] : lines) out += time + " " + line + "\n";
  return out;
}

bool SeesRed(const std::string& disabled) {
  Rig rig({.gateways = 5, .datagrams_per_second = 60, .disabled = disabled});
  rig.StartAll();
  if (rig.Until([&] { return rig.AllAgree(); }, 50) < 0) return true;
  const auto deaths = [&] {
    rig.ReadMetrics();
    double out = 0;
    for (const int i : rig.Living()) out += rig.Metric(i, "svc_fleet_deaths_declared");
    return out;
  };
  const auto apart = [&] { return rig.Until([&] { return rig.AllAgree(); }, kSeenWithin) < 0; };
  // The sound program goes through all of it, one without a defence through what that is for.
  const auto plays = [&](std::initializer_list<const char*> defences) {
    return disabled.empty() || std::find(defences.begin(), defences.end(), disabled) != defences.end();
  };
  if (plays({"help"})) {  // two that hear one another only through others
    rig.CutPair(0, 1, true);
    rig.Run(milliseconds(2'500));
    if (deaths() > 0) return true;
    rig.HealAll();
  }
  if (plays({"knocking"})) {  // one that nobody hears, each time for less than the suspicion lasts
    for (int i = 0; i < 4; ++i) {
      rig.Split({0, 0, 1, 0, 0});
      rig.Run(milliseconds(550));
      rig.HealAll();
      rig.Run(milliseconds(600));
    }
    if (deaths() > 0) return true;
  }
  if (plays({"local-health"})) {  // one that is cut off
    rig.CutOff(3);
    rig.Run(milliseconds(2'500));
    rig.ReadMetrics();
    if (rig.Metric(3, "svc_fleet_deaths_declared") > 0) return true;
    rig.HealAll();
    if (apart()) return true;
  }
  if (plays({"lives"})) {  // one that is killed and started again at once
    rig.Kill(4);
    rig.Run(milliseconds(100));
    rig.Start(4);
    if (apart()) return true;
  }
  if (plays({"refutation", "asking-again"})) {  // halves
    rig.Split({0, 0, 1, 1, 1});
    rig.Run(milliseconds(2'500));
    rig.HealAll();
    if (apart()) return true;
  }
  if (plays({"budget"})) {  // a flood of asks that are sound
    rig.ReadMetrics();
    const double before = rig.Metric(0, "svc_fleet_datagrams_sent");
    membership::Message ask;
    ask.sender = {
        "gk-1", 0, {rig.incarnation(1), 0, membership::State::kAlive}, membership::EntryKind::kGossip};
    const std::string bytes = membership::Writer(membership::DigestGroup("rig"), ask, 256).Seal();
    for (int i = 0; i < 100; ++i) {
      for (int n = 0; n < 20; ++n) rig.datagrams().Inject(1, 0, bytes);
      rig.Run(milliseconds(10));
    }
    rig.ReadMetrics();
    if (rig.Metric(0, "svc_fleet_datagrams_sent") - before > 400) return true;
  }
  return !rig.broken().empty();
}

}  // namespace postspread::fleet_rig
