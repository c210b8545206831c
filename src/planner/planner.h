// The decision module behind three calls: Pick, Report and Tick. Each returns at once with the steps that are
// to be carried out at that moment, in order. There are no callbacks and there is no I/O; the caller owns the
// clock and the sockets, the planner owns the module, its timers and the numbers of requests and attempts.
#ifndef POSTSPREAD_PLANNER_PLANNER_H_
#define POSTSPREAD_PLANNER_PLANNER_H_

#include <cstdint>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "idempotency/replica.h"
#include "membership/membership.h"
#include "model/request.h"
#include "planner/start_times.h"
#include "planner/types.h"
#include "postspread/control.h"
#include "subsetting/subset.h"
#include "usage/limits.h"
#include "usage/usage_table.h"

namespace postspread::planner {

// The steps hold until the next call of the planner.
using Actions = std::span<Action>;

class Planner {
 public:
  // What this installation switches on beside the module.
  struct Extras {
    idempotency::Limits keys;
    usage::Limits usage;
    bool has_peers = false;  // datagrams can be sent to the other gateways
    membership::Limits membership{};
    subsetting::Limits subsetting{};
    std::string name{};           // this gateway's, in the membership view
    membership::PeerId peer = 0;  // where it is reached, as `seeds` count
    std::vector<membership::PeerId> seeds{};
    bool may_be_succeeded = false;  // another process may take over from this one
    membership::DisabledDefense disabled = membership::DisabledDefense::kNothing;
  };

  // `wall` is the wall clock at `now`. Gateways number a customer's periods by it, so it must agree
  // between them; from then on only the steady clock counts, so that time never goes back.
  Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now,
          const Extras& extras);
  Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now)
      : Planner(std::move(settings), seed, wall, now, Extras{}) {}

  // Takes on other settings for what comes from now on; what is under way keeps its rules, and what was
  // learnt stays. Returns whether it left the plans as they were because theirs are not the same names in the
  // same order.
  bool Reconfigure(Settings settings);
  // Places of classes, the empty ones too: no more than were configured at once.
  std::size_t places() const { return settings_.classes.size(); }
  // Takes on what may change while it runs.
  void SetLimits(const idempotency::Limits& keys, const membership::Limits& membership);
  // Null where the membership view is off.
  const membership::Membership* membership() const { return membership_ ? &*membership_ : nullptr; }

  struct PickResult {
    RequestId number = 0;
    Actions actions;
  };
  // A request has come in; it is owed one final answer: a value, a Defer or a Fail.
  PickResult Pick(const Request& request, Clock::time_point now);

  // SIGTERM has come: the fleet is told.
  Actions Leave(Clock::time_point now);

  // Something came back. A served attempt ends its request: its value is the final answer.
  Actions Report(ReportValue report, Clock::time_point now);

  // Runs the timers that are due.
  Actions Tick(Clock::time_point now);
  // When Tick is next wanted; nothing: not at all. May have changed after each call.
  std::optional<Clock::time_point> NextTick();

  // Upstreams in the list, and of these the ones that the decisions avoid now.
  Controller::UpstreamCounts Count(Clock::time_point now) { return controller_.Count(At(now)); }

  // Whether the request's answer is wanted in the report of its attempt: it is served by a step then.
  bool NeedsAnswer(RequestId number) { return replica_ && replica_->Runs(number); }
  // Whether the request is needed after its sender has gone, until a Forget.
  bool OutlivesClient(RequestId number) { return replica_ && replica_->IsTracking(number); }
  // Null where the store of keys is off.
  idempotency::IdempotencyReplica* replica() { return replica_ ? &*replica_ : nullptr; }

 private:
  struct Timer {
    TimePoint due{0};
    std::uint64_t order = 0;
    std::uint64_t token = 0;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  struct FinishedWork {  // work under a key
    RequestId number = 0;
    idempotency::WorkResult end = idempotency::WorkResult::kFailed;
    std::string value;
    Duration retry_after{0};
  };

  TimePoint At(Clock::time_point now);
  std::optional<idempotency::KeyedRequest> ToAsk(const Request& request, RequestId number, TimePoint now) const;
  RequestEvent ToRequest(const idempotency::Work& work, RequestId number, Duration time_left);
  void ApplyIdempotency(idempotency::Actions actions, TimePoint now);
  void FinishKeyedRequests(TimePoint now);
  void ApplyMembership();
  void ShareView();
  void ApplySubset(EndpointListReport& report);
  subsetting::RingPosition RingPosition() const;
  void ApplyEndpointList(const EndpointListReport& report);
  void RefreshPods(TimePoint now);
  void Handle(const Event& event, TimePoint now);
  Event ToEvent(AttemptReport&& report);
  Event ToEvent(CounterReport&& report);
  Event ToEvent(EndpointListReport&& report);
  Event ToEvent(ProbeReport&& report);
  Event ToEvent(ClientDisconnected&& report);
  Event ToEvent(PeerReport&& report);
  Event ToEvent(MembershipReport&& report);
  void Translate(postspread::Send&& action, TimePoint now);
  void Translate(postspread::Reject&& action, TimePoint now);
  void Translate(postspread::Fail&& action, TimePoint now);
  void Translate(postspread::Cancel&& action, TimePoint now);
  void Translate(postspread::SetTimer&& action, TimePoint now);
  void Translate(postspread::CounterAdd&& action, TimePoint now);
  void Translate(postspread::Probe&& action, TimePoint now);
  void Translate(postspread::Subscribe&& action, TimePoint now);
  void Translate(postspread::ObservedUsage&& action, TimePoint now);
  void Translate(postspread::Log&& action, TimePoint now);

  std::chrono::microseconds wall_;
  Clock::time_point start_;
  TimePoint last_{0};
  Settings settings_;  // in force; a class keeps its place, and one that went leaves it without a name
  Controller controller_;
  RequestId next_number_ = 1;
  std::uint64_t next_order_ = 0;
  StartTimes start_times_;
  std::unordered_map<RequestId, int> open_;  // requests that are owed an answer: attempts so far
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::vector<postspread::Action> decisions_;
  // The store of keys, where it is on.
  std::optional<idempotency::IdempotencyReplica> replica_;
  // Kept where subsets are on, too.
  std::unordered_map<std::string, Upstream> upstreams_;  // by name, but for those that are gone
  std::unordered_map<std::int64_t, Upstream> pods_;      // one of each pod's
  TimePoint pods_at_{0};
  std::vector<FinishedWork> finished_;
  // What gateways tell one another of customers, where they may.
  std::optional<usage::UsageTable> usage_table_;
  // Of the upstreams, the ones that this gateway uses, where it uses a part.
  subsetting::Limits subsetting_;
  std::unordered_set<std::string> chosen_;
  std::uint64_t endpoint_list_index_ = 0;
  // Which gateways live, where this installation wants to know.
  std::optional<membership::Membership> membership_;
  std::vector<Action> actions_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_PLANNER_H_
