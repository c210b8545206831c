// Measures the membership view in three parts: real gateways under random faults, many simulated members in
// virtual time, and the CPU cost against the same traffic without the view. It exits with 0 only if every
// promise of src/membership/membership.h held. The last line of the output is one JSON object.
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

constexpr double kGiveUpPeriods = 60;

struct Settings {
  int processes = 16;
  int faults_s = 120;
  bool is_short = false;
  std::uint64_t seed = 1;
  double rate = 140;  // requests per second to each gateway while the CPU cost is measured
  int cost_s = 30;
  std::string write, play;  // paths of fault files
};

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

// One fault, which a fault file holds as a line of its three numbers.
struct Fault {
  enum Kind { kKill, kShortPause, kLongPause, kPartition, kShutdown, kIsolate };
  int kind = kKill;
  std::uint64_t choice = 0;  // selects the live member, or by its bits the sides of a partition
  int ms = 0;                // added to the minimum duration of the fault
};

class Run {
 public:
  explicit Run(const Settings& settings) : settings_(settings) {}

  int Main() {
    RunProcesses(0.0);
    RunProcesses(0.1);
    RunModel();
    MeasureCost();
    if (!settings_.is_short) {
      for (const char* disabled : fleet_rig::kDefenses)
        defenses_detected_ += fleet_rig::DetectsFailure(disabled);
    }
    return CheckAndReport();
  }

 private:
  void AddViolation(const std::string& text) {
    if (violations_.size() < 20) violations_.push_back(text);
  }

