#include "policy/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace postspread::policy {
namespace {

// Up to this fraction is added to an upstream's cost at random, so that gateways don't all select the same
// one.
constexpr double kCostJitter = 0.3;
constexpr std::size_t kMaxCandidates = 12;
// The multiples of this number, modulo 1, are evenly distributed however many there are.
constexpr double kGoldenRatio = 0.6180339887;
// The cost of an upstream in another zone rises by the crossing price times this factor: a price of 0.02 adds
// half of the cost.
constexpr double kZoneCrossFactor = 25;
// A cancelled or timed-out attempt at an upstream that has sent no response since the attempt started counts
// as a failure from this fraction of the maximum objective on.
constexpr double kUnresponsiveFractionOfObjective = 0.5;
constexpr double kMinUpstreamWeight = 0.01;
constexpr double kMinTotalWeight = 1e-3;

bool WasSentTo(const RequestState& request, const Upstream& upstream) {
  return std::any_of(request.attempts.begin(), request.attempts.end(), [&upstream](const Attempt& attempt) {
    return attempt.target.upstream == upstream.info.id;
  });
}

bool IsEndedByGateway(Outcome outcome) {
  return outcome == Outcome::kCancelled || outcome == Outcome::kNotSent;
}

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
  // If most upstreams are in slow start, each receives more than its fraction, up to half of its overload
  // multiple.
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
  // A gateway that receives less than one response per second from each upstream only compares a few
  // upstreams, which its rank determines, and the one drawn. If it spread its attempts over all upstreams, it
  // would have to fail at each outlier before it could avoid it.
  const bool has_few_responses =
      load_.recent_responses() < statistics::kTrafficTimeConstant.count() * static_cast<double>(count);
  const double offset =
      has_few_responses ? std::fmod(context_.settings().rank * kGoldenRatio, 1.0) : context_.Random();
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
  if (context_.now() >= request.RetryableUntil()) return false;
  const auto in_scope = [&](const std::string& zone, std::int64_t cell) {
    if (rules.scope == KeyScope::kZone) return upstream.info.zone == zone;
    if (rules.scope == KeyScope::kCell) return upstream.info.cell == cell;
    return true;
  };
  if (request.key_binding && request.key_binding->bound &&
      !in_scope(request.key_binding->zone, request.key_binding->cell)) {
    return false;
  }
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || rules.retry_safety == RetrySafety::kIdempotent) continue;
    if (rules.retry_safety == RetrySafety::kNotIdempotent) return false;
    if (!in_scope(attempt.target.zone, attempt.target.cell)) return false;
  }
  return true;
}

double UpstreamSelector::Weight(const Upstream& upstream, SlowStartCause cause) const {
  return SlowStartWeight(context_.settings(), upstream, cause, context_.now());
}

double UpstreamSelector::Cost(const Upstream& upstream) const {
  double cost = estimates_.Latency(upstream).count() * (estimates_.InFlight(upstream) + 1) /
                std::max(kMinUpstreamWeight, upstream.info.weight);
  if (upstream.info.zone != context_.settings().zone) {
    cost *= 1 + kZoneCrossFactor * context_.settings().zone_cross_price;
  }
  const FloatSeconds usual = estimates_.ZoneLatency(upstream.info.zone);
  const FloatSeconds without_response(upstream.in_flight > 0 ? context_.now() - upstream.waiting_since
                                                             : Duration(0));
  if (without_response > kStuckLatencies * usual) cost *= 1 + without_response / usual;
  return cost;
}

void UpstreamSelector::OnAttemptStarted(Upstream& upstream) const {
  if (upstream.in_flight == 0) upstream.waiting_since = context_.now();
  ++upstream.in_flight;
}

void UpstreamSelector::OnAttemptFinished(const OutcomeEvent& event, const Attempt* attempt) {
  Upstream* upstream = upstreams_.Find(event.upstream);
  if (upstream == nullptr) return;
  upstream->in_flight = std::max(0, upstream->in_flight - 1);
  // What a former process has done says nothing about the present one.
  if (attempt != nullptr && !upstream->IsIncarnationOf(attempt->target)) return;
  const bool good = event.outcome == Outcome::kOk;
  if (good || event.outcome == Outcome::kError || event.outcome == Outcome::kRejected) {
    upstream->last_response = context_.now();
    upstream->waiting_since = context_.now();
  }
  const bool is_unresponsive = IsUnresponsive(*upstream, event);
  estimates_.RecordReport(*upstream, event.load);
  if (!IsEndedByGateway(event.outcome) && !context_.JustStalled()) {
    estimates_.RecordZoneLatency(upstream->info.zone,
                                 FloatSeconds(good ? event.elapsed : context_.longest_objective()));
  }
  if (good || is_unresponsive) estimates_.RecordLatency(*upstream, event.elapsed);
  if (good) {
    outliers_.OnSuccess(*upstream);
  } else if (is_unresponsive || !IsEndedByGateway(event.outcome)) {
    outliers_.OnFailure(*upstream);
  }
}

// Without this check an upstream that responds too late for every attempt would look normal, because the
// gateway itself ends the attempts.
bool UpstreamSelector::IsUnresponsive(const Upstream& upstream, const OutcomeEvent& event) const {
  if (event.outcome != Outcome::kCancelled && event.outcome != Outcome::kTimeout) return false;
  return !context_.JustStalled() && upstream.last_response < context_.now() - event.elapsed &&
         FloatSeconds(event.elapsed) >
             kUnresponsiveFractionOfObjective * FloatSeconds(context_.longest_objective());
}

}  // namespace postspread::policy
