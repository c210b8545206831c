// The Controller dispatches events and drives a request from its arrival over its attempts to its final
// response. The other files of src/policy/ make the individual decisions.
#include <algorithm>
#include <memory>
#include <utility>

#include "policy/admission.h"
#include "policy/decision_context.h"
#include "policy/quota.h"
#include "policy/retry.h"
#include "policy/timer_token.h"
#include "policy/upstream_selector.h"
#include "policy/upstream_set.h"
#include "postspread/control.h"
#include "statistics/float_seconds.h"
#include "statistics/latency_statistics.h"
#include "statistics/load_statistics.h"
#include "statistics/traffic_mix.h"

namespace postspread {
namespace {

using namespace policy;

constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(100);
// The time between two selections for a request while no upstream is available.
constexpr Duration kSelectAgainDelay = std::chrono::milliseconds(20);
constexpr Duration kResubscribeDelay = std::chrono::seconds(1);
constexpr double kRetryAfterJitter = 1;  // clients that are rejected together must not retry together

}  // namespace

class Controller::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, TimePoint now);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);
  void Reconfigure(Settings next);
  [[nodiscard]] UpstreamCounts Count(TimePoint now) const { return upstreams_.Count(now); }
  [[nodiscard]] std::size_t CountCustomers() const { return quota_.CountCustomers(); }
  [[nodiscard]] bool NeedsTimer(std::uint64_t token) const {
    const RequestId request = TimerRequestOf(token);
    return request == 0 || context_.HasRequest(request);
  }

 private:
  // ---- Events ----
  void OnEvent(const EndpointListEvent& event);
  void OnEvent(const RequestEvent& event);
  void OnEvent(const OutcomeEvent& event);
  void OnEvent(const StreamStartedEvent& event);
  void OnEvent(const ClientDisconnectedEvent& event);
  void OnEvent(const TimerEvent& event);
  void OnEvent(const CounterEvent& event);
  void OnEvent(const ProbeEvent& /*event*/) {}        // the Controller sends no health checks
  void OnEvent(const PeerMessageEvent& /*event*/) {}  // the Controller sends no messages to peers

  void Start();
  void RunMaintenance();
  RequestState& AddRequest(const RequestEvent& event);
  void OnRequestTimer(RequestState& request, TimerKind kind);
  void OnObjectivePassed(RequestState& request);
  void OnStuckTimeout(RequestState& request);

  // ---- Steps of a request. Each step may end the request, which invalidates the reference. ----
  void Execute(RequestState& request, const AdmissionDecision& decision);
  void StartAttempt(RequestState& request);
  void RejectRequest(RequestState& request, Duration retry_after);
  // Ends a request that no further attempt can serve: rejects it if the client may safely retry, else fails
  // it.
  void FinishWithoutResponse(RequestState& request);
  // Marks the request as finished, cancels its open attempts, and removes it once none is open.
  void Finish(RequestState& request);
  [[nodiscard]] Duration JitteredRetryAfter(Duration retry_after);

  DecisionContext context_;
  statistics::TrafficMix traffic_;
  statistics::LatencyStatistics latency_;
  statistics::LoadStatistics load_;
  AdmissionControl admission_{context_, traffic_, latency_, load_};
  UpstreamSet upstreams_{context_};
  UpstreamSelector selector_{context_, upstreams_, load_};
  RetryPolicy retries_{context_, admission_, upstreams_, latency_};
  Quota quota_{context_, admission_, latency_};
  bool started_ = false;
  bool clients_mark_retries_ = false;  // at least one client has marked a request as a retry
};

Controller::Impl::Impl(Settings settings, std::uint64_t seed, TimePoint now)
    : context_(seed, now), load_(now) {
  Reconfigure(std::move(settings));
}

void Controller::Impl::Reconfigure(Settings next) {
  const Settings previous = context_.Reconfigure(std::move(next));
  const std::vector<ClassSettings>& classes = context_.settings().classes;
  traffic_.Resize(classes.size(), context_.settings().plans.size());
  latency_.Resize(classes.size());
  // An index whose class has another name now starts without statistics.
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (i < previous.classes.size() && previous.classes[i].name == classes[i].name) continue;
    traffic_.ForgetClass(i);
    latency_.ForgetClass(i);
  }
}

