// The public interface of postspread: settings, events, actions and the Controller that maps events to
// actions.
//
// A gateway owns one Controller and passes it every event in order, with the time of the event. The
// Controller returns the actions that the gateway must execute in order at that time. The Controller reads no
// clock, does no I/O, has no global state, and doesn't throw on invalid input. The same settings, seed and
// events yield the same actions. This file only declares types; src/policy/ implements the decisions.
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
// a deployment share. Gateways derive the number of a customer's quota period from it, so the skew between
// their clocks should be far below one period: at the edge of a period a customer can exceed its quota by up
// to rate x skew.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::microseconds;
using RequestId = std::uint64_t;

// Whether the gateway may retry a request that may have run: always; only at upstreams that recognize its
// idempotency key; never.
enum class RetrySafety { kIdempotent, kIdempotencyKey, kNotIdempotent };
// The set of upstreams that share a store of idempotency keys.
enum class KeyScope { kAll, kZone, kCell };
// Whether discovery sends endpoint lists unrequested, or only after a Subscribe.
enum class DiscoveryMode { kPushed, kSubscribe };
// The source of load reports: none, the responses of upstreams, or health checks.
enum class ReportSource { kNone, kResponses, kProbes };
// How accurately the weights in an endpoint list describe the capacity of the upstreams.
enum class WeightAccuracy { kNone, kNominal, kRough, kLive };

struct ClassSettings {
  std::string name;
  Duration latency_objective{0};  // a response within this time earns its full value
  Duration deadline{0};           // the client waits at most this long, over all attempts
  RetrySafety retry_safety = RetrySafety::kIdempotent;
  // Both apply to kIdempotencyKey only. The ttl starts with the first attempt that may have run.
  KeyScope scope = KeyScope::kAll;
  Duration key_ttl{0};
  bool stream = false;
  double priority_weight = 1.0;  // the value of one request
  double late_weight = 0.0;      // a response between objective and deadline earns this fraction of the value
  bool operator==(const ClassSettings&) const = default;
};

struct PlanSettings {
  std::string name;
  double rate = 0.0;            // quota of each customer over all gateways, in units per second; 0: no quota
  double burst = 0.0;           // units that a customer may use at once
  double max_concurrent = 0.0;  // maximum number of attempts in flight for each customer; 0: no limit
  double ceiling_rate = 0.0;    // hard limit in units per second; 0: no hard limit
  double ceiling_burst = 0.0;   // burst of the hard limit, in units
  double ceiling_slack = 0.0;   // tolerance of the hard limit, in units
  double price = 1.0;           // the value of a request is multiplied by this
  // A request beyond the quota earns the fraction `over_quota_weight` of its value, and costs the fraction
  // `over_quota_cost` of it.
  double over_quota_weight = 0.0;
  double over_quota_cost = 0.0;
  bool operator==(const PlanSettings&) const = default;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  std::vector<std::string> zones;
  std::string zone;    // the zone of this gateway
  int rank = 0;        // the position of this gateway in its group, from 0
  int group_size = 1;  // the number of gateways in the group
  DiscoveryMode discovery_mode = DiscoveryMode::kPushed;
  ReportSource report_source = ReportSource::kNone;
  WeightAccuracy weights = WeightAccuracy::kNone;
  Duration tick{0};  // the minimum time between two events that don't happen at the same time

  bool has_counter = false;             // the gateway has a counter, so the Controller may emit CounterAdd
  Duration counter_timeout{0};          // a call that has no reply after this time ends as kTimeout
  double counter_price = 0.0;           // one call per request costs this fraction of the result
  bool settles_after_response = false;  // a request's units are an estimate; the response has the true number
  double max_units = 1.0;               // the maximum number of units of one request
  Duration meter_period{0};             // responses report the customer's use over this time; 0: no reports

  int max_attempts = 1;                   // the maximum number of attempts of one request
  bool hedging_allowed = false;           // a request may have two attempts in flight
  bool can_cancel = false;                // the Controller may emit Cancel
  bool can_probe = false;                 // the Controller may emit Probe
  bool can_message_peers = false;         // the gateway may send messages to its peers
  double peer_messages_per_second = 0.0;  // each peer accepts this many messages per second
  bool retry_after = false;               // clients receive the retry-after of a Reject
  Duration max_retry_after{0};            // clients ignore a longer retry-after; 0: unknown
  Duration dial_timeout{0};
  double probe_price = 0.0;       // one health check per request costs this fraction of the result
  double zone_cross_price = 0.0;  // one attempt per request in another zone costs this fraction of the result
  double waste_price = 0.0;
  double late_fail_price = 0.0;

  // The Controller remembers at most this many customers without requests in flight; 0: no limit.
  std::size_t max_customers = 0;

  Duration response_slack{0};  // a final response still counts until this long after the deadline
  Duration drain_grace{0};     // attempts at a draining or removed upstream must end within this time
  // Without a subscription the gateway is considered to know an endpoint list from this age on.
  Duration subscribe_within{0};
  // An upstream starts with this fraction of its capacity and has its full capacity after the duration.
  double initial_capacity = 1.0;
  Duration slow_start_duration{0};
  // An upstream in slow start is overloaded and fails when it receives more than this multiple of its present
  // capacity for the length of the window.
  double overload_multiple = 0.0;
  Duration overload_window{0};

  // The result is the sum of these parts, each with its weight: the value of all requests, and the values of
  // the worst time window, the worst class and the worst plan.
  double goal_total = 1.0;
  double goal_worst_window = 0.0;
  double goal_worst_class = 0.0;
  double goal_worst_plan = 0.0;
  bool operator==(const Settings&) const = default;
};

