#include "planner/idempotency_adapter.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <variant>

#include "idempotency/digest.h"
#include "planner/event_translation.h"

namespace postspread::planner {
namespace {

FailureReason ToReason(idempotency::FailureReason reason) {
  switch (reason) {
    case idempotency::FailureReason::kUnknownOutcome:
      return FailureReason::kUnknown;
    case idempotency::FailureReason::kFingerprintMismatch:
      return FailureReason::kKeyReused;
    case idempotency::FailureReason::kResponseDropped:
      return FailureReason::kResponseDropped;
  }
  return FailureReason::kFailed;
}

idempotency::IdempotencyReplica::Identity ToIdentity(const PlannerOptions& options, const Settings& settings,
                                                     TimePoint now) {
  return {.rank = settings.rank,
          .group_size = settings.group_size,
          .has_peers = options.has_peers,
          .incarnation = static_cast<std::uint64_t>(now.count())};
}

// Returns the index of the entry called `name`, if there is one.
template <typename Entry>
std::optional<std::size_t> FindIndex(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [name](const Entry& candidate) { return candidate.name == name; });
  if (found == entries.end()) return std::nullopt;
  return static_cast<std::size_t>(found - entries.begin());
}

}  // namespace

IdempotencyAdapter::IdempotencyAdapter(const PlannerOptions& options, const Settings& settings, TimePoint now,
                                       const UpstreamSet& upstreams, ControllerAdapter& controller,
                                       std::vector<Action>& actions)
    : settings_(settings),
      controller_(controller),
      actions_(actions),
      replica_(options.idempotency, ToIdentity(options, settings, now), now),
      groups_(settings, upstreams) {}

void IdempotencyAdapter::OnMembershipView(const membership::View& view) {
  std::vector<idempotency::Peers::ViewedPeer> seen(static_cast<std::size_t>(settings_.group_size));
  for (const membership::Member& member : view.members) {
    if (member.peer >= seen.size() || member.update.incarnation <= seen[member.peer].incarnation) continue;
    seen[member.peer] = {!membership::IsLive(member.update.state), member.update.incarnation};
  }
  replica_.SetView(std::move(seen));
}

void IdempotencyAdapter::OnUpstreamsChanged(TimePoint now) {
  groups_.Invalidate();
  RefreshGroups(now);
}

void IdempotencyAdapter::RefreshGroups(TimePoint now) {
  std::optional<std::vector<idempotency::UpstreamGroup>> groups = groups_.Refresh(now);
  if (groups) replica_.SetUpstreamGroups(std::move(*groups));
}

bool IdempotencyAdapter::Begin(const Request& request, RequestId id, TimePoint now) {
  const std::optional<idempotency::KeyedRequest> keyed = ToKeyedRequest(request, id, now);
  if (!keyed) return false;
  RefreshGroups(now);
  Apply(replica_.Begin(*keyed, now), now);
  FinishWork(now);
  return true;
}

void IdempotencyAdapter::OnClientDisconnect(RequestId request, TimePoint now) {
  Apply(replica_.OnClientDisconnect(request, now), now);
}

void IdempotencyAdapter::HandleDatagram(int rank, std::string_view bytes, TimePoint now) {
  Apply(replica_.HandleDatagram(rank, bytes, now), now);
}

void IdempotencyAdapter::Tick(TimePoint now) {
  Apply(replica_.Tick(now), now);
  FinishWork(now);
}

void IdempotencyAdapter::OnSucceeded(RequestId request, std::string value) {
  finished_.push_back({request, idempotency::WorkResult::kServed, std::move(value)});
}

void IdempotencyAdapter::OnRejected(RequestId request, Duration retry_after) {
  finished_.push_back({request, idempotency::WorkResult::kRejected, {}, retry_after});
}

void IdempotencyAdapter::OnFailed(RequestId request) {
  finished_.push_back({request, idempotency::WorkResult::kFailed, {}});
}

// The result of one request may start the work of a waiting request, which may finish at once. The loop
// terminates because each round consumes a waiting request.
void IdempotencyAdapter::FinishWork(TimePoint now) {
  while (!finished_.empty()) {
    std::vector<FinishedWork> round;
    round.swap(finished_);
    for (FinishedWork& work : round) {
      Apply(replica_.OnWorkFinished(work.request, work.result, std::move(work.value), work.retry_after, now),
            now);
    }
  }
}