void Controller::Impl::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  if (context_.BeginEvent(now, actions) == DecisionContext::EventGap::kStalled) load_.OnStall(now);
  if (!started_) Start();
  std::visit([this](const auto& typed_event) { OnEvent(typed_event); }, event);
  context_.EndEvent();
}

void Controller::Impl::Start() {
  started_ = true;
  context_.Emit(SetTimer{kMaintenanceInterval, TimerToken(TimerKind::kMaintenance, 0)});
  if (context_.settings().discovery_mode == DiscoveryMode::kSubscribe) context_.Emit(Subscribe{});
}

void Controller::Impl::RunMaintenance() {
  context_.Emit(SetTimer{kMaintenanceInterval, TimerToken(TimerKind::kMaintenance, 0)});
  admission_.RunMaintenance();
  upstreams_.RunMaintenance();
  quota_.RunMaintenance();
}

// ---- Arrival and admission ----

void Controller::Impl::OnEvent(const RequestEvent& event) {
  RequestState& request = AddRequest(event);
  clients_mark_retries_ |= event.retry;
  const Duration until_final_response = std::max(Duration(0), event.time_left - context_.settings().tick);
  context_.Emit(SetTimer{until_final_response, TimerToken(TimerKind::kFinalResponse, request.id)});
  retries_.OnRequest();
  if (admission_.ShouldShed(request)) return RejectRequest(request, admission_.RetryAfter());
  Execute(request, quota_.OnRequest(request, event));
}

RequestState& Controller::Impl::AddRequest(const RequestEvent& event) {
  const Settings& settings = context_.settings();
  RequestState& request = context_.AddRequest(event.id);
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    if (settings.classes[i].name != event.class_name) continue;
    request.class_index = static_cast<int>(i);
    request.class_settings = context_.ClassAt(i);
  }
  for (std::size_t i = 0; i < settings.plans.size(); ++i) {
    if (settings.plans[i].name == event.plan) request.plan_index = static_cast<int>(i);
  }
  request.max_attempts = settings.max_attempts;
  request.customer = event.customer;
  request.units = std::max(0.0, event.units);
  request.is_client_retry = event.retry;
  request.key_binding = event.key_binding;
  if (request.key_binding) {
    request.key_expiry = context_.now() - request.key_binding->age + request.Class().key_ttl;
  }
  request.deadline = context_.now() + event.time_left;
  request.objective_at = context_.now() + std::min(request.Class().latency_objective, event.time_left);
  return request;
}

void Controller::Impl::OnEvent(const CounterEvent& event) {
  const Quota::ReplyDecision reply = quota_.OnCounterReply(event);
  if (reply.request != nullptr) Execute(*reply.request, reply.decision);
}

void Controller::Impl::Execute(RequestState& request, const AdmissionDecision& decision) {
  switch (decision.kind) {
    case AdmissionDecision::Kind::kPending:
      return;
    case AdmissionDecision::Kind::kSend:
      request.stage = RequestStage::kReadyToSend;
      return StartAttempt(request);
    case AdmissionDecision::Kind::kDelay:
      request.stage = RequestStage::kDelayed;
      return context_.Emit(
          SetTimer{decision.delayed_until - context_.now(), TimerToken(TimerKind::kDelayOver, request.id)});
    case AdmissionDecision::Kind::kReject:
      return RejectRequest(request, decision.retry_after);
  }
}

// ---- Attempts ----

