// Test rig of several real gateway processes on loopback, with simulated upstreams, counter and discovery.
// All TCP connections pass through relays, and datagrams through a relay per pair and direction, so that a
// test can interrupt them. A test can also kill, suspend, resume and restart the processes. The rig polls
// each gateway's membership view from its admin server, and checks that no gateway lists a member as dead
// that has been running and reachable.
#ifndef POSTSPREAD_TESTS_FLEET_RIG_H_
#define POSTSPREAD_TESTS_FLEET_RIG_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/fault_control.h"
#include "fleet/relay.h"
#include "partners/client.h"
#include "partners/platform.h"
#include "partners/process.h"

namespace postspread::fleet_rig {

using nlohmann::json;
using partners::Clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The configuration of a rig.
struct Options {
  int gateways = 4;
  int upstreams = 3;
  milliseconds period{200};
  milliseconds suspicion{600};
  milliseconds forget{60'000};
  double datagrams_per_second = 100;
  double loss = 0;  // the fraction of datagrams that are lost
  std::uint64_t seed = 1;
  int sockets = 1'024;       // maximum number of open descriptors of a gateway; the rig enforces it
  int memory_mb = 192;       // the memory limit in the configuration of a gateway
  int more_endpoints = 0;    // draining upstreams that the endpoint list contains beside the others
  bool view = true;          // whether the membership view (the block `fleet`) is enabled
  std::string disabled{};    // the disabled defense, one of kDefenses; empty: none
  std::string more{};        // text that is appended to the operator file
  std::string program{};     // path of the gateway program; empty: the one of this build
  std::string fault_shim{};  // path of the fault shim that is loaded into each process; empty: none
  // Whether the rig owns the client listeners and passes them to the gateways, so that a successor can take
  // over.
  bool inherited = false;
  json more_classes = json::array();  // request classes beside the idempotent class `read`
  std::function<std::string(int)> name = [](int i) { return "gk-" + std::to_string(i); };
};

// Returns a class with idempotency keys, `move`, and one that isn't idempotent, `order`, for
// Options::more_classes.
json AdditionalRequestClasses();

// One gateway's view of a member.
struct MemberView {
  std::string state;
  std::uint64_t incarnation = 0;
};

class AdminCall;

// Owns the gateway processes, the simulated services around them, their relays and the event loop. Gateways
// are numbered from 0.
class Rig {
 public:
  explicit Rig(Options options);
  ~Rig();
  Rig(const Rig&) = delete;

  // ---- Faults; most are recorded in the event log of the report.
  void Start(int i);
  void StartAll();
  void Kill(int i);
  void Stop(int i);       // SIGSTOP
  void Continue(int i);   // SIGCONT
  void Terminate(int i);  // SIGTERM; Run() and Until() wait for the exit
  // Replaces the operator file of all gateways by the block `fleet` with these values, followed by their
  // appended text. It takes effect at the next start or reload.
  void WriteOperatorFile(const Options& values);
  void Reload(int i);  // SIGHUP
  // Sends a request to the admin server, such as PUT /v1/gatekeeper/drain.
  void Call(int i, const std::string& method, const std::string& path);
  // Starts a second process beside the running one. The new process is gateway `i` from then on, and the old
  // one its predecessor.
  void StartSuccessor(int i);
  void TerminatePredecessor(int i);
  // Drops all datagrams from one gateway to another, and in the other direction as well if `both`.
  void CutPair(int from, int to, bool both);
  // Passes datagrams only between gateways with the same side number; empty: between all. Connections to
  // counter, discovery and upstreams are not affected.
  void Partition(std::vector<int> sides);
  // Isolates a gateway from the others and from counter, discovery and upstreams.
  void Isolate(int i);
  void Rejoin(int i);  // undoes Isolate()
  void HealAll();
  // Interrupts or restores a gateway's connections to one kind of service, or resets them.
  enum class Service { kCounter, kDiscovery, kUpstreams };
  void CutConnections(int i, Service service);
  void RestoreConnections(int i, Service service);
  void ResetConnections(int i, Service service);
  // Controls the fault shim in this process; only with Options::fault_shim.
  FaultControl& faults(int i) { return *at(i).faults; }
  // Publishes the current endpoint list to all gateways, with these upstreams marked as draining.
  void PublishEndpoints(const std::set<int>& draining);
  // Adds a line with the elapsed time to the event log of the report.
  void LogEvent(const std::string& what);

