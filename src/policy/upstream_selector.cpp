#include "policy/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace postspread::policy {
namespace {

constexpr double kCostJitter = 0.3;  // of a server's cost, so that gateways don't all choose the same
constexpr std::size_t kMaxCandidates = 12;
constexpr double kGoldenRatio = 0.6180339887;  // its multiples, modulo 1, lie evenly however many there are
constexpr double kZoneCrossFactor = 25;  // of the crossing price: a price of 0.02 makes half as dear again
constexpr double kUnansweredOfObjective =
    0.5;  // of the longest objective: a cancelled attempt this old is a failure
constexpr double kMinServerWeight = 0.01;
constexpr double kMinTotalWeight = 1e-3;

bool WasSentTo(const RequestState& request, const Upstream& upstream) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [&upstream](const Attempt& attempt) { return attempt.server == upstream.info.id; });
}

bool IsOwnEnding(Outcome outcome) { return outcome == Outcome::kCancelled || outcome == Outcome::kNotSent; }

}  // namespace

Upstream* UpstreamSelector::Select(const RequestState& request) {
  const auto& available = upstreams_.available();
  if (available.empty()) return nullptr;
  Upstream& drawn =
      *available[static_cast<std::size_t>(context_.Random() * static_cast<double>(available.size()))];
  if (TakesSlowStartTraffic(request, drawn)) return &drawn;
  Upstream* preferred = SelectCheapest(request, drawn, Candidates::kPreferred);
  return preferred != nullptr ? preferred : SelectCheapest(request, drawn, Candidates::kAny);
}

bool UpstreamSelector::TakesSlowStartTraffic(const RequestState& request, const Upstream& drawn) {
  // Where most are in slow start each gets more than its fraction, up to half of what overloads it.
  const double boost = std::clamp(static_cast<double>(upstreams_.available().size()) /
                                      std::max(kMinTotalWeight, upstreams_.total_weight()),
                                  1.0, std::max(1.0, context_.settings().overload_multiple / 2));
  const double weight = Weight(drawn, SlowStartCause::kStartOrEjection);
  return weight < 1 && MaySend(request, drawn) && !drawn.IsEjected(context_.now()) &&
         !WasSentTo(request, drawn) && context_.Random() < weight * boost;
}

Upstream* UpstreamSelector::SelectCheapest(const RequestState& request, Upstream& drawn,
                                           Candidates candidates) {
  const auto& available = upstreams_.available();
  const std::size_t count = available.size();
  // A gateway that hears a server less than once a second keeps to its own few, by its rank, and the one
  // drawn: spread over all it would have to meet each bad server to leave it.
  const bool hears_little =
      load_.recent_answers() < statistics::kTrafficMemory.count() * static_cast<double>(count);
  const double offset =
      hears_little ? std::fmod(context_.settings().rank * kGoldenRatio, 1.0) : context_.Random();
  const auto first = static_cast<std::size_t>(offset * static_cast<double>(count));
  Upstream* best = nullptr;
  double best_cost = 0;
  std::size_t compared = 0;
  for (std::size_t i = 0; i <= count && compared < kMaxCandidates; ++i) {
    Upstream& upstream = i == 0 ? drawn : *available[(first + i) % count];
    if (!IsCandidate(request, upstream, candidates)) continue;
    ++compared;
    const double cost = Cost(upstream) * (1 + kCostJitter * context_.Random());
    if (best == nullptr || cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  return best;
}

bool UpstreamSelector::IsCandidate(const RequestState& request, const Upstream& upstream,
                                   Candidates candidates) const {
  if (!MaySend(request, upstream)) return false;
  if (candidates == Candidates::kAny) return Weight(upstream, SlowStartCause::kStart) >= 1;
  return Weight(upstream, SlowStartCause::kStartOrEjection) >= 1 && !upstream.IsEjected(context_.now()) &&
         !WasSentTo(request, upstream);
}

bool UpstreamSelector::MaySend(const RequestState& request, const Upstream& upstream) const {
  const ClassSettings& rules = request.Class();
  if (context_.now() >= request.RepeatableUntil()) return false;
  const auto in_scope = [&](const std::string& zone, std::int64_t cell) {
    if (rules.scope == KeyScope::kZone) return upstream.info.zone == zone;
    if (rules.scope == KeyScope::kCell) return upstream.info.cell == cell;
    return true;
  };
  if (request.key_pin && request.key_pin->bound && !in_scope(request.key_pin->zone, request.key_pin->cell)) {
    return false;
  }
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || rules.retry_safety == RetrySafety::kIdempotent) continue;
    if (rules.retry_safety == RetrySafety::kNotIdempotent) return false;
    const Upstream* before = std::as_const(upstreams_).Find(attempt.server);
    if (before == nullptr || !in_scope(before->info.zone, before->info.cell)) return false;
  }
  return true;
}

double UpstreamSelector::Weight(const Upstream& upstream, SlowStartCause cause) const {
  return SlowStartWeight(context_.settings(), upstream, cause, context_.now());
}

double UpstreamSelector::Cost(const Upstream& upstream) const {
  double cost = estimates_.Latency(upstream).count() * (estimates_.InFlight(upstream) + 1) /
                std::max(kMinServerWeight, upstream.info.weight);
  if (upstream.info.zone != context_.settings().zone) {
    cost *= 1 + kZoneCrossFactor * context_.settings().zone_cross_price;
  }
  const FloatSeconds usual = estimates_.ZoneLatency(upstream.info.zone);
  const FloatSeconds unanswered(upstream.in_flight > 0 ? context_.now() - upstream.waiting_since
                                                       : Duration(0));
  if (unanswered > kStuckLatencies * usual) cost *= 1 + unanswered / usual;
  return cost;
}

void UpstreamSelector::OnAttemptStarted(Upstream& upstream) const {
  if (upstream.in_flight == 0) upstream.waiting_since = context_.now();
  ++upstream.in_flight;
}

void UpstreamSelector::OnAttemptFinished(const OutcomeEvent& event) {
  Upstream* upstream = upstreams_.Find(event.server);
  if (upstream == nullptr) return;
  upstream->in_flight = std::max(0, upstream->in_flight - 1);
  const bool good = event.outcome == Outcome::kOk;
  if (good || event.outcome == Outcome::kError || event.outcome == Outcome::kRejected) {
    upstream->last_answer = context_.now();
    upstream->waiting_since = context_.now();
  }
  const bool too_late = IsUnansweredTooLong(*upstream, event);
  estimates_.RecordReport(*upstream, event.load);
  if (!IsOwnEnding(event.outcome) && !context_.JustStalled()) {
    estimates_.RecordZoneLatency(upstream->info.zone,
                                 FloatSeconds(good ? event.elapsed : context_.longest_objective()));
  }
  if (good || too_late) estimates_.RecordLatency(*upstream, event.elapsed);
  if (good) {
    outliers_.OnSuccess(*upstream);
  } else if (too_late || !IsOwnEnding(event.outcome)) {
    outliers_.OnFailure(*upstream);
  }
}

// Without it a server that works but answers too late to be heard would look like a usual one, since the
// attempt ends by this gateway's own doing.
bool UpstreamSelector::IsUnansweredTooLong(const Upstream& upstream, const OutcomeEvent& event) const {
  if (event.outcome != Outcome::kCancelled && event.outcome != Outcome::kTimeout) return false;
  return !context_.JustStalled() && upstream.last_answer < context_.now() - event.elapsed &&
         FloatSeconds(event.elapsed) > kUnansweredOfObjective * FloatSeconds(context_.longest_objective());
}

}  // namespace postspread::policy