void Controller::Impl::StartAttempt(RequestState& request) {
  const TimePoint now = context_.now();
  if (std::ssize(request.attempts) >= request.max_attempts || now >= request.deadline) {
    return FinishWithoutResponse(request);
  }
  Upstream* upstream = selector_.Select(request);
  if (upstream == nullptr) {
    // Only upstreams in slow start are left, and the request would overload them.
    if (!upstreams_.available().empty()) return FinishWithoutResponse(request);
    return context_.Emit(SetTimer{kSelectAgainDelay, TimerToken(TimerKind::kSelectAgain, request.id)});
  }
  selector_.OnAttemptStarted(*upstream);
  load_.OnAttemptStarted(now);
  quota_.OnAttemptStarted(request);
  request.stage = RequestStage::kInFlight;
  const EndpointInfo& info = upstream->info;
  request.attempts.push_back(
      Attempt{.target = {.upstream = info.id, .zone = info.zone, .cell = info.cell, .started = info.started},
              .sent = now});
  context_.Emit(Send{request.id, info.id, request.deadline - now, request.RetryableUntil() - now});
  context_.Emit(SetTimer{retries_.StuckTimeout(request), TimerToken(TimerKind::kStuckAttempt, request.id)});
  context_.Emit(
      SetTimer{request.Class().latency_objective, TimerToken(TimerKind::kObjectivePassed, request.id)});
}

void Controller::Impl::OnEvent(const OutcomeEvent& event) {
  RequestState* request = context_.FindRequest(event.id);
  const auto index = static_cast<std::size_t>(std::max(0, event.attempt));
  const bool is_known = request != nullptr && index < request->attempts.size();
  selector_.OnAttemptFinished(event, is_known ? &request->attempts[index] : nullptr);
  if (!is_known || !request->attempts[index].open) return;
  Attempt& attempt = request->attempts[index];
  attempt.open = false;
  attempt.may_have_run = event.outcome != Outcome::kRejected && event.outcome != Outcome::kConnectFailed &&
                         event.outcome != Outcome::kNotSent;
  admission_.RemoveFromLoadStatistics(*request, attempt,
                                      attempt.may_have_run ? AttemptEnd::kResponded : AttemptEnd::kNeverRan);
  const bool good = event.outcome == Outcome::kOk;
  if (good && request->class_index >= 0) {
    latency_.Record(static_cast<std::size_t>(request->class_index), FloatSeconds(event.elapsed),
                    admission_.shed_fraction() > 0 ? statistics::ServiceCondition::kOverloaded
                                                   : statistics::ServiceCondition::kNormal);
  }
  quota_.OnAttemptFinished(*request, good ? event.true_units : 0);
  if (request->stage == RequestStage::kFinished || good || event.final) return Finish(*request);
  if (request->HasOpenAttempt()) return;
  if (!retries_.MayRetry(*request, event.outcome)) return FinishWithoutResponse(*request);
  request->stage = RequestStage::kReadyToSend;
  StartAttempt(*request);
}

void Controller::Impl::OnEvent(const StreamStartedEvent& event) {
  // The response is being forwarded to the client, so no other response can follow.
  if (RequestState* request = context_.FindRequest(event.id)) request->stage = RequestStage::kFinished;
}

void Controller::Impl::OnStuckTimeout(RequestState& request) {
  switch (retries_.OnStuckTimeout(request)) {
    case StuckAction::kWait:
      return;
    case StuckAction::kHedge:
      return StartAttempt(request);
    case StuckAction::kCancelAndRetry:
      request.retries_after_cancel = true;
      return context_.Emit(Cancel{request.id, static_cast<int>(request.attempts.size()) - 1});
  }
}

// ---- The final response ----

void Controller::Impl::RejectRequest(RequestState& request, Duration retry_after) {
  context_.Emit(Reject{request.id, JitteredRetryAfter(retry_after)});
  Finish(request);
}

Duration Controller::Impl::JitteredRetryAfter(Duration retry_after) {
  const Settings& settings = context_.settings();
  const double random = context_.Random();
  if (!settings.retry_after) return Duration(0);
  const Duration jittered = ToDuration(FloatSeconds(retry_after) * (1 + kRetryAfterJitter * random));
  if (settings.max_retry_after.count() <= 0) return jittered;
  const Duration longest =
      ToDuration(FloatSeconds(settings.max_retry_after) * (1 - kRetryAfterJitter / 4 * random));
  return std::min(jittered, longest);
}

void Controller::Impl::FinishWithoutResponse(RequestState& request) {
  if (request.stage == RequestStage::kFinished) return;
  if (request.IsSafeToRetry()) {
    // A fault at the upstreams mostly passes within a typical latency.
    const Duration typical = ToDuration(latency_.RecentMean(request.class_index));
    return RejectRequest(request, std::max(context_.settings().tick, typical));
  }
  context_.Emit(Fail{request.id});
  Finish(request);
}