  // ---- Time
  // Runs the event loop for this time and collects the processes that exit.
  void Run(std::chrono::microseconds span);
  // Runs until the condition holds. Returns the protocol periods that it took, or -1 after `max_periods`.
  double Until(const std::function<bool()>& condition, double max_periods);
  [[nodiscard]] double Periods(Clock::time_point since) const;

  // ---- Observations, as of the latest poll of each gateway
  [[nodiscard]] bool alive(int i) const { return gateways_[static_cast<std::size_t>(i)]->process != nullptr; }
  [[nodiscard]] bool stopped(int i) const { return gateways_[static_cast<std::size_t>(i)]->stopped; }
  [[nodiscard]] int size() const { return static_cast<int>(gateways_.size()); }
  // Returns the gateways that run and are neither suspended nor shutting down.
  [[nodiscard]] std::vector<int> Living() const;
  // Returns whether the views of all `gateways` have the same hash and list exactly these gateways as live,
  // each in its current incarnation.
  [[nodiscard]] bool Agree(const std::vector<int>& gateways) const;
  [[nodiscard]] bool AllAgree() const { return Agree(Living()); }
  [[nodiscard]] std::optional<MemberView> ViewOf(int viewer, int member) const;
  // Returns whether any other live gateway lists the member as alive or suspect.
  [[nodiscard]] bool SeenByAny(int member) const;
  // Returns the number of members in this state in the viewer's view.
  [[nodiscard]] int Count(int viewer, const std::string& state) const;
  // Returns the value at the last ReadMetrics(), or 0 if the gateway doesn't export the metric.
  [[nodiscard]] double Metric(int i, const std::string& name) const {
    return gateways_[static_cast<std::size_t>(i)]->metrics.contains(name)
               ? gateways_[static_cast<std::size_t>(i)]->metrics.at(name)
               : 0;
  }
  // Reads the metrics of all running gateways.
  void ReadMetrics();
  [[nodiscard]] const std::string& hash(int i) const { return gateways_[static_cast<std::size_t>(i)]->hash; }
  [[nodiscard]] std::uint64_t incarnation(int i) const {
    return gateways_[static_cast<std::size_t>(i)]->incarnation;
  }
  [[nodiscard]] bool Logged(int i, const std::string& text) const;
  // Return the CPU seconds of all running gateways together, and the highest memory peak of one.
  [[nodiscard]] double Cpu() const;
  [[nodiscard]] double PeakMb() const;
  // Returns the peak of gateway `i` and of its predecessor, if both run, as one sum.
  [[nodiscard]] double PeakMb(int i) const;

  // ---- Traffic
  // Sends this many requests per second, each to a random gateway of those that `sends_to` permits.
  void Traffic(double per_second);
  struct Tally {
    std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, dropped = 0, unanswered = 0, twice = 0;
  };
  [[nodiscard]] const Tally& tally() const { return tally_; }
  // Returns the number of requests in flight.
  [[nodiscard]] std::int64_t open() const { return open_; }
  void StopTraffic() { per_second_ = 0; }
  void StopPolls() { polling_ = false; }
  std::function<bool(int)> sends_to = [this](int i) { return alive(i) && !stopped(i); };

  // Returns descriptions of the violations that the rig has found.
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  // How often a poll showed a member as dead, left or unknown that was running and reachable.
  std::uint64_t false_deaths = 0;
  // The maximum number of view changes that one gateway has had within a minute.
  std::uint64_t flaps_per_minute = 0;
  // Returns the seed, the event log, and the log lines of all gateways in the order of their time.
  [[nodiscard]] std::string Report() const;

