#include "planner/planner.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace postspread::planner {
namespace {

// Of a sender's patience: what the way in has taken and the way back will take, across halls. Guards against
// a final answer that leaves in time and arrives when the sender has given up.
constexpr std::chrono::milliseconds kOnTheWay{10};

Outcome ToOutcome(AttemptResult result) {
  switch (result) {
    case AttemptResult::kServed:
      return Outcome::kOk;
    case AttemptResult::kError:
      return Outcome::kError;
    case AttemptResult::kTurnedAway:
      return Outcome::kFull;
    case AttemptResult::kTimedOut:
      return Outcome::kTimeout;
    case AttemptResult::kCouldNotConnect:
      return Outcome::kConnectFailed;
    case AttemptResult::kReset:
      return Outcome::kReset;
    case AttemptResult::kAbandoned:
      return Outcome::kCancelled;
  }
  return Outcome::kReset;
}

postspread::CounterResult ToResult(CounterResult result) {
  switch (result) {
    case CounterResult::kAdded:
      return postspread::CounterResult::kOk;
    case CounterResult::kTurnedAway:
      return postspread::CounterResult::kRefused;
    case CounterResult::kUnreachable:
      return postspread::CounterResult::kUnreachable;
    case CounterResult::kNoAnswer:
      return postspread::CounterResult::kTimeout;
  }
  return postspread::CounterResult::kTimeout;
}

ServerState ToState(HopState state) {
  switch (state) {
    case HopState::kReady:
      return ServerState::kUp;
    case HopState::kDraining:
      return ServerState::kDraining;
    case HopState::kGone:
      return ServerState::kGone;
  }
  return ServerState::kGone;
}

LoadReport ToLoad(const Load& load) {
  return LoadReport{.outstanding = load.outstanding,
                    .queue = load.queue,
                    .utilization = load.utilization,
                    .latency_ms = load.latency_ms,
                    .per_second = load.per_second,
                    .errors_per_second = load.errors_per_second};
}

}  // namespace

Planner::Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now)
    : wall_(wall), start_(now), last_(wall), controller_(std::move(settings), seed, wall) {}

TimePoint Planner::At(Clock::time_point now) {
  last_ = std::max(last_, wall_ + std::chrono::duration_cast<std::chrono::microseconds>(now - start_));
  return last_;
}

void Planner::Handle(const Event& event, TimePoint now) {
  actions_.clear();
  controller_.Handle(event, now, actions_);
  for (Action& action : actions_) {
    std::visit([this, now](auto& a) { Take(std::move(a), now); }, action);
  }
}

Planner::Picked Planner::Pick(const Envelope& envelope, Clock::time_point now) {
  steps_.clear();
  const EnvelopeNumber number = next_number_++;
  open_.emplace(number, 0);
  RequestEvent event;
  event.id = number;
  event.class_name = envelope.class_name;
  event.plan = envelope.plan;
  event.customer = envelope.customer;
  event.time_left = std::max(std::chrono::milliseconds(1), envelope.patience - kOnTheWay);
  event.units = envelope.units;
  event.spread = envelope.spread;
  event.first_gateway = envelope.first;
  event.retry = envelope.is_retry;
  event.write = envelope.is_write;
  Handle(std::move(event), At(now));
  return {number, steps_};
}

Steps Planner::Report(ReportValue report, Clock::time_point now) {
  steps_.clear();
  const TimePoint at = At(now);
  Handle(std::visit([this](auto& r) { return ToEvent(std::move(r)); }, report), at);
  return steps_;
}

Steps Planner::Tick(Clock::time_point now) {
  steps_.clear();
  const TimePoint at = At(now);
  // A timer that is set by a timer waits for the next call, however soon it is due: this call always ends.
  const std::uint64_t known = next_order_;
  while (!timers_.empty() && timers_.top().due <= at && timers_.top().order < known) {
    const TimerEvent event{timers_.top().token};
    timers_.pop();
    Handle(event, at);
  }
  return steps_;
}

std::optional<Clock::time_point> Planner::NextTick() const {
  if (timers_.empty()) return std::nullopt;
  return start_ + (timers_.top().due - wall_);
}

Event Planner::ToEvent(AttemptReport&& report) {
  OutcomeEvent out;
  out.id = report.envelope;
  out.attempt = report.attempt;
  out.server = std::move(report.next_hop);
  out.outcome = ToOutcome(report.result);
  out.elapsed = report.elapsed;
  out.load = ToLoad(report.load);
  if (report.result == AttemptResult::kServed) open_.erase(report.envelope);
  out.final = !open_.contains(report.envelope);
  return out;
}

Event Planner::ToEvent(CounterReport&& report) {
  return CounterEvent{std::move(report.name), ToResult(report.result), report.total, report.elapsed};
}

Event Planner::ToEvent(RosterReport&& report) {
  auto servers = std::make_shared<std::vector<ServerInfo>>();
  servers->reserve(report.next_hops.size());
  for (NextHop& hop : report.next_hops) {
    servers->push_back(ServerInfo{.id = std::move(hop.name),
                                  .zone = std::move(hop.zone),
                                  .kind = std::move(hop.kind),
                                  .cell = hop.cell,
                                  .state = ToState(hop.state),
                                  .weight = hop.weight,
                                  .started = hop.started});
  }
  RosterEvent out;
  out.kind = report.scope == RosterScope::kFull      ? RosterKind::kComplete
             : report.scope == RosterScope::kChanges ? RosterKind::kPartial
                                                     : RosterKind::kPersisted;
  out.version = report.index;
  out.servers = std::move(servers);
  return out;
}

Event Planner::ToEvent(ProbeReport&& report) {
  return ProbeEvent{std::move(report.next_hop), ToOutcome(report.result), report.elapsed,
                    ToLoad(report.load)};
}

Event Planner::ToEvent(SenderGone&& report) {
  open_.erase(report.envelope);
  return ClientGoneEvent{report.envelope};
}

void Planner::Take(postspread::Send&& action, TimePoint) {
  const auto found = open_.find(action.id);
  const int attempt = found == open_.end() ? 0 : found->second++;
  steps_.emplace_back(Deliver{action.id, attempt, std::move(action.server), action.timeout});
}

void Planner::Take(postspread::Refuse&& action, TimePoint) {
  open_.erase(action.id);
  steps_.emplace_back(Defer{action.id, action.retry_after});
}

void Planner::Take(postspread::Fail&& action, TimePoint) {
  open_.erase(action.id);
  steps_.emplace_back(planner::Fail{action.id});
}

void Planner::Take(postspread::Cancel&& action, TimePoint) {
  steps_.emplace_back(Abandon{action.id, action.attempt});
}

void Planner::Take(postspread::SetTimer&& action, TimePoint now) {
  timers_.push(Timer{now + std::max(Duration(0), action.after), next_order_++, action.token});
}

void Planner::Take(postspread::CounterAdd&& action, TimePoint) {
  steps_.emplace_back(AskCounter{std::move(action.name), action.amount, action.ttl});
}

void Planner::Take(postspread::Probe&& action, TimePoint) {
  steps_.emplace_back(ProbeHop{std::move(action.server)});
}

void Planner::Take(postspread::Subscribe&&, TimePoint) {}  // the watch runs from the start in any case

void Planner::Take(postspread::Log&& action, TimePoint) { steps_.emplace_back(Note{std::move(action.line)}); }

}  // namespace postspread::planner
