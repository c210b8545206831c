// The interface of postspread: settings, events, actions and the Controller that turns one into the other.
//
// A gateway embeds one Controller and hands it, in order, every event with the time at which it happened; the
// Controller returns the actions to carry out, in order, at that same moment. It reads no clock, does no I/O,
// keeps no globals, throws nothing on invalid input, and returns the same actions for the same settings, seed
// and events. All decisions are in src/policy/; this file holds types only.
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

// Every time and duration is in microseconds. A time point is a duration since an origin that all gateways of
// a deployment share. Gateways number a customer's quota periods by it, so their clocks should agree to well
// under a period: a skew lets a customer use up to rate x skew more at the edge of a period.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::microseconds;
using RequestId = std::uint64_t;

// Whether a request that may have run may be sent again: always; to the servers that recognize its
// idempotency key; never.
enum class RetrySafety { kIdempotent, kIdempotencyKey, kNotIdempotent };
// The servers that share idempotency keys.
enum class KeyScope { kAll, kZone, kCell };
// Whether endpoint lists arrive by themselves, or only after a Subscribe.
enum class DiscoveryMode { kPushed, kSubscribe };
// Where load reports come from.
enum class ReportSource { kNone, kAnswers, kProbes };
// How far the servers' weights can be relied on.
enum class WeightMeaning { kNone, kNominal, kRough, kLive };

struct ClassSettings {
  std::string name;
  Duration latency_objective{0};  // an answer within it earns its full value
  Duration deadline{0};           // the longest that a client waits over all its attempts
  RetrySafety retry_safety = RetrySafety::kIdempotent;
  KeyScope scope = KeyScope::kAll;  // with kIdempotencyKey
  Duration key_ttl{0};              // with kIdempotencyKey: from the first attempt that may have run
  bool stream = false;
  double priority_weight = 1.0;  // value of one request
  double late_weight = 0.0;      // fraction of the value earned between objective and deadline
  bool operator==(const ClassSettings&) const = default;
};

struct PlanSettings {
  std::string name;
  double rate = 0.0;               // units per second for each customer over all gateways; 0: no quota
  double burst = 0.0;              // units that may be used at once
  double max_concurrent = 0.0;     // attempts in flight for each customer; 0: no limit
  double ceiling_rate = 0.0;       // hard ceiling, units per second; 0: none
  double ceiling_burst = 0.0;      // units
  double ceiling_slack = 0.0;      // units
  double price = 1.0;              // factor of a request's value
  double over_quota_weight = 0.0;  // fraction of the value earned by a request beyond the quota
  double over_quota_cost = 0.0;    // fraction of the value paid for a request beyond the quota
  bool operator==(const PlanSettings&) const = default;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  std::vector<std::string> zones;
  std::string zone;    // of this gateway
  int rank = 0;        // of this gateway in its group, from 0
  int group_size = 1;  // gateways in the group
  DiscoveryMode discovery_mode = DiscoveryMode::kPushed;
  ReportSource report_source = ReportSource::kNone;
  WeightMeaning weights = WeightMeaning::kNone;
  Duration tick{0};  // the least time between two events at different times

  bool has_counter = false;             // CounterAdd may be used
  Duration counter_timeout{0};          // a call without a reply by then ends as kTimeout
  double counter_price = 0.0;           // fraction of the result lost at one call for each request
  bool settles_after_response = false;  // units are an estimate; the answer has the true number
  double max_units = 1.0;               // of one request
  Duration meter_period{0};             // over which answers report the customer's use; 0: they don't

  int max_attempts = 1;                   // for one request
  bool hedging_allowed = false;           // a request may have two attempts in flight
  bool can_cancel = false;                // Cancel may be used
  bool can_probe = false;                 // Probe may be used
  bool can_message_peers = false;         // messages may be sent to other gateways ...
  double peer_messages_per_second = 0.0;  // ... each of which accepts so many
  bool retry_after = false;               // clients receive the retry-after of a Reject
  Duration max_retry_after{0};            // the longest that clients heed; 0: unknown
  Duration dial_timeout{0};
  double probe_price = 0.0;       // of one probe for each request
  double zone_cross_price = 0.0;  // of one crossing for each request
  double waste_price = 0.0;
  double late_fail_price = 0.0;

  Duration answer_slack{0};         // past the deadline, in which a final answer still counts
  Duration drain_grace{0};          // in which attempts at a draining or removed server must end
  Duration subscribe_within{0};     // without a subscription, the age at which a list counts as known
  double initial_capacity = 1.0;    // fraction of its capacity that a server has when it starts
  Duration slow_start_duration{0};  // until it has its full capacity
  double overload_multiple = 0.0;   // a server in slow start that is sent more than this multiple of ...
  Duration overload_window{0};      // ... its capacity for so long is overloaded and fails