  [[nodiscard]] event_base* base() const { return base_.get(); }
  partners::Datagrams& datagrams() { return *datagrams_; }
  partners::Upstreams& upstreams() { return *upstreams_; }
  [[nodiscard]] int port(int i) const { return gateways_[static_cast<std::size_t>(i)]->port; }
  std::mt19937_64& random() { return rng_; }

 private:
  struct Gateway {
    std::unique_ptr<partners::Process> process, predecessor;
    bool stopped = false, shutting_down = false;
    int port = 0, admin_port = 0, socket = -1;
    FaultControl* faults = nullptr;
    std::string config;
    std::unique_ptr<partners::Discovery> discovery;
    std::unique_ptr<Relay> discovery_relay, counter_relay;
    std::vector<std::unique_ptr<Relay>> upstream_relays;
    // The membership view and the metrics, as of the last poll and the last ReadMetrics().
    std::string hash;
    std::uint64_t incarnation = 0, epoch = 0;
    std::map<std::string, MemberView> members;
    std::map<std::string, double> metrics;
    // The time since which the gateway has been running, not suspended, and able to reach all others.
    Clock::time_point disturbed_at{};
    int polls = 0;
    std::vector<Clock::time_point> view_changes;
  };
  std::vector<Relay*> Relays(int i, Service service);
  void SetUpDatagrams();
  void SetUpGateway(int i);
  [[nodiscard]] json MakeConfig(int i, const json& endpoints) const;
  [[nodiscard]] json MakeSettings(int i) const;
  void MapFaultControl(int i);
  Gateway& at(int i) { return *gateways_[static_cast<std::size_t>(i)]; }
  [[nodiscard]] const Gateway& at(int i) const { return *gateways_[static_cast<std::size_t>(i)]; }
  std::string Path(int i, const char* ending) const;
  [[nodiscard]] partners::Process::Options ProcessOptions(int i) const;
  [[nodiscard]] json MoreEndpoints() const;
  // Requests the membership view of each gateway, again and again.
  void Poll();
  void ApplyView(int i, int epoch, const std::string& body);
  void CheckMembers(int i);
  // Restarts the time for which a gateway has been running and reachable.
  void MarkDisturbed(int i);
  void MarkAllDisturbed();
  // Sends the requests that are due at the rate of Traffic(), again and again.
  void SendDueRequests();
  void SendRequest();
  void ReapExited();

  Options options_;
  net::EventBase base_;
  std::mt19937_64 rng_;
  Clock::time_point started_at_ = Clock::now();
  std::string directory_;
  std::unique_ptr<partners::Upstreams> upstreams_;
  std::unique_ptr<partners::Counter> counter_;
  std::unique_ptr<partners::Datagrams> datagrams_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::set<std::pair<int, int>> cut_pairs_;
  std::vector<int> partition_;
  std::set<int> isolated_;
  std::vector<std::string> event_log_, violations_;
  std::vector<std::unique_ptr<AdminCall>> admin_calls_;
  std::unique_ptr<partners::Clients> clients_;
  double per_second_ = 0;
  double due_requests_ = 0;
  Clock::time_point due_since_{};
  std::int64_t open_ = 0;
  std::uint64_t next_id_ = 1;
  Tally tally_;
  bool shutting_down_ = false, polling_ = true;
};

// Returns whether the rig detects a failure of the gateway with one defense of the membership protocol
// disabled, by its name in src/main.cpp; empty: none. In a rig of five gateways, a partition heals, a pair is
// cut, one gateway is isolated for short and for long times, is killed and restarted, and is flooded with
// probes.
bool DetectsFailure(const std::string& disabled);
inline const char* const kDefenses[] = {"refutation", "lives",    "local-health", "asking-again",
                                        "help",       "knocking", "budget"};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_RIG_H_
