#include "policy/retry.h"

#include <algorithm>
#include <utility>

#include "statistics/float_seconds.h"

namespace postspread::policy {
namespace {

constexpr double kMinStuckTimeoutDivisor = 4;  // the minimum timeout is the latency objective divided by this

}  // namespace

void RetryBudget::OnRequest() { balance_ = std::min(kMaxBalance, balance_ + kRetriesPerRequest); }

bool RetryBudget::TryWithdraw() {
  if (balance_ < 1) return false;
  balance_ -= 1;
  return true;
}

Duration RetryPolicy::StuckTimeout(const RequestState& request) const {
  const FloatSeconds by_latency = kStuckLatencies * latency_.RecentMean(request.class_index);
  const FloatSeconds by_objective = FloatSeconds(request.Class().latency_objective) / kMinStuckTimeoutDivisor;
  return ToDuration(std::max(by_latency, by_objective));
}

StuckAction RetryPolicy::OnStuckTimeout(const RequestState& request) {
  if (request.stage != RequestStage::kInFlight || request.attempts.empty() || !request.attempts.back().open) {
    return StuckAction::kWait;
  }
  const Settings& settings = context_.settings();
  // When requests queue, all of them are late: a hedged request would lengthen the queue, and a retry would
  // lose its place in it.
  const double max_pressure = settings.hedging_allowed ? kSparePressure : kTargetPressure;
  if (admission_.Pressure(request.Class()) > max_pressure) return StuckAction::kWait;
  const Attempt& last = request.attempts.back();
  const Upstream* upstream = upstreams_.Find(last.target.upstream);
  const bool is_stuck =
      upstream == nullptr || !upstream->IsIncarnationOf(last.target) || upstream->last_response <= last.sent;
  const bool may_hedge_or_retry = request.Class().retry_safety != RetrySafety::kNotIdempotent &&
                                  (settings.hedging_allowed || settings.can_cancel) &&
                                  !request.retries_after_cancel;
  if (!is_stuck || !may_hedge_or_retry || std::ssize(request.attempts) >= request.max_attempts) {
    return StuckAction::kWait;
  }
  if (!budget_.TryWithdraw()) return StuckAction::kWait;
  return settings.hedging_allowed ? StuckAction::kHedge : StuckAction::kCancelAndRetry;
}

bool RetryPolicy::MayRetry(RequestState& request, Outcome outcome) {
  const bool already_paid = std::exchange(request.retries_after_cancel, false);
  // An attempt whose connection failed has put no load on an upstream.
  const bool is_free = already_paid || outcome == Outcome::kConnectFailed;
  if (!is_free && !budget_.TryWithdraw()) return false;
  return context_.now() + context_.settings().tick < request.deadline;
}

}  // namespace postspread::policy