std::optional<idempotency::KeyedRequest> IdempotencyAdapter::ToKeyedRequest(const Request& request,
                                                                            RequestId id,
                                                                            TimePoint now) const {
  if (request.key.empty()) return std::nullopt;
  const std::optional<std::size_t> class_index = FindIndex(settings_.classes, request.class_name);
  const std::optional<std::size_t> plan_index = FindIndex(settings_.plans, request.plan);
  if (!class_index || !plan_index) return std::nullopt;
  const ClassSettings& class_settings = settings_.classes[*class_index];
  idempotency::KeyedRequest keyed;
  keyed.waiter = id;
  keyed.key = idempotency::DigestKey(request.customer, request.class_name, request.key);
  keyed.fingerprint = idempotency::DigestRequest(request.customer, request.class_name, request.key,
                                                 request.units, request.body);
  keyed.customer = idempotency::DigestCustomer(request.customer);
  keyed.deadline = now + TimeLeft(request.timeout);
  keyed.dedup_window = class_settings.key_ttl;
  keyed.sticky = class_settings.scope != KeyScope::kAll;
  std::copy_n(request.customer.begin(), std::min(request.customer.size(), keyed.work.customer.size()),
              keyed.work.customer.begin());
  keyed.work.class_index = static_cast<std::int16_t>(*class_index);
  keyed.work.plan_index = static_cast<std::int16_t>(*plan_index);
  keyed.work.spread = static_cast<std::int16_t>(request.spread);
  keyed.work.first = static_cast<std::int16_t>(request.first);
  keyed.work.units = static_cast<float>(request.units);
  keyed.work.is_retry = request.is_retry;
  return keyed;
}

RequestEvent IdempotencyAdapter::ToEvent(const idempotency::Work& work, RequestId id,
                                         Duration time_left) const {
  RequestEvent event;
  event.id = id;
  event.class_name = settings_.classes[static_cast<std::size_t>(work.class_index)].name;
  event.plan = settings_.plans[static_cast<std::size_t>(work.plan_index)].name;
  event.customer.assign(work.customer.begin(), std::find(work.customer.begin(), work.customer.end(), '\0'));
  event.time_left = std::max<Duration>(std::chrono::milliseconds(1), time_left);
  event.units = work.units;
  event.spread = work.spread;
  event.first_gateway = work.first;
  event.retry = work.is_retry;
  event.write = true;
  return event;
}

KeyBinding IdempotencyAdapter::ToKeyBinding(const idempotency::StickyPlacement& placement) const {
  KeyBinding out;
  out.may_have_run = placement.may_have_run;
  out.age = placement.age;
  if (!placement.group) return out;
  // A group without upstreams has no zone, but its number still prevents other groups from being used.
  out.bound = true;
  out.cell = *placement.group;
  if (const std::string* zone = groups_.FindZone(*placement.group)) out.zone = *zone;
  return out;
}

void IdempotencyAdapter::Apply(idempotency::Actions actions, TimePoint now) {
  // The loop copies `actions`: work that it starts may finish at once, and the next call of the replica
  // overwrites them.
  for (idempotency::Action& action : std::vector<idempotency::Action>(actions.begin(), actions.end())) {
    std::visit([this, now](auto& alternative) { Translate(std::move(alternative), now); }, action);
  }
}

void IdempotencyAdapter::Translate(idempotency::StartRequest&& action, TimePoint now) {
  RequestEvent event = ToEvent(action.work, action.waiter, action.deadline - now);
  event.key_binding = ToKeyBinding(action.placement);
  controller_.Begin(std::move(event), now);
}

void IdempotencyAdapter::Translate(idempotency::StartUnprotected&& action, TimePoint now) {
  controller_.Begin(ToEvent(action.work, action.waiter, action.deadline - now), now);
}

void IdempotencyAdapter::Translate(idempotency::CompleteRequest&& action, TimePoint) {
  actions_.emplace_back(CompleteRequest{action.waiter, std::move(action.value)});
}

void IdempotencyAdapter::Translate(idempotency::RejectWithRetryAfter&& action, TimePoint) {
  Duration retry_after = settings_.retry_after ? action.retry_after : Duration(0);
  if (settings_.max_retry_after.count() > 0) retry_after = std::min(retry_after, settings_.max_retry_after);
  actions_.emplace_back(RejectWithRetryAfter{action.waiter, retry_after});
}

void IdempotencyAdapter::Translate(idempotency::FailRequest&& action, TimePoint) {
  actions_.emplace_back(FailRequest{action.waiter, ToReason(action.reason)});
}

void IdempotencyAdapter::Translate(idempotency::ReleaseRequest&& action, TimePoint) {
  actions_.emplace_back(ReleaseRequest{action.waiter});
}

void IdempotencyAdapter::Translate(idempotency::SendDatagram&& action, TimePoint) {
  actions_.emplace_back(SendDatagram{action.rank, std::move(action.bytes)});
}

}  // namespace postspread::planner