  // Weights of the parts of the result.
  double goal_whole = 1.0;
  double goal_worst_window = 0.0;
  double goal_worst_class = 0.0;
  double goal_worst_plan = 0.0;
  bool operator==(const Settings&) const = default;
};

// A server's load as it reports it; absent figures are below 0.
struct LoadReport {
  double outstanding = -1.0;  // requests in flight
  double queue = -1.0;        // of these, requests that wait
  double utilization = -1.0;  // of its cores, 0 to 1
  double latency_ms = -1.0;   // recent service time
  double per_second = -1.0;   // requests served
  double errors_per_second = -1.0;
};

enum class ServerState { kUp, kDraining, kRemoved };

struct ServerInfo {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;
  ServerState state = ServerState::kUp;
  double weight = 1.0;
  TimePoint started{0};  // of its process; 0: long ago
};

// ---- Events ----

enum class EndpointListKind { kPartial, kComplete, kPersisted, kError };

struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::kComplete;
  std::uint64_t version = 0;
  std::shared_ptr<const std::vector<ServerInfo>> servers;  // null for kError
};

// What earlier requests under the same idempotency key have left for this one.
struct KeyPin {
  bool bound = false;  // to the cell or the zone below, whichever is its class's scope
  std::int64_t cell = 0;
  std::string zone;
  bool may_have_run = false;  // an earlier request, sent `age` ago, may have run
  Duration age{0};
};

// A request has arrived. It must have one final answer within time_left. Ids are unique.
struct RequestEvent {
  RequestId id = 0;
  std::string class_name;
  std::string plan;
  std::string customer;
  Duration time_left{0};
  double units = 1.0;
  int spread = 1;         // the customer's requests come through so many gateways ...
  int first_gateway = 0;  // ... of consecutive ranks, modulo the group's size
  bool retry = false;     // marked by the client as a retry
  bool write = false;
  std::optional<KeyPin> pin;  // with kIdempotencyKey
  double demand = -1;         // the customer's demand over its rate, by other gateways; below 0: unknown
};

enum class Outcome { kOk, kError, kRejected, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent };

// An attempt has ended. Delivered exactly once for each Send.
struct OutcomeEvent {
  RequestId id = 0;
  int attempt = 0;
  std::string server;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  bool final = false;        // the request has ended, with this outcome or before
  std::int64_t metered = 0;  // 1 + the customer's use in percent; 0: not reported
  double true_units = 0.0;   // 0: not reported
  LoadReport load;
};

struct StreamStartedEvent {
  RequestId id = 0;
  int attempt = 0;
  std::string server;
  Duration elapsed{0};
};

struct ClientDisconnectedEvent {
  RequestId id = 0;
};

struct TimerEvent {
  std::uint64_t token = 0;
};

// Of the failures only kTimeout may have added the amount.
enum class CounterResult { kOk, kRefused, kUnreachable, kTimeout };

// The reply to one CounterAdd; replies for one name arrive in the order of its calls.
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

using Event = std::variant<EndpointListEvent, RequestEvent, OutcomeEvent, StreamStartedEvent,
                           ClientDisconnectedEvent, TimerEvent, CounterEvent, ProbeEvent, PeerMessageEvent>;

// ---- Actions ----

// Starts an attempt. A request's attempts are numbered from 0 in the order of their Sends.
struct Send {
  RequestId id = 0;
  std::string server;
  Duration timeout{0};
  Duration begin_within{0};  // must not be sent later: servers might no longer recognize it as a repeat
};

// A final answer: the client may safely send the request again.
struct Reject {
  RequestId id = 0;
  Duration retry_after{0};  // 0: none given
};

// A final answer: the request may have run.
struct Fail {
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
  Duration ttl{0};  // of the count, if it is new
};

struct Probe {
  std::string server;
};

struct Subscribe {};

// A customer's demand by the counter's total, to be broadcast to other gateways.
struct ObservedUsage {
  std::string customer;
  double demand = 0.0;  // over its rate
};

struct Log {
  std::string line;
};

using Action =
    std::variant<Send, Reject, Fail, Cancel, SetTimer, CounterAdd, Probe, Subscribe, ObservedUsage, Log>;

// Makes the decisions of one gateway. Not thread-safe.
class Controller {
 public:
  Controller(Settings settings, std::uint64_t seed, TimePoint now);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Handles one event and appends the actions that follow from it. `now` must not decrease.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  // Replaces the settings. Requests keep their class's rules and their number of attempts until they end, and
  // statistics are kept. The plans must be the same in number and order. Each class must keep its place in
  // the list; a place with an empty name has no class.
  void Reconfigure(Settings settings);

  // Servers in the endpoint list, and of these the ones avoided at `now`: draining or ejected.
  struct UpstreamCounts {
    std::size_t total = 0;
    std::size_t avoided = 0;
  };
  [[nodiscard]] UpstreamCounts Count(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace postspread

#endif  // POSTSPREAD_CONTROL_H_
