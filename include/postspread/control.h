// The interface of postspread: settings, events, actions and the Controller that turns one into the other.
//
// A gateway embeds one Controller and tells it, in order, everything that happens (an Event with the time at
// which it happened); the Controller answers with the actions to carry out, in order, at that same moment. It
// reads no clock, does no I/O, keeps no globals, throws nothing on odd input, and gives the same actions for
// the same settings, seed and events. All decisions are in src/policy/; this file holds types only.
#ifndef POSTSPREAD_CONTROL_H_
#define POSTSPREAD_CONTROL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace postspread {

// Every time and duration is in microseconds. A time point is a duration since an origin that is the same for
// all gateways of a deployment and need not mean anything else. Gateways number a customer's periods by it,
// so their clocks should agree to well under a period; skew shifts period edges between gateways and by that
// alone lets a customer spend up to rate x skew more at an edge.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::microseconds;
using RequestId = std::uint64_t;

// Whether a request that may have run may be sent again: always; to the servers that drop its repeats; never.
enum class RetrySafety { kIdempotent, kIdempotencyKey, kNotIdempotent };
enum class KeyScope { kAll, kZone, kCell };            // the servers that drop repeats of one keyed request
enum class DiscoveryMode { kPushed, kSubscribe };      // does the endpoint list come unasked?
enum class ReportSource { kNone, kAnswers, kProbes };  // where load reports come from
enum class WeightMeaning { kNone, kNominal, kRough, kLive };

struct ClassSettings {
  std::string name;
  Duration latency_objective{0};  // an answer within this earns full worth
  Duration deadline{0};           // the longest that a client waits over all its tries
  RetrySafety retry_safety = RetrySafety::kIdempotent;
  KeyScope scope = KeyScope::kAll;  // keyed classes only
  Duration key_ttl{0};              // keyed classes only: from the first send that may have run
  bool stream = false;
  double priority_weight = 1.0;  // of one request
  double late_weight = 0.0;      // share of the worth that an answer between aim and deadline earns
  bool operator==(const ClassSettings&) const = default;
};

struct PlanSettings {
  std::string name;
  double rate = 0.0;               // units per second for each customer over all gateways; 0: no such quota
  double burst = 0.0;              // units that may be used at once
  double max_concurrent = 0.0;     // attempts open at once; 0: no such quota
  double ceiling_rate = 0.0;       // hard ceiling, units per second; 0: none
  double ceiling_burst = 0.0;      // units
  double ceiling_slack = 0.0;      // units
  double price = 1.0;              // factor of the worth
  double over_quota_weight = 0.0;  // share of the worth earned when sent on beyond the quota
  double over_quota_cost = 0.0;    // share of the worth paid when sent on beyond the quota
  bool operator==(const PlanSettings&) const = default;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  std::vector<std::string> zones;
  std::string zone;    // this gateway's
  int rank = 0;        // this gateway's number among its group
  int group_size = 1;  // gateways of the group
  DiscoveryMode discovery_mode = DiscoveryMode::kPushed;
  ReportSource report_source = ReportSource::kNone;
  WeightMeaning weights = WeightMeaning::kNone;
  Duration tick{0};  // the least time between two events at different times

  bool has_counter = false;             // CounterAdd may be used
  Duration counter_timeout{0};          // a call unanswered by then ends as kTimeout
  double counter_price = 0.0;           // share of the result lost at one call for each request
  bool settles_after_response = false;  // units are a guess; the answer tells the true number
  double max_units = 1.0;               // of one request
  Duration meter_period{0};             // over which answers tell the customer's use; 0: they do not

  int max_attempts = 1;                   // for one request
  bool hedging_allowed = false;           // a request may have two attempts open
  bool can_cancel = false;                // Cancel may be used
  bool can_probe = false;                 // Probe may be used
  bool can_message_peers = false;         // peers may be told things ...
  double peer_messages_per_second = 0.0;  // ... and take in so many messages a second
  bool retry_after = false;               // clients are given the retry-after of a refusal
  Duration max_retry_after{0};            // the longest that clients heed; 0: not known
  Duration dial_timeout{0};
  double probe_price = 0.0;       // of one probe for each request
  double zone_cross_price = 0.0;  // of one crossing for each request
  double waste_price = 0.0;
  double late_fail_price = 0.0;

  Duration answer_slack{0};         // after the deadline, in which a final answer still counts
  Duration drain_grace{0};          // in which sends to a server that drains or is gone must end
  Duration subscribe_within{0};     // without a subscription, what was listed so long ago counts as told
  double cold_capacity = 1.0;       // a server starts with no less than this share of its capacity
  Duration slow_start_duration{0};  // and is warm within this
  double overload_multiple = 0.0;   // sent more than this multiple of its capacity at the time ...
  Duration overload_window{0};      // ... for so long, a cold server falls over

  double goal_whole = 1.0;  // weights of the parts of the result
  double goal_worst_window = 0.0;
  double goal_worst_class = 0.0;
  double goal_worst_plan = 0.0;
  bool operator==(const Settings&) const = default;
};

