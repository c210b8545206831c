// Runs the gateway processes that the bench of the idempotency store measures.
#ifndef POSTSPREAD_BENCH_GATEWAY_GROUP_H_
#define POSTSPREAD_BENCH_GATEWAY_GROUP_H_

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "partners/platform.h"
#include "partners/process.h"

namespace postspread::bench {

using namespace partners;
using nlohmann::json;

inline constexpr int kGateways = 3;

// Owns three gateway processes, with or without the idempotency store, and the simulated network between
// them.
class GatewayGroup {
 public:
  GatewayGroup(event_base* base, const std::filesystem::path& directory, const std::string& name,
               bool with_store, const json& endpoints, const std::string& discovery,
               const std::string& counter, std::uint64_t seed)
      : directory_(directory), name_(name), with_store_(with_store), datagrams(base, kGateways, seed) {
    for (int i = 0; i < kGateways; ++i) {
      ports_.push_back(FreePort());
      processes_.push_back(nullptr);
      json settings = {
          {"Classes",
           {{{"Name", "calendar-read"}, {"Aim", 800'000}, {"HardLimit", 3'000'000}, {"Effect", "safe"}},
            {{"Name", "schedule-change"},
             {"Aim", 2'000'000},
             {"HardLimit", 8'000'000},
             {"Effect", "keyed"},
             {"DedupScope", "cell"},
             {"KeyTtl", 15'000'000}}}},
          {"Contracts", {{{"Name", "basic"}, {"PerSecond", 100'000}, {"Depth", 100'000}}}},
          {"Domain", {{"SharedCounter", true}, {"CountLimit", 100'000}, {"MaxUnits", 4}}},
          {"Zones", {"hall-a", "hall-b", "hall-c"}},
          {"MyZone", std::string("hall-") + static_cast<char>('a' + i)},
          {"Rank", i},
          {"GroupSize", kGateways},
          {"Limits",
           {{"Cancelling", true},
            {"MostTries", 4},
            {"MayTell", true},
            {"RetryAfter", true},
            {"MaxRetryAfter", 1'000'000},
            {"DialTimeout", 500'000},
            {"ConnIdle", 30'000'000}}},
          {"Safety", {{"DrainGrace", 250'000}}}};
      const json config = {{"name", name + std::to_string(i)},
                           {"listen", LoopbackAddress(ports_.back())},
                           {"discovery", discovery},
                           {"counter", counter},
                           {"seed", std::to_string(seed + static_cast<std::uint64_t>(i))},
                           {"peer_listen", datagrams.listen(i)},
                           {"peers", datagrams.peers(i)},
                           {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}}},
                           {"settings", settings}};
      std::ofstream(Path(i, ".json")) << config.dump();
    }
    std::ofstream(directory_ / (name_ + ".conf"))
        << "idempotency {\n enabled = true\n keep = 40s\n memory = 8mb\n datagrams_per_second = 2000\n"
           " customer_share = 0.25\n}\n";
    for (int i = 0; i < kGateways; ++i) Start(i);
  }

  void Start(int rank) {
    Process::Options options;
    options.program = GATEWAY_PROGRAM;
    options.variables = {"ROUTER_CONFIG=" + Path(rank, ".json")};
    if (with_store_) options.arguments = {"--operator", (directory_ / (name_ + ".conf")).string()};
    options.log = Path(rank, ".log");
    processes_[static_cast<std::size_t>(rank)] = std::make_unique<Process>(options);
  }
  void Kill(int rank) {
    UpdatePeakMemory();
    processes_[static_cast<std::size_t>(rank)].reset();
  }
  // Sends SIGTERM to all processes and waits for them; returns whether each exited with status 0.
  bool Shutdown() {
    UpdatePeakMemory();
    bool clean = true;
    for (const auto& process : processes_) {
      if (process) process->Terminate();
    }
    for (const auto& process : processes_) {
      if (process) clean = process->Wait() == 0 && clean;
    }
    return clean;
  }
  [[nodiscard]] int port(int rank) const { return ports_[static_cast<std::size_t>(rank)]; }

  // Returns the CPU seconds that the running processes have used in total.
  [[nodiscard]] double TotalCpuSeconds() const {
    double result = 0;
    for (const auto& process : processes_) result += process ? process->CpuSeconds() : 0;
    return result;
  }
  void UpdatePeakMemory() {
    for (const auto& process : processes_)
      peak_rss_mb = std::max(peak_rss_mb, process ? process->PeakMb() : 0);
  }
  // Returns a metric of the log's lines on the idempotency store: the last value of each incarnation of each
  // gateway, summed up, or the maximum of these.
  [[nodiscard]] double LoggedMetric(const std::string& metric, bool maximum = false) const {
    double result = 0;
    for (int i = 0; i < kGateways; ++i) {
      std::ifstream file(Path(i, ".log"));
      double last_value = 0;
      const auto finish_incarnation = [&] {
        result = maximum ? std::max(result, last_value) : result + last_value;
        last_value = 0;
      };
      for (std::string line; std::getline(file, line);) {
        if (line.find("postspread: started") == 0) finish_incarnation();
        const std::size_t at = line.find(" " + metric + "=");
        if (line.find("postspread: idempotency store:") == 0 && at != std::string::npos) {
          last_value = std::stod(line.substr(at + metric.size() + 2));
        }
      }
      finish_incarnation();
    }
    return result;
  }

  double peak_rss_mb = 0;

 private:
  std::string Path(int rank, const char* ending) const {
    return (directory_ / (name_ + std::to_string(rank) + ending)).string();
  }
  std::filesystem::path directory_;
  std::string name_;
  bool with_store_;
  std::vector<int> ports_;
  std::vector<std::unique_ptr<Process>> processes_;

 public:
  Datagrams datagrams;
};

}  // namespace postspread::bench

#endif  // POSTSPREAD_BENCH_GATEWAY_GROUP_H_