// The load that an upstream reports. A value that it doesn't report is below 0.
struct LoadReport {
  double outstanding = -1.0;  // requests in flight
  double queue = -1.0;        // requests in flight that wait in a queue
  double utilization = -1.0;  // utilization of its cores, 0 to 1
  double latency_ms = -1.0;   // recent service time
  double per_second = -1.0;   // requests served per second
  double errors_per_second = -1.0;
};

enum class EndpointState { kUp, kDraining, kRemoved };

struct EndpointInfo {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::kUp;
  double weight = 1.0;
  TimePoint started{0};  // when its process started; 0: long ago
};

// ---- Events ----

enum class EndpointListKind { kPartial, kComplete, kPersisted, kError };

struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::kComplete;
  std::uint64_t version = 0;
  std::shared_ptr<const std::vector<EndpointInfo>> upstreams;  // null for kError
};

// Constraints on a request that follow from earlier requests with the same idempotency key.
struct KeyBinding {
  // The request may only go to upstreams of the cell or the zone below, depending on the key scope of its
  // class.
  bool bound = false;
  std::int64_t cell = 0;
  std::string zone;
  bool may_have_run = false;  // an earlier request, which was sent `age` ago, may have run
  Duration age{0};
};

// A request has arrived. The Controller must give it exactly one final response within time_left. Ids are
// unique.
struct RequestEvent {
  RequestId id = 0;
  std::string class_name;
  std::string plan;
  std::string customer;
  Duration time_left{0};
  double units = 1.0;
  // The customer's requests arrive at `spread` gateways of consecutive ranks from `first_gateway` on, modulo
  // the group's size.
  int spread = 1;
  int first_gateway = 0;
  bool retry = false;  // the client has marked the request as a retry
  bool write = false;
  std::optional<KeyBinding> key_binding;  // present with kIdempotencyKey only
  double demand = -1;  // the customer's demand divided by its rate, as peers report it; below 0: unknown
};

enum class Outcome { kOk, kError, kRejected, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent };

// An attempt has ended. The gateway delivers exactly one such event for each Send.
struct OutcomeEvent {
  RequestId id = 0;
  int attempt = 0;
  std::string upstream;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  bool final = false;        // the request has ended, with this outcome or an earlier one
  std::int64_t metered = 0;  // 1 + the customer's use in percent; 0: not reported
  double true_units = 0.0;   // the units that the request has really used; 0: not reported
  LoadReport load;
};

struct StreamStartedEvent {
  RequestId id = 0;
  int attempt = 0;
  std::string upstream;
  Duration elapsed{0};
};

struct ClientDisconnectedEvent {
  RequestId id = 0;
};

struct TimerEvent {
  std::uint64_t token = 0;
};

// The result of a counter call. Of the failures, only kTimeout may have added the amount.
enum class CounterResult { kOk, kRefused, kUnreachable, kTimeout };

// The reply to one CounterAdd. Replies for one name arrive in the order of its calls.
struct CounterEvent {
  std::string name;
  CounterResult result = CounterResult::kOk;
  double total = 0.0;  // the total after the addition; valid with kOk only
  Duration elapsed{0};
};

struct ProbeEvent {
  std::string upstream;
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

// Starts an attempt. The attempts of a request are numbered from 0 in the order of their Sends.
struct Send {
  RequestId id = 0;
  std::string upstream;
  Duration timeout{0};
  // The last byte must arrive within this time: later, upstreams might no longer recognize the idempotency
  // key.
  Duration arrival_timeout{0};
};

// Ends a request with a final response after which the client may safely retry.
struct Reject {
  RequestId id = 0;
  Duration retry_after{0};  // 0: the response has no retry-after
};

// Ends a request with a final response that says that the request may have run.
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
  Duration ttl{0};  // a count that this call creates expires after this time
};

struct Probe {
  std::string upstream;
};

struct Subscribe {};

// A customer's demand according to the counter's total, which the gateway broadcasts to its peers.
struct ObservedUsage {
  std::string customer;
  double demand = 0.0;  // the demand divided by the customer's rate
};

struct Log {
  std::string line;
};

using Action =
    std::variant<Send, Reject, Fail, Cancel, SetTimer, CounterAdd, Probe, Subscribe, ObservedUsage, Log>;

// Makes the decisions of one gateway. The class is not thread-safe.
class Controller {
 public:
  Controller(Settings settings, std::uint64_t seed, TimePoint now);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Handles one event and appends the actions that follow from it. `now` must not decrease.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  // Replaces the settings. Open requests retain the rules of their class and their maximum number of attempts
  // until they end, and statistics are retained. The plans must be the same in number and order. Each class
  // must retain its index in the list; an index whose name is empty has no class.
  void Reconfigure(Settings settings);

  // The number of upstreams in the endpoint list, and of those among them that are avoided at `now` because
  // they are draining or ejected.
  struct UpstreamCounts {
    std::size_t total = 0;
    std::size_t avoided = 0;
  };
  [[nodiscard]] UpstreamCounts Count(TimePoint now) const;
  // Returns how many customers it remembers.
  [[nodiscard]] std::size_t CountCustomers() const;
  // Returns whether the timer with this token still has an effect, so that its owner can drop others.
  [[nodiscard]] bool NeedsTimer(std::uint64_t token) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace postspread

#endif  // POSTSPREAD_CONTROL_H_