// Load reports, as far as the site has them; what is absent is below 0.
struct LoadReport {
  double outstanding = -1.0;  // requests held
  double queue = -1.0;        // requests waiting
  double utilization = -1.0;  // of its cores, 0 to 1
  double latency_ms = -1.0;   // recent service time
  double per_second = -1.0;   // requests served
  double errors_per_second = -1.0;
};

enum class ServerState { kUp, kDraining, kGone };

struct ServerInfo {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;
  ServerState state = ServerState::kUp;
  double weight = 1.0;
  TimePoint started{0};  // last start; 0: long ago
};

// ---- Events
// ------------------------------------------------------------------------------------------------

enum class EndpointListKind { kPartial, kComplete, kPersisted, kError };

struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::kComplete;
  std::uint64_t version = 0;
  std::shared_ptr<const std::vector<ServerInfo>> servers;  // null for kError
};

// What an idempotency key has bound a request to before it came here.
struct KeyPin {
  bool bound = false;  // to the servers of one scope, by its class: that cell, or that zone
  std::int64_t cell = 0;
  std::string zone;
  bool may_have_run = false;  // an earlier request under the key, sent `age` ago, may have run
  Duration age{0};
};

// A request has come in. It is owed one final answer within time_left. Ids are never used again.
struct RequestEvent {
  RequestId id = 0;
  std::string class_name;
  std::string plan;
  std::string customer;
  Duration time_left{0};
  double units = 1.0;
  int spread = 1;         // the customer's gateways: so many in a row ...
  int first_gateway = 0;  // ... from this one, counted round
  bool retry = false;
  bool write = false;
  std::optional<KeyPin> pin;  // keyed classes only
  double demand = -1;         // the customer's, over its rate, as other gateways tell; below 0: not told
};

enum class Outcome { kOk, kError, kRejected, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent };

// An attempt is over. Delivered exactly once for each Send.
struct OutcomeEvent {
  RequestId id = 0;
  int attempt = 0;
  std::string server;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  bool final = false;        // the request is over, by this outcome or before
  std::int64_t metered = 0;  // 1 + use in percent; 0: none
  double true_units = 0.0;   // 0: none
  LoadReport load;
};

struct StreamStartedEvent {
  RequestId id = 0;
  int attempt = 0;
  std::string server;
  Duration elapsed{0};
};

struct ClientGoneEvent {
  RequestId id = 0;
};

struct TimerEvent {
  std::uint64_t token = 0;
};

enum class CounterResult { kOk, kRefused, kUnreachable, kTimeout };  // kTimeout alone may have been added

// The reply to one CounterAdd; replies for one name come in the order of its calls.
struct CounterEvent {
  std::string name;
  CounterResult result = CounterResult::kOk;
  double total = 0.0;  // valid with kOk
  Duration elapsed{0};
};

struct ProbeEvent {
  std::string server;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  LoadReport load;
};

struct PeerMessageEvent {
  int sender = 0;
  std::string bytes;
};

using Event = std::variant<EndpointListEvent, RequestEvent, OutcomeEvent, StreamStartedEvent, ClientGoneEvent,
                           TimerEvent, CounterEvent, ProbeEvent, PeerMessageEvent>;

// ---- Actions
// -----------------------------------------------------------------------------------------------

// Begins an attempt; a request's attempts are numbered 0, 1, ... in the order of their Sends.
struct Send {
  RequestId id = 0;
  std::string server;
  Duration timeout{0};
  Duration begin_within{0};  // past it nothing may be sent: a repeat of what may have run would run again
};

struct Reject {  // final: not done, and trying again is harmless
  RequestId id = 0;
  Duration retry_after{0};  // 0: no advice
};

struct Fail {  // final: promises nothing
  RequestId id = 0;
};

struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};

struct SetTimer {
  Duration after{0};
  std::uint64_t token = 0;
};

struct CounterAdd {
  std::string name;
  double amount = 0.0;
  Duration ttl{0};  // of a new name
};

struct Probe {
  std::string server;
};

struct Subscribe {};

// What the counter's total tells of a customer, worth telling other gateways: its asks over its rate.
struct ObservedUsage {
  std::string customer;
  double demand = 0.0;
};

struct Log {
  std::string line;
};

using Action =
    std::variant<Send, Reject, Fail, Cancel, SetTimer, CounterAdd, Probe, Subscribe, ObservedUsage, Log>;

// Makes the decisions of one gateway. Not thread-safe: one thread at a time.
class Controller {
 public:
  Controller(Settings settings, std::uint64_t seed, TimePoint now);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Handles one event and appends what is to be done to `actions`. `now` never decreases.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  // Takes on other settings for what comes from now on. A request keeps its class's rules and its number of
  // attempts until it ends, and what was learnt stays. The plans must be as many and in the same order; a
  // class keeps its place in the list, and a place without a name is no class.
  void Reconfigure(Settings settings);

  // Servers in the list, and of these the ones that are avoided at this moment: draining, or taken out.
  struct UpstreamCounts {
    std::size_t listed = 0;
    std::size_t avoided = 0;
  };
  [[nodiscard]] UpstreamCounts Count(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace postspread

#endif  // POSTSPREAD_CONTROL_H_
