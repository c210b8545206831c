#include "planner/planner.h"

#include <algorithm>
#include <variant>

#include "planner/class_slots.h"
#include "planner/event_translation.h"

namespace postspread::planner {

Planner::Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now,
                 const PlannerOptions& options)
    : wall_start_(wall),
      steady_start_(now),
      latest_time_(wall),
      settings_(std::move(settings)),
      usage_(MakeUsageAdapter(options, seed)),
      controller_(settings_, seed, wall, usage_ ? &*usage_ : nullptr, *this, actions_) {
  if (options.subsetting.subsets) subsetting_.emplace(options.subsetting, settings_, upstreams_);
  if (options.membership.enabled) {
    membership_.emplace(options, seed, wall, actions_, [this] { OnViewChanged(); });
  }
  if (options.idempotency.enabled) {
    idempotency_.emplace(options, settings_, wall, upstreams_, controller_, actions_);
  }
}

std::optional<UsageAdapter> Planner::MakeUsageAdapter(const PlannerOptions& options, std::uint64_t seed) {
  if (!options.usage.broadcast || !options.has_peers || !settings_.can_message_peers) return std::nullopt;
  const usage::UsageOptions usage{settings_.group_size, settings_.peer_messages_per_second, seed};
  return UsageAdapter(usage, wall_start_, actions_);
}

bool Planner::Reconfigure(Settings settings) {
  const bool same_plans =
      std::equal(settings.plans.begin(), settings.plans.end(), settings_.plans.begin(), settings_.plans.end(),
                 [](const PlanSettings& left, const PlanSettings& right) { return left.name == right.name; });
  if (!same_plans) settings.plans = settings_.plans;
  settings.classes = MergeClassSlots(std::move(settings_.classes), std::move(settings.classes));
  settings_ = std::move(settings);
  controller_.Reconfigure();
  return !same_plans;
}

void Planner::SetLimits(const idempotency::Limits& idempotency, const membership::Limits& membership) {
  if (idempotency_) idempotency_->SetLimits(idempotency);
  if (membership_) membership_->SetLimits(membership);
}

TimePoint Planner::ToPlannerTime(Clock::time_point now) {
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - steady_start_);
  latest_time_ = std::max(latest_time_, wall_start_ + elapsed);
  return latest_time_;
}

Planner::PickResult Planner::Pick(const Request& request, Clock::time_point now) {
  actions_.clear();
  const TimePoint at = ToPlannerTime(now);
  const RequestId id = next_request_++;
  if (!idempotency_ || !idempotency_->Begin(request, id, at)) {
    controller_.Begin(ToEvent(request, id), at);
  }
  return {id, actions_};
}

Actions Planner::Leave(Clock::time_point now) {
  actions_.clear();
  if (membership_) membership_->Leave(ToPlannerTime(now));
  return actions_;
}

Actions Planner::Report(ReportValue report, Clock::time_point now) {
  actions_.clear();
  const TimePoint at = ToPlannerTime(now);
  std::visit([this, at](auto& alternative) { On(std::move(alternative), at); }, report);
  return actions_;
}

Actions Planner::Tick(Clock::time_point now) {
  actions_.clear();
  const TimePoint at = ToPlannerTime(now);
  controller_.RunTimers(at);
  FinishWork(at);
  if (usage_) usage_->Tick(at);
  if (idempotency_) idempotency_->Tick(at);
  if (membership_) membership_->Tick(at);
  return actions_;
}

std::optional<Clock::time_point> Planner::NextTick() {
  std::optional<TimePoint> next = controller_.NextTimer();
  const auto consider = [&next](std::optional<TimePoint> candidate) {
    if (candidate && (!next || *candidate < *next)) next = candidate;
  };
  if (idempotency_) consider(idempotency_->NextTick());
  if (usage_) consider(usage_->NextTick());
  if (membership_) consider(membership_->NextTick());
  if (!next) return std::nullopt;
  return steady_start_ + (*next - wall_start_);
}

void Planner::On(AttemptReport&& report, TimePoint now) {
  if (report.result == AttemptResult::kSucceeded && NeedsResponseValue(report.request)) {
    idempotency_->OnSucceeded(report.request, std::move(report.value));
  }
  controller_.On(std::move(report), now);
  FinishWork(now);
}

void Planner::On(CounterReport&& report, TimePoint now) {
  controller_.On(std::move(report), now);
  FinishWork(now);
}

void Planner::On(EndpointListReport&& report, TimePoint now) {
  start_times_.Apply(report, now);
  if (idempotency_ || subsetting_) upstreams_.Apply(report);
  if (subsetting_) subsetting_->Apply(RingPosition(), report);
  if (idempotency_) idempotency_->OnUpstreamsChanged(now);
  controller_.On(std::move(report), now);
  FinishWork(now);
}

void Planner::On(HealthCheckReport&& report, TimePoint now) {
  controller_.On(std::move(report), now);
  FinishWork(now);
}

void Planner::On(ClientDisconnected&& report, TimePoint now) {
  if (OutlivesClient(report.request)) {
    idempotency_->OnClientDisconnect(report.request, now);
  } else {
    controller_.On(report, now);
  }
  FinishWork(now);
}

// Each subsystem recognizes its own datagrams.
void Planner::On(PeerReport&& report, TimePoint now) {
  if (usage_ && usage_->HandleDatagram(report.bytes, now)) return;
  const auto peer = static_cast<membership::PeerId>(report.rank);
  if (membership_ && membership_->HandleDatagram(peer, report.bytes, now)) return;
  if (idempotency_) idempotency_->HandleDatagram(report.rank, report.bytes, now);
  FinishWork(now);
}

void Planner::On(MembershipReport&& report, TimePoint now) {
  if (membership_) membership_->HandleDatagram(report.peer, report.bytes, now);
}

void Planner::FinishWork(TimePoint now) {
  if (idempotency_) idempotency_->FinishWork(now);
}

bool Planner::InterceptRejection(RequestId request, Duration retry_after) {
  if (!NeedsResponseValue(request)) return false;
  idempotency_->OnRejected(request, retry_after);
  return true;
}

bool Planner::InterceptFailure(RequestId request) {
  if (!NeedsResponseValue(request)) return false;
  idempotency_->OnFailed(request);
  return true;
}

// Uses membership if it is enabled, and otherwise the rank and the group size of the settings.
subsetting::RingPosition Planner::RingPosition() const {
  if (membership_) return membership_->RingPosition();
  return {static_cast<std::size_t>(settings_.rank), static_cast<std::size_t>(settings_.group_size)};
}

void Planner::OnViewChanged() {
  if (subsetting_) {
    EndpointListReport changes = subsetting_->Reselect(RingPosition());
    if (!changes.upstreams.empty()) controller_.On(std::move(changes), latest_time_);
  }
  // The ranks of members are unknown if membership identifies them by address.
  if (membership_->membership().by_address()) return;
  if (usage_) usage_->SetGroup(membership_->LiveCount());
  if (idempotency_) idempotency_->OnMembershipView(membership_->membership().view());
}

}  // namespace postspread::planner
