// Joins the idempotency replica to the controller: a request with a key goes to the replica first, work that
// the replica starts goes to the controller, and how that work ended goes back to the replica.
#ifndef POSTSPREAD_PLANNER_IDEMPOTENCY_ADAPTER_H_
#define POSTSPREAD_PLANNER_IDEMPOTENCY_ADAPTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "idempotency/replica.h"
#include "membership/types.h"
#include "planner/controller_adapter.h"
#include "planner/options.h"
#include "planner/types.h"
#include "planner/upstream_groups.h"
#include "planner/upstream_set.h"
#include "postspread/control.h"

namespace postspread::planner {

class IdempotencyAdapter {
 public:
  // `actions`: the list that the planner is filling. The references outlive this.
  IdempotencyAdapter(const PlannerOptions& options, const Settings& settings, TimePoint now,
                     const UpstreamSet& upstreams, ControllerAdapter& controller,
                     std::vector<Action>& actions);

  void SetLimits(const idempotency::Limits& limits) { replica_.SetLimits(limits); }
  void OnMembershipView(const membership::View& view);
  void OnUpstreamsChanged(TimePoint now);

  // A request has arrived. False: it has no key of a known class, and is left alone.
  bool Begin(const Request& request, RequestId id, TimePoint now);
  void OnClientDisconnect(RequestId request, TimePoint now);
  void Received(int rank, std::string_view bytes, TimePoint now);

  // Whether work under a key runs as this request, so that its end is wanted here.
  [[nodiscard]] bool IsRunning(RequestId request) { return replica_.Runs(request); }
  // Whether the request runs or waits here, so that it outlives its client.
  [[nodiscard]] bool IsTracking(RequestId request) { return replica_.IsTracking(request); }

  // The work of a request that IsRunning has ended. Takes effect with the next FinishWork, since the replica
  // must not be called while the controller's decisions are translated.
  void OnSucceeded(RequestId request, std::string value);
  void OnRejected(RequestId request, Duration retry_after);
  void OnFailed(RequestId request);
  void FinishWork(TimePoint now);

  void Tick(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTick() { return replica_.NextTick(); }

  [[nodiscard]] idempotency::IdempotencyReplica& replica() { return replica_; }

 private:
  struct FinishedWork {
    RequestId request = 0;
    idempotency::WorkResult end = idempotency::WorkResult::kFailed;
    std::string value;
    Duration retry_after{0};
  };

  [[nodiscard]] std::optional<idempotency::KeyedRequest> ToAsk(const Request& request, RequestId id,
                                                               TimePoint now) const;
  [[nodiscard]] RequestEvent ToEvent(const idempotency::Work& work, RequestId id, Duration time_left) const;
  [[nodiscard]] KeyPin ToKeyPin(const idempotency::StickyPlacement& placement) const;
  void RefreshGroups(TimePoint now);
  void Apply(idempotency::Actions actions, TimePoint now);
  void Translate(idempotency::StartRequest&& action, TimePoint now);
  void Translate(idempotency::StartUnprotected&& action, TimePoint now);
  void Translate(idempotency::CompleteRequest&& action, TimePoint now);
  void Translate(idempotency::RejectWithRetryAfter&& action, TimePoint now);
  void Translate(idempotency::FailRequest&& action, TimePoint now);
  void Translate(idempotency::ReleaseRequest&& action, TimePoint now);
  void Translate(idempotency::SendDatagram&& action, TimePoint now);

  const Settings& settings_;
  ControllerAdapter& controller_;
  std::vector<Action>& actions_;
  idempotency::IdempotencyReplica replica_;
  UpstreamGroups groups_;
  std::vector<FinishedWork> finished_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_IDEMPOTENCY_ADAPTER_H_
