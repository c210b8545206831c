#include "membership/failure_detector.h"

#include <algorithm>
#include <iterator>

namespace postspread::membership {
namespace {

constexpr int kIndirectProbeTicks = 2;  // Indirect probes are sent after this time without a reply.
constexpr int kProbeTimeoutTicks = 4;
constexpr std::size_t kIndirectProbes = 3;
// For kAlertPeriods after a suspicion each period has this many probes, since faults tend to be correlated.
constexpr std::size_t kAlertProbes = 3;
constexpr int kAlertPeriods = 3;
constexpr int kConfirmationIntervalTicks = 1;
// A death needs this many confirmation probes that were sent: some may have been throttled by the budget.
constexpr int kMinConfirmations = 5;
// This bound prevents many suspects from exhausting the send budget.
constexpr std::size_t kConfirmationsPerTick = 2;
// Each flap beyond these doubles the suspicion timeout.
constexpr int kToleratedFlaps = 2;

}  // namespace

FailureDetector::FailureDetector(Context& context, MemberTable& table, Requests& requests,
                                 UpdateMerger& merger, LocalHealth& health, EventLog& events)
    : context_(context),
      table_(table),
      requests_(requests),
      merger_(merger),
      health_(health),
      events_(events) {}

void FailureDetector::StartPeriod(TimePoint now) {
  for (const MemberRecord* target : NextTargets(now)) {
    if (requests_.Ping(Purpose::kProbe, *target, now)) probes_.push_back({target->name, now});
  }
  alert_periods_ = std::max(alert_periods_ - 1, 0);
}

// Returns the members that follow the local one in an order that each member derives from the period's
// number. If all views are equal, exactly one member probes each member.
std::vector<MemberRecord*> FailureDetector::NextTargets(TimePoint now) {
  struct Candidate {
    std::uint64_t distance = 0;  // The order is circular and starts at the local member.
    MemberRecord* record = nullptr;
  };
  const auto period = static_cast<std::uint64_t>(now / context_.Period());
  const std::uint64_t own = ProbePosition(period, table_.self().digest);
  std::vector<Candidate> order;
  for (MemberRecord* record : table_.Live()) {
    if (record->suspicion.active) continue;
    order.push_back({ProbePosition(period, record->digest) - own, record});
  }
  const std::size_t count = std::min(order.size(), alert_periods_ > 0 ? kAlertProbes : 1);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                    [](const Candidate& a, const Candidate& b) { return a.distance < b.distance; });
  std::vector<MemberRecord*> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(order[i].record);
  return out;
}

void FailureDetector::CheckProbes(TimePoint now) {
  for (Probe& probe : probes_) {
    MemberRecord* target = table_.Find(probe.name);
    if (target == nullptr || !IsLive(target->update.state) || target->suspicion.active) probe.finished = true;
    if (!probe.finished) Advance(probe, *target, now);
  }
  std::erase_if(probes_, [](const Probe& probe) { return probe.finished; });
}

// Ticks are not exact, so a deadline counts as reached half a tick early.
void FailureDetector::Advance(Probe& probe, MemberRecord& target, TimePoint now) {
  const Duration tick = context_.TickInterval();
  const Duration elapsed = now - probe.started_at;
  if (elapsed < tick / 2) return;  // The probe was sent in this tick.
  if (elapsed < kProbeTimeoutTicks * tick - tick / 2) {
    // The probe is repeated in each tick, so that one lost datagram does not cause a suspicion.
    requests_.Ping(Purpose::kProbe, target, now);
    if (!probe.indirect && elapsed >= kIndirectProbeTicks * tick - tick / 2) {
      probe.indirect = true;
      requests_.ProbeIndirectly(target, kIndirectProbes, now);
    }
    return;
  }
  probe.finished = true;
  if (!probe.nacked) health_.Degrade();
  Suspect(target, now);
}