void Controller::Impl::Finish(RequestState& request) {
  if (request.stage != RequestStage::kFinished) {
    const bool admitted =
        request.stage == RequestStage::kDelayed || request.stage == RequestStage::kReadyToSend;
    if (admitted && request.attempts.empty()) quota_.RefundUnsent(request);
    request.stage = RequestStage::kFinished;
    for (std::size_t i = 0; i < request.attempts.size() && context_.settings().can_cancel; ++i) {
      if (request.attempts[i].open) context_.Emit(Cancel{request.id, static_cast<int>(i)});
    }
  }
  if (!request.HasOpenAttempt()) context_.RemoveRequest(request.id);
}

void Controller::Impl::OnEvent(const ClientDisconnectedEvent& event) {
  if (RequestState* request = context_.FindRequest(event.id)) Finish(*request);
}

// ---- Timers and endpoint lists ----

void Controller::Impl::OnEvent(const TimerEvent& event) {
  const TimerKind kind = TimerKindOf(event.token);
  if (kind == TimerKind::kMaintenance) return RunMaintenance();
  if (kind == TimerKind::kResubscribe) return context_.Emit(Subscribe{});
  RequestState* request = context_.FindRequest(TimerRequestOf(event.token));
  if (request == nullptr) return;
  if (kind == TimerKind::kObjectivePassed) return OnObjectivePassed(*request);
  if (request->stage != RequestStage::kFinished) OnRequestTimer(*request, kind);
}

void Controller::Impl::OnObjectivePassed(RequestState& request) {
  const Duration objective = request.Class().latency_objective;
  for (Attempt& attempt : request.attempts) {
    if (context_.now() - attempt.sent < objective) continue;
    admission_.RemoveFromLoadStatistics(request, attempt, AttemptEnd::kResponded);
  }
  // Under overload a late request is ended to free capacity, but only if clients mark retries: an unmarked
  // retry would double the work.
  if (clients_mark_retries_ && request.stage == RequestStage::kInFlight &&
      admission_.Pressure(request.Class()) > kHighPressure) {
    FinishWithoutResponse(request);
  }
}

void Controller::Impl::OnRequestTimer(RequestState& request, TimerKind kind) {
  switch (kind) {
    case TimerKind::kFinalResponse:
      return FinishWithoutResponse(request);
    case TimerKind::kCounterTimeout:
      if (request.stage != RequestStage::kAwaitingCounter) return;
      return Execute(request, quota_.OnCounterTimeout(request));
    case TimerKind::kDelayOver:
      if (request.stage != RequestStage::kDelayed) return;
      return Execute(request, quota_.ReleaseDelayed(request));
    case TimerKind::kStuckAttempt:
      return OnStuckTimeout(request);
    case TimerKind::kSelectAgain:
      if (request.stage == RequestStage::kReadyToSend) StartAttempt(request);
      return;
    case TimerKind::kMaintenance:
    case TimerKind::kObjectivePassed:
    case TimerKind::kResubscribe:
      return;  // OnEvent has handled these
  }
}

void Controller::Impl::OnEvent(const EndpointListEvent& event) {
  const bool subscribes = context_.settings().discovery_mode == DiscoveryMode::kSubscribe;
  if (event.kind == EndpointListKind::kError && subscribes) {
    context_.Emit(SetTimer{kResubscribeDelay, TimerToken(TimerKind::kResubscribe, 0)});
  }
  if (event.upstreams != nullptr) upstreams_.OnEndpointList(event);
}

// ---- The public class ----

Controller::Controller(Settings settings, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  impl_->Handle(event, now, actions);
}
void Controller::Reconfigure(Settings settings) { impl_->Reconfigure(std::move(settings)); }
Controller::UpstreamCounts Controller::Count(TimePoint now) const { return impl_->Count(now); }

std::size_t Controller::CountCustomers() const { return impl_->CountCustomers(); }

bool Controller::NeedsTimer(std::uint64_t token) const { return impl_->NeedsTimer(token); }

}  // namespace postspread
