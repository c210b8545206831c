// Connects the idempotency replica to the controller. The replica checks each request with an idempotency key
// first. The controller runs the work that the replica starts, and the replica gets the result of that work.
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
  // The adapter appends to `actions`, the result of the planner's current call. All references must outlive
  // the adapter.
  IdempotencyAdapter(const PlannerOptions& options, const Settings& settings, TimePoint now,
                     const UpstreamSet& upstreams, ControllerAdapter& controller,
                     std::vector<Action>& actions);

  void SetLimits(const idempotency::Limits& limits) { replica_.SetLimits(limits); }
  void OnMembershipView(const membership::View& view);
  void OnUpstreamsChanged(TimePoint now);

  // Handles a new request. Returns false, and does nothing, if the request has no idempotency key or its
  // class or plan is unknown.
  bool Begin(const Request& request, RequestId id, TimePoint now);
  void OnClientDisconnect(RequestId request, TimePoint now);
  void HandleDatagram(int rank, std::string_view bytes, TimePoint now);

  // Returns whether this request runs the work for its key, so that the replica needs the result.
  [[nodiscard]] bool IsRunning(RequestId request) { return replica_.IsRunning(request); }
  // Returns whether the request runs or waits for such work, so that it outlives its client.
  [[nodiscard]] bool IsTracking(RequestId request) { return replica_.IsTracking(request); }

  // Record the result of a request for which IsRunning returns true. FinishWork passes it to the replica,
  // which must not be called while the controller's decisions are being translated.
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
    idempotency::WorkResult result = idempotency::WorkResult::kFailed;
    std::string value;
    Duration retry_after{0};
  };

  [[nodiscard]] std::optional<idempotency::KeyedRequest> ToKeyedRequest(const Request& request, RequestId id,
                                                                        TimePoint now) const;
  [[nodiscard]] RequestEvent ToEvent(const idempotency::Work& work, RequestId id, Duration time_left) const;
  [[nodiscard]] KeyBinding ToKeyBinding(const idempotency::StickyPlacement& placement) const;
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
