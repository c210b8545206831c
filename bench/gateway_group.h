// The group of gateway processes that the bench of the idempotency store measures.
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

// Three gateways as processes, with or without the idempotency store.
class Group {
 public:
  Group(event_base* base, const std::filesystem::path& folder, const std::string& name, bool with_store,
        const json& known, const std::string& discovery, const std::string& counter, std::uint64_t seed)
      : folder_(folder), name_(name), with_store_(with_store), datagrams(base, kGateways, seed) {
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
                           {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", known}}},
                           {"settings", settings}};
      std::ofstream(Path(i, ".json")) << config.dump();
    }
    std::ofstream(folder_ / (name_ + ".conf"))
        << "idempotency {\n enabled = true\n keep = 40s\n memory = 8mb\n datagrams_per_second = 2000\n"
           " customer_share = 0.25\n}\n";
    for (int i = 0; i < kGateways; ++i) Start(i);
  }

  void Start(int rank) {
    Process::Plan plan;
    plan.program = GATEWAY_PROGRAM;
    plan.variables = {"ROUTER_CONFIG=" + Path(rank, ".json")};
    if (with_store_) plan.arguments = {"--operator", (folder_ / (name_ + ".conf")).string()};
    plan.log = Path(rank, ".log");
    processes_[static_cast<std::size_t>(rank)] = std::make_unique<Process>(plan);
  }
  void Kill(int rank) {
    NoteMemory();
    processes_[static_cast<std::size_t>(rank)].reset();
  }
  // Ends all by SIGTERM; true where each ended with 0.
  bool Stop() {
    NoteMemory();
    bool sound = true;
    for (const auto& process : processes_) {
      if (process) process->Terminate();
    }
    for (const auto& process : processes_) {
      if (process) sound = process->Wait() == 0 && sound;
    }
    return sound;
  }
  [[nodiscard]] int port(int rank) const { return ports_[static_cast<std::size_t>(rank)]; }

  // Seconds of CPU that the living ones have used.
  [[nodiscard]] double Cpu() const {
    double out = 0;
    for (const auto& process : processes_) out += process ? process->CpuSeconds() : 0;
    return out;
  }
  void NoteMemory() {
    for (const auto& process : processes_) rss_mb = std::max(rss_mb, process ? process->PeakMb() : 0);
  }
  // A figure of the log's lines on keys: the last of each life, summed or the largest.
  [[nodiscard]] double Metric(const std::string& figure, bool largest = false) const {
    double out = 0;
    for (int i = 0; i < kGateways; ++i) {
      std::ifstream file(Path(i, ".log"));
      double last = 0;
      const auto close = [&] {
        out = largest ? std::max(out, last) : out + last;
        last = 0;
      };
      for (std::string line; std::getline(file, line);) {
        if (line.find("postspread: started") == 0) close();
        const std::size_t at = line.find(" " + figure + "=");
        if (line.find("postspread: idempotency store:") == 0 && at != std::string::npos) {
          last = std::stod(line.substr(at + figure.size() + 2));
        }
      }
      close();
    }
    return out;
  }

  double rss_mb = 0;

 private:
  std::string Path(int rank, const char* ending) const {
    return (folder_ / (name_ + std::to_string(rank) + ending)).string();
  }
  std::filesystem::path folder_;
  std::string name_;
  bool with_store_;
  std::vector<int> ports_;
  std::vector<std::unique_ptr<Process>> processes_;

 public:
  Datagrams datagrams;
};

}  // namespace postspread::bench

#endif  // POSTSPREAD_BENCH_GATEWAY_GROUP_H_