void FailureDetector::Suspect(MemberRecord& record, TimePoint now) {
  ++context_.counts.suspicions_raised;
  alert_periods_ = kAlertPeriods;
  record.suspicion.active = true;
  record.suspicion.started_at = now;
  record.suspicion.confirmations = 0;
  record.since = now;
  events_.Add({.name = record.name,
               .incarnation = record.update.incarnation,
               .from = State::kAlive,
               .to = State::kSuspect,
               .by_self = true});
}

void FailureDetector::ConfirmSuspects(TimePoint now) {
  // The timeouts are paused while the lack of replies may be the local member's own fault.
  const bool is_isolated = context_.HasDefense(DisabledDefense::kLocalHealth) && requests_.IsIsolated(now);
  std::size_t sent = 0;
  for (MemberRecord* suspect : Suspects()) {
    if (is_isolated) suspect->suspicion.started_at += context_.TickInterval();
    if (IsConfirmed(*suspect, now)) {
      merger_.DeclareDead(*suspect, now);
    } else if (sent < kConfirmationsPerTick && SendConfirmationProbe(*suspect, now)) {
      ++sent;
    }
  }
}

// Returns the suspects in random order, so that none is starved if there are more than kConfirmationsPerTick.
std::vector<MemberRecord*> FailureDetector::Suspects() {
  std::vector<MemberRecord*> out;
  const std::vector<MemberRecord*>& live = table_.Live();
  std::copy_if(live.begin(), live.end(), std::back_inserter(out),
               [](const MemberRecord* record) { return record->suspicion.active; });
  std::shuffle(out.begin(), out.end(), context_.random);
  return out;
}

bool FailureDetector::IsConfirmed(const MemberRecord& suspect, TimePoint now) const {
  if (now - suspect.suspicion.started_at < SuspicionTimeout(suspect)) return false;
  return suspect.suspicion.confirmations >= kMinConfirmations ||
         !context_.HasDefense(DisabledDefense::kConfirmation);
}

Duration FailureDetector::SuspicionTimeout(const MemberRecord& suspect) const {
  const int flaps = std::max(0, suspect.flaps - kToleratedFlaps);
  return Duration(context_.limits.suspicion) * health_.Multiplier() * (1 << flaps);
}

bool FailureDetector::SendConfirmationProbe(MemberRecord& suspect, TimePoint now) {
  if (!context_.HasDefense(DisabledDefense::kConfirmation)) return false;
  const Duration tick = context_.TickInterval();
  Suspicion& suspicion = suspect.suspicion;
  if (now - suspicion.last_confirmation_at < kConfirmationIntervalTicks * tick - tick / 2) return false;
  suspicion.last_confirmation_at = now;
  if (!requests_.Ping(Purpose::kConfirmation, suspect, now)) return false;
  ++suspicion.confirmations;
  if (suspicion.confirmations % 2 == 0) requests_.ProbeIndirectly(suspect, 1, now);
  return true;
}

void FailureDetector::OnAlive(const Request& request, TimePoint now) {
  if (request.purpose == Purpose::kProbe) health_.Recover();
  for (Probe& probe : probes_) {
    if (probe.name == request.subject) probe.finished = true;
  }
  MemberRecord* record = table_.Find(request.subject);
  if (record == nullptr || !record->suspicion.active) return;
  record->suspicion.active = false;
  record->since = now;
  ++context_.counts.suspicions_refuted;
  events_.Add({.name = record->name,
               .incarnation = record->update.incarnation,
               .from = State::kSuspect,
               .to = State::kAlive,
               .by_self = true});
}

void FailureDetector::OnNack(const Request& request) {
  for (Probe& probe : probes_) {
    if (probe.name == request.subject) probe.nacked = true;
  }
}

void FailureDetector::Postpone(Duration late) {
  for (Probe& probe : probes_) probe.started_at += late;
  for (MemberRecord* record : table_.Live()) record->suspicion.started_at += late;
}

bool FailureDetector::IsIdle() {
  const std::vector<MemberRecord*>& live = table_.Live();
  return probes_.empty() && std::none_of(live.begin(), live.end(),
                                         [](const MemberRecord* record) { return record->suspicion.active; });
}

}  // namespace postspread::membership