  // Returns the faults of the file to play, or random ones from the seed.
  std::vector<Fault> Faults(int part) {
    std::vector<Fault> out;
    if (!settings_.play.empty()) {
      std::ifstream file(settings_.play);
      for (Fault f; file >> f.kind >> f.choice >> f.ms;) out.push_back(f);
      if (out.empty()) throw std::runtime_error(settings_.play + ": the file contains no faults");
      return out;
    }
    std::mt19937_64 random(settings_.seed * 2 + static_cast<std::uint64_t>(part));
    for (int i = 0; i < 400; ++i) {
      out.push_back({static_cast<int>(random() % 6), random(), static_cast<int>(random() % 6'000)});
    }
    if (!settings_.write.empty()) {
      std::ofstream file(settings_.write, part == 0 ? std::ios::trunc : std::ios::app);
      for (const Fault& f : out) file << f.kind << ' ' << f.choice << ' ' << f.ms << '\n';
    }
    return out;
  }

  // Injects faults into gateway processes for half of the configured time, while this fraction of datagrams
  // is lost. Only the run without loss measures detection, since the promise on its time assumes no loss.
  void RunProcesses(double loss) {
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
    for (const Fault& fault : Faults(loss > 0 ? 1 : 0)) {
      if (settings_.play.empty() && partners::Clock::now() >= until) break;
      Play(rig, fault);
    }
    if (loss == 0) KillSevenInTen(rig);
    Collect(rig);
  }

  // Waits until all views agree. `before` is the number of periods that have passed since the fault.
  void Settle(Rig& rig, const char* what, double before = 0) {
    const double waited = rig.Until([&] { return rig.AllAgree(); }, kGiveUpPeriods);
    const double took = before + waited;
    std::cout << "loss " << loss_ << ", " << what << ": settled after " << took << " periods" << std::endl;
    if (waited < 0) {
      ++never_settled_;
      AddViolation(std::string("no common view after: ") + what);
    }
    settle_.push_back(waited < 0 ? kGiveUpPeriods : took);
    ++faults_;
    rig.Run(milliseconds(400 + rig.random()() % 800));
  }

  void Play(Rig& rig, const Fault& fault) {
    const std::vector<int> living = rig.Living();
    const int victim = living[fault.choice % living.size()];
    const milliseconds span(fault.ms);
    switch (fault.kind) {
      case Fault::kKill:
        return PlayKill(rig, victim);
      case Fault::kShortPause:  // below the suspicion timeout
        return PlayPause(rig, victim, milliseconds(1'000), "a short suspension");
      case Fault::kLongPause:
        return PlayPause(rig, victim, milliseconds(3'000) + span / 2, "a long suspension");
      case Fault::kPartition:
        return PlayPartition(rig, fault.choice, milliseconds(1'000) + span);
      case Fault::kShutdown:
        return PlayShutdown(rig, victim);
      case Fault::kIsolate:
        rig.Isolate(victim);
        rig.Run(milliseconds(1'000) + span);
        rig.Rejoin(victim);
        return Settle(rig, "an isolation of one gateway");
    }
  }

  void PlayKill(Rig& rig, int victim) {
    rig.Kill(victim);
    const double took = rig.Until([&] { return !rig.SeenByAny(victim); }, kGiveUpPeriods);
    if (loss_ == 0) detect_.push_back(took < 0 ? kGiveUpPeriods : took);
    Settle(rig, "a kill", took < 0 ? kGiveUpPeriods : took);
    rig.Start(victim);
    Settle(rig, "its start");
  }

  void PlayPause(Rig& rig, int victim, milliseconds span, const char* what) {
    rig.Stop(victim);
    rig.Run(span);
    rig.Continue(victim);
    Settle(rig, what);
  }

  void PlayPartition(Rig& rig, std::uint64_t choice, milliseconds span) {
    std::vector<int> partition;
    partition.reserve(static_cast<std::size_t>(rig.size()));
    for (int member = 0; member < rig.size(); ++member) {
      partition.push_back(static_cast<int>(choice >> (member + 8) & 1));
    }
    rig.Partition(partition);
    rig.Run(span);
    rig.HealAll();
    Settle(rig, "a partition that healed");
  }

  void PlayShutdown(Rig& rig, int victim) {
    rig.Terminate(victim);
    const double took = rig.Until([&] { return rig.AllAgree(); }, kGiveUpPeriods);
    if (rig.Until([&] { return !rig.alive(victim); }, kGiveUpPeriods) < 0)
      AddViolation("a process did not exit after SIGTERM");
    Settle(rig, "a shutdown", took < 0 ? kGiveUpPeriods : took);
    rig.Start(victim);
    Settle(rig, "its start");
  }

  void KillSevenInTen(Rig& rig) {
    const int killed = rig.size() * 7 / 10;
    for (int i = 0; i < killed; ++i) rig.Kill(i);
    const double took = rig.Until([&] { return rig.AllAgree(); }, kGiveUpPeriods);
    std::cout << "seven in ten killed: " << took << " periods" << std::endl;
    seven_in_ten_ = took < 0 ? kGiveUpPeriods : took;
    rig.StartAll();
    Settle(rig, "their start");
  }

  // Adds the counts and violations of the rig.
  void Collect(Rig& rig) {
    rig.ReadMetrics();
    double sent = 0;
    for (const int i : rig.Living()) sent += rig.Metric(i, "svc_fleet_datagrams_sent");
    std::cout << "datagrams " << sent << ", longer than 256 bytes " << rig.datagrams().too_long << std::endl;
    if (rig.datagrams().too_long > 0) AddViolation("a datagram was longer than 256 bytes");
    views_equal_ = views_equal_ && rig.AllAgree();
    false_deaths_ += rig.false_deaths;
    flaps_ = std::max(flaps_, static_cast<double>(rig.flaps_per_minute));
    rss_mb_ = std::max(rss_mb_, rig.PeakMb());
    for (const std::string& line : rig.violations()) AddViolation(line);
    if (!rig.violations().empty() || never_settled_ > 0) std::cout << rig.Report() << std::endl;
  }

  // Simulates a fault-free time and then faults, with one datagram in ten lost throughout.
  void RunModel() {
    for (const int members : {30, 100, 500}) {
      if (members == 500 && settings_.is_short) continue;
      Model model(members, settings_.seed, {}, {.loss = 0.1, .duplicated = 0.02});
      std::vector<double> settled;
      const auto settle = [&](const char* what) {
        const double took = model.Until([&] { return model.AllAgree(); }, 2 * kGiveUpPeriods);
        std::cout << members << " simulated, " << what << ": " << took << std::endl;
        if (took < 0) ++never_settled_;
        settled.push_back(took < 0 ? 2 * kGiveUpPeriods : took);
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
      settle_simulated_[members] = Quantile(settled, 0.99);
    }
  }

  // Measures the CPU time of two groups, one with the membership view and one without, under the same traffic
  // at the same time.
  void MeasureCost() {
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
    const double served = static_cast<double>(on.tally().served) / static_cast<double>(on.tally().sent);
    if (served < 0.99) AddViolation("less than 99 % of the requests were served: " + std::to_string(served));
  }

  int CheckAndReport() {
    const double settle = Quantile(settle_, 0.99), detect = Quantile(detect_, 0.99);
    const double ratio = bytes_.contains(500) ? bytes_[500] / bytes_[30] : bytes_[100] / bytes_[30];
    const auto require = [&](bool is_met, const std::string& text) {
      if (!is_met) AddViolation(text);
    };
    require(settle <= 10, "views settled after " + std::to_string(settle) + " periods");
    require(detect <= 8, "a killed member was listed as live for " + std::to_string(detect) + " periods");
    require(seven_in_ten_ <= 20, "seven in ten killed members were listed as live for " +
                                     std::to_string(seven_in_ten_) + " periods");
    require(false_deaths_ == 0, std::to_string(false_deaths_) + " times a live member was listed as dead");
    require(never_settled_ == 0, "views did not converge");
    require(views_equal_, "views differ at the end");
    require(ratio <= 1.3, "bytes per member grow with the group: " + std::to_string(ratio));
    require(cpu_ratio_ <= 1.02,
            "the membership view exceeds its CPU limit: ratio " + std::to_string(cpu_ratio_));
    if (!settings_.is_short) {
      require(settle_simulated_[500] <= 25,
              "500 members settled after " + std::to_string(settle_simulated_[500]));
      require(defenses_detected_ == static_cast<int>(std::size(fleet_rig::kDefenses)),
              "a disabled defense was not detected");
    }
    for (const std::string& text : violations_) std::cout << "broken: " << text << "\n";
    json out = {{"processes", settings_.processes},
                {"faults", faults_},
                {"settle_periods_p99", settle},
                {"settle_periods_p50", Quantile(settle_, 0.5)},
                {"detect_periods_p99", detect},
                {"seven_in_ten_periods", seven_in_ten_},
                {"false_deaths", false_deaths_},
                {"lost_for_ever", never_settled_},
                {"flaps_per_minute_max", flaps_},
                {"views_equal_at_end", views_equal_},
                {"bytes_per_member_s", bytes_[30]},
                {"bytes_ratio_100_to_30", bytes_[100] / bytes_[30]},
                {"settle_periods_p99_100", settle_simulated_[100]},
                {"cpu_ms_per_member_s", cpu_ms_},
                {"rss_mb_max", rss_mb_},
                {"cpu_ratio", cpu_ratio_},
                {"seed", settings_.seed},
                {"held", violations_.empty()}};
    if (!settings_.is_short) {
      out["bytes_ratio_500_to_30"] = ratio;
      out["settle_periods_p99_500"] = settle_simulated_[500];
      out["defences_seen_to_fail"] = defenses_detected_;
    }
    std::cout << out.dump() << std::endl;
    return violations_.empty() ? 0 : 1;
  }

  Settings settings_;
  double loss_ = 0;  // of the current rig
  std::vector<std::string> violations_;
  std::vector<double> settle_, detect_;
  std::map<int, double> bytes_, settle_simulated_;
  double seven_in_ten_ = 0, flaps_ = 0, rss_mb_ = 0, cpu_ratio_ = 0, cpu_ms_ = 0;
  std::uint64_t false_deaths_ = 0;
  int faults_ = 0, never_settled_ = 0, defenses_detected_ = 0;
  bool views_equal_ = true;
};

}  // namespace
}  // namespace postspread::bench

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  postspread::bench::Settings settings;
  CLI::App app(
      "Measures the membership view; the last line of the output is one JSON object with the metrics");
  app.add_flag("--short", settings.is_short,
               "8 processes, 30 s of faults, no simulation of 500 members, no disabled defenses");
  app.add_option("--seed", settings.seed, "Seed of the random faults, losses and delays");
  app.add_option("--processes", settings.processes, "Number of gateway processes")->check(CLI::Range(3, 16));
  app.add_option("--faults-s", settings.faults_s, "Seconds in which faults are injected");
  app.add_option("--rate", settings.rate,
                 "Requests per second to each gateway while the CPU cost is measured");
  app.add_option("--write", settings.write, "Writes the faults to a file")->type_name("FILE");
  app.add_option("--play", settings.play, "Plays all faults of a file that --write wrote")
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
