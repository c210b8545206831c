// What the rig sees of its gateways: views, metrics, logs and the answers to its own traffic.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "fleet/admin_call.h"
#include "fleet/rig.h"

namespace postspread::fleet_rig {
namespace {

using namespace partners;

constexpr milliseconds kPollEvery{40};
constexpr seconds kTimeout{4};           // of a client
constexpr seconds kLate{6};              // by then an answer counts as never come
constexpr int kUndisturbedPeriods = 30;  // after which nobody may be held dead that lives

std::string Hex(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
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

}  // namespace

// ---- What is seen ----

void Rig::Poll() {
  std::erase_if(admin_calls_, [](const auto& f) { return f->over(); });
  for (int i = 0; i < size() && !ending_ && polls_; ++i) {
    if (!alive(i) || stopped(i) || !options_.view) continue;
    const int epoch = at(i).polls;
    admin_calls_.push_back(
        std::make_unique<AdminCall>(base_.get(), at(i).ops, "/v1/fleet",
                                    [this, i, epoch](const std::string& body) { Take(i, epoch, body); }));
  }
  if (!ending_) After(base_.get(), kPollEvery, [this] { Poll(); });
}

void Rig::Take(int i, int, const std::string& body) {
  Gateway& g = at(i);
  if (!g.process || g.stopped) return;
  const json view = json::parse(body, nullptr, false);
  if (view.is_discarded()) return broken_.push_back("the admin server gave no JSON");
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

// At every poll: whoever has run undisturbed for long enough, as has the viewer, must be seen alive in its
// own incarnation.
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
    admin_calls_.push_back(std::make_unique<AdminCall>(
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
  for (const auto& [time, line] : lines) out.append(time).append(" ").append(line).append("\n");
  return out;
}

}  // namespace postspread::fleet_rig
