// Measures the membership view: real gateways under faults drawn from a seed, then many in modelled
// time, then what the view costs beside the same traffic without it. Exit 0 only if every promise of
// src/membership/membership.h held; the last line is one JSON object.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>

#include "fleet/rig.h"
#include "membership/model.h"

namespace postspread::bench {
namespace {

using fleet_rig::Rig;
using membership::testing::Model;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kGiveUp = 60;  // periods

struct Settings {
  int processes = 16;
  int faults_s = 120;
  bool is_short = false;
  std::uint64_t seed = 1;
  double rate = 140;  // requests a second to each gateway, in the part that measures CPU
  int cost_s = 30;
  std::string write, play;  // a file of faults
};

double Share(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

struct Fault {
  enum Kind { kKill, kShortStop, kLongStop, kSplit, kLeave, kCutOff };
  int kind = kKill;
  std::uint64_t pick = 0;  // of the member among those that live, or of sides, by its bits
  int ms = 0;              // how much longer than the least
};

class Run {
 public:
  explicit Run(const Settings& settings) : settings_(settings) {}

  int Main() {
    Processes(0.0);
    Processes(0.1);
    Modelled();
    Cost();
    if (!settings_.is_short) {
      for (const char* disabled : fleet_rig::kDefences) defences_ += fleet_rig::SeesRed(disabled);
    }
    return Verdict();
  }

 private:
  void Broken(const std::string& sentence) {
    if (broken_.size() < 20) broken_.push_back(sentence);
  }

  // Drawn from the seed, or as a file has them: a line a fault.
  std::vector<Fault> Timetable(int part) {
    std::vector<Fault> out;
    if (!settings_.play.empty()) {
      std::ifstream file(settings_.play);
      for (Fault f; file >> f.kind >> f.pick >> f.ms;) out.push_back(f);
      if (out.empty()) throw std::runtime_error(settings_.play + ": no faults in it");
      return out;
    }
    std::mt19937_64 random(settings_.seed * 2 + static_cast<std::uint64_t>(part));
    for (int i = 0; i < 400; ++i) {
      out.push_back({static_cast<int>(random() % 6), random(), static_cast<int>(random() % 6'000)});
    }
    if (!settings_.write.empty()) {
      std::ofstream file(settings_.write, part == 0 ? std::ios::trunc : std::ios::app);
      for (const Fault& f : out) file << f.kind << ' ' << f.pick << ' ' << f.ms << '\n';
    }
    return out;
  }

  // Half of the time without loss, where detection is promised, half with one datagram in ten lost.
  void Processes(double loss) {
    Rig rig({.gateways = settings_.processes,
             .period = milliseconds(400),
             .suspicion = milliseconds(1'200),
             .datagrams_per_second = 50,
             .loss = loss,
             .seed = settings_.seed + (loss > 0 ? 1 : 0)});
    rig.StartAll();
    loss_ = loss;
    Settle(rig, "start of all");
    const auto until = partners::Clock::now() + seconds(settings_.faults_s / 2);
    for (const Fault& fault : Timetable(loss > 0 ? 1 : 0)) {
      if (settings_.play.empty() && partners::Clock::now() >= until) break;
      Play(rig, fault);
    }
    if (loss == 0) KillSevenInTen(rig);
    Collect(rig);
  }

  // Waits for one common view; `before` periods since the last fault have gone by already.
  void Settle(Rig& rig, const char* what, double before = 0) {
    const double rest = rig.Until([&] { return rig.AllAgree(); }, kGiveUp);
    const double took = before + rest;
    std::cout << "loss " << loss_ << ", " << what << ": settled after " << took << " periods" << std::endl;
    if (rest < 0) {
      ++lost_for_ever_;
      Broken(std::string("no common view after: ") + what);
    }
    settle_.push_back(rest < 0 ? kGiveUp : took);
    ++faults_;
    rig.Run(milliseconds(400 + rig.random()() % 800));
  }

  void Play(Rig& rig, const Fault& fault) {
    const std::vector<int> living = rig.Living();
    const int victim = living[fault.pick % living.size()];
    const milliseconds span(fault.ms);
    switch (fault.kind) {
      case Fault::kKill:
        return PlayKill(rig, victim);
      case Fault::kShortStop:  // less than the suspicion
        return PlayStop(rig, victim, milliseconds(1'000), "a short stop");
      case Fault::kLongStop:
        return PlayStop(rig, victim, milliseconds(3'000) + span / 2, "a long stop");
      case Fault::kSplit:
        return PlaySplit(rig, fault.pick, milliseconds(1'000) + span);
      case Fault::kLeave:
        return PlayLeave(rig, victim);
      case Fault::kCutOff:
        rig.CutOff(victim);
        rig.Run(milliseconds(1'000) + span);
        rig.Rejoin(victim);
        return Settle(rig, "one cut off for a while");
    }
  }

  void PlayKill(Rig& rig, int victim) {
    rig.Kill(victim);
    const double took = rig.Until([&] { return !rig.SeenByAny(victim); }, kGiveUp);
    if (loss_ == 0) detect_.push_back(took < 0 ? kGiveUp : took);
    Settle(rig, "a kill", took < 0 ? kGiveUp : took);
    rig.Start(victim);
    Settle(rig, "its start");
  }

  void PlayStop(Rig& rig, int victim, milliseconds span, const char* what) {
    rig.Stop(victim);
    rig.Run(span);
    rig.Continue(victim);
    Settle(rig, what);
  }

  void PlaySplit(Rig& rig, std::uint64_t pick, milliseconds span) {
    std::vector<int> sides;
    sides.reserve(static_cast<std::size_t>(rig.size()));
    for (int member = 0; member < rig.size(); ++member) {
      sides.push_back(static_cast<int>(pick >> (member + 8) & 1));
    }
    rig.Split(sides);
    rig.Run(span);
    rig.HealAll();
    Settle(rig, "a split that healed");
  }

  void PlayLeave(Rig& rig, int victim) {
    rig.Terminate(victim);
    const double took = rig.Until([&] { return rig.AllAgree(); }, kGiveUp);
    if (rig.Until([&] { return !rig.alive(victim); }, kGiveUp) < 0) Broken("a told process did not end");
    Settle(rig, "a leave", took < 0 ? kGiveUp : took);
    rig.Start(victim);
    Settle(rig, "its start");
  }

  void KillSevenInTen(Rig& rig) {
    const int killed = rig.size() * 7 / 10;
    for (int i = 0; i < killed; ++i) rig.Kill(i);
    const double took = rig.Until([&] { return rig.AllAgree(); }, kGiveUp);
    std::cout << "seven in ten killed: " << took << " periods" << std::endl;
    seven_ = took < 0 ? kGiveUp : took;
    rig.StartAll();
    Settle(rig, "their start");
  }

  // What the rig counted all through.
  void Collect(Rig& rig) {
    rig.ReadMetrics();
    double sent = 0;
    for (const int i : rig.Living()) sent += rig.Metric(i, "svc_fleet_datagrams_sent");
    std::cout << "datagrams " << sent << ", longer than 256 bytes " << rig.datagrams().too_long << std::endl;
    if (rig.datagrams().too_long > 0) Broken("a datagram was longer than 256 bytes");
    views_equal_ = views_equal_ && rig.AllAgree();
    false_deaths_ += rig.false_deaths;
    flaps_ = std::max(flaps_, static_cast<double>(rig.flaps_per_minute));
    rss_mb_ = std::max(rss_mb_, rig.PeakMb());
    for (const std::string& line : rig.broken()) Broken(line);
    if (!rig.broken().empty() || lost_for_ever_ > 0) std::cout << rig.Report() << std::endl;
  }

  // Calm, then faults, with one datagram in ten lost throughout.
  void Modelled() {
    for (const int members : {30, 100, 500}) {
      if (members == 500 && settings_.is_short) continue;
      Model model(members, settings_.seed, {}, {.loss = 0.1, .doubled = 0.02});
      std::vector<double> settled;
      const auto settle = [&](const char* what) {
        const double took = model.Until([&] { return model.AllAgree(); }, 2 * kGiveUp);
        std::cout << members << " modelled, " << what << ": " << took << std::endl;
        if (took < 0) ++lost_for_ever_;
        settled.push_back(took < 0 ? 2 * kGiveUp : took);
        model.Run(seconds(2));
      };
      model.StartAll();
      settle("start of all");
      model.Run(seconds(10));
      const std::uint64_t before = model.bytes;
      model.Run(seconds(20));
      bytes_[members] = static_cast<double>(model.bytes - before) / 20 / members;
      model.Kill(members / 3);
      settle("one killed");
      model.Start(members / 3);
      settle("and started");
      for (int i = 0; i < members / 10; ++i) model.Kill(i);
      settle("a tenth killed");
      for (int i = 0; i < members / 10; ++i) model.Start(i);
      settle("and started");
      model.cut = [members](int from, int to) { return (from < members / 2) != (to < members / 2); };
      model.Run(seconds(30));
      model.cut = [](int, int) { return false; };
      settle("halves healed");
      false_deaths_ += model.false_deaths;
      settle_modelled_[members] = Share(settled, 0.99);
    }
  }

  // The same traffic to two groups at the same time.
  void Cost() {
    constexpr int kGroup = 3;
    fleet_rig::Options options{.gateways = kGroup,
                               .period = milliseconds(1'000),
                               .suspicion = milliseconds(3'000),
                               .datagrams_per_second = 20,
                               .seed = settings_.seed};
    Rig on(options);
    options.view = false;
    Rig off(options);
    on.StartAll();
    off.StartAll();
    const auto both = [&](std::chrono::microseconds span) {
      const auto until = partners::Clock::now() + span;
      while (partners::Clock::now() < until) {
        on.Run(milliseconds(10));
        off.Run(milliseconds(10));
      }
    };
    both(seconds(3));
    on.Traffic(settings_.rate * kGroup);
    off.Traffic(settings_.rate * kGroup);
    both(seconds(2));
    const double before_on = on.Cpu(), before_off = off.Cpu();
    on.StopPolls();
    off.StopPolls();
    both(seconds(settings_.cost_s));
    const double used_on = on.Cpu() - before_on, used_off = off.Cpu() - before_off;
    cpu_ratio_ = used_off > 0 ? used_on / used_off : 0;
    on.StopTraffic();
    off.StopTraffic();
    both(seconds(2));
    const double idle_on = on.Cpu(), idle_off = off.Cpu();
    both(seconds(10));
    cpu_ms_ = ((on.Cpu() - idle_on) - (off.Cpu() - idle_off)) * 1e3 / 10 / kGroup;
    const double served = static_cast<double>(on.tally().served) / static_cast<double>(on.tally().asked);
    if (served < 0.99) Broken("the traffic was not served: " + std::to_string(served));
  }

  int Verdict() {
    const double settle = Share(settle_, 0.99), detect = Share(detect_, 0.99);
    const double ratio = bytes_.contains(500) ? bytes_[500] / bytes_[30] : bytes_[100] / bytes_[30];
    const auto must = [&](bool held, const std::string& sentence) {
      if (!held) Broken(sentence);
    };
    must(settle <= 10, "views settled after " + std::to_string(settle) + " periods");
    must(detect <= 8, "a killed member was seen for " + std::to_string(detect) + " periods");
    must(seven_ <= 20, "seven in ten killed were seen for " + std::to_string(seven_) + " periods");
    must(false_deaths_ == 0, std::to_string(false_deaths_) + " times one that lives was held dead");
    must(lost_for_ever_ == 0, "views stayed different");
    must(views_equal_, "views differ at the end");
    must(ratio <= 1.3, "bytes a member grow with the fleet: " + std::to_string(ratio));
    must(cpu_ratio_ <= 1.02, "the view costs CPU: ratio " + std::to_string(cpu_ratio_));
    if (!settings_.is_short) {
      must(settle_modelled_[500] <= 25, "500 members settled after " + std::to_string(settle_modelled_[500]));
      must(defences_ == static_cast<int>(std::size(fleet_rig::kDefences)),
           "a defence could be switched off unseen");
    }
    for (const std::string& sentence : broken_) std::cout << "broken: " << sentence << "\n";
    json out = {{"processes", settings_.processes},
                {"faults", faults_},
                {"settle_periods_p99", settle},
                {"settle_periods_p50", Share(settle_, 0.5)},
                {"detect_periods_p99", detect},
                {"seven_in_ten_periods", seven_},
                {"false_deaths", false_deaths_},
                {"lost_for_ever", lost_for_ever_},
                {"flaps_per_minute_max", flaps_},
                {"views_equal_at_end", views_equal_},
                {"bytes_per_member_s", bytes_[30]},
                {"bytes_ratio_100_to_30", bytes_[100] / bytes_[30]},
                {"settle_periods_p99_100", settle_modelled_[100]},
                {"cpu_ms_per_member_s", cpu_ms_},
                {"rss_mb_max", rss_mb_},
                {"cpu_ratio", cpu_ratio_},
                {"seed", settings_.seed},
                {"held", broken_.empty()}};
    if (!settings_.is_short) {
      out["bytes_ratio_500_to_30"] = ratio;
      out["settle_periods_p99_500"] = settle_modelled_[500];
      out["defences_seen_to_fail"] = defences_;
    }
    std::cout << out.dump() << std::endl;
    return broken_.empty() ? 0 : 1;
  }

  Settings settings_;
  double loss_ = 0;  // of the rig under way
  std::vector<std::string> broken_;
  std::vector<double> settle_, detect_;
  std::map<int, double> bytes_, settle_modelled_;
  double seven_ = 0, flaps_ = 0, rss_mb_ = 0, cpu_ratio_ = 0, cpu_ms_ = 0;
  std::uint64_t false_deaths_ = 0;
  int faults_ = 0, lost_for_ever_ = 0, defences_ = 0;
  bool views_equal_ = true;
};

}  // namespace
}  // namespace postspread::bench

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  postspread::bench::Settings settings;
  CLI::App app("Measures the membership view; prints its figures as one JSON object on the last line");
  app.add_flag("--short", settings.is_short,
               "8 processes, 30 s of faults, no 500 members, no defence switched off");
  app.add_option("--seed", settings.seed, "Random numbers: faults, loss, delays");
  app.add_option("--processes", settings.processes, "Gateways that are started")->check(CLI::Range(3, 16));
  app.add_option("--faults-s", settings.faults_s, "Seconds of faults among them");
  app.add_option("--rate", settings.rate, "Requests a second to each gateway where CPU is measured");
  app.add_option("--write", settings.write, "Writes the timetable of faults down")->type_name("FILE");
  app.add_option("--play", settings.play, "Plays the faults of such a file, all of them")
      ->type_name("FILE")
      ->check(CLI::ExistingFile);
  CLI11_PARSE(app, argc, argv);
  if (settings.is_short) {
    settings.processes = std::min(settings.processes, 8);
    settings.faults_s = 30;
    settings.cost_s = 10;
  }
  try {
    return postspread::bench::Run(settings).Main();
  } catch (const std::exception& error) {
    std::cout << "broken: " << error.what() << "\n{\"held\":false}" << std::endl;
    return 1;
  }
}
