#include "policy/counter_client.h"

#include <algorithm>
#include <utility>

#include "statistics/float_seconds.h"

namespace postspread::policy {
namespace {

// Maximum time that a call may delay a request, as a fraction of the longest latency objective.
constexpr double kMaxDelayFraction = 0.1;
// A reply that takes more than this fraction of the maximum delay indicates a queue at the counter.
constexpr double kSlowReplyFraction = 0.33;

}  // namespace

Duration CounterClient::MaxDelay() const {
  return ToDuration(FloatSeconds(context_.longest_objective()) * kMaxDelayFraction);
}

bool CounterClient::MayCall(CallNeed need) {
  if (need == CallNeed::kOptional && !window_.Admits(context_.Random())) return false;
  return outage_.MayCall(context_.now());
}

void CounterClient::Add(const std::string& name, Duration ttl, CounterCall call) {
  const double amount = call.amount;
  call.sent_at = context_.now();
  calls_[name].push_back(std::move(call));
  window_.OnCallSent();
  context_.Emit(CounterAdd{name, amount, ttl});
}

std::optional<CounterCall> CounterClient::OnReply(const CounterEvent& event) {
  const auto found = calls_.find(event.name);
  if (found == calls_.end()) return std::nullopt;
  CounterCall call = std::move(found->second.front());
  found->second.pop_front();
  if (found->second.empty()) calls_.erase(found);
  window_.OnReply(Classify(event), call.sent_at, context_.now());
  if (event.result != CounterResult::kOk) {
    if (outage_.OnFailure(context_.now())) context_.Emit(Log{"counter: no answer, on local slices"});
  } else if (outage_.OnSuccess(call.sent_at)) {
    context_.Emit(Log{"counter: answers again"});
  }
  return call;
}

ReplyQuality CounterClient::Classify(const CounterEvent& event) const {
  // A call that fails early, because of a lost connection or a malformed reply, says nothing about the
  // counter's load.
  const Duration timeout = context_.settings().counter_timeout;
  const bool timed_out =
      event.result == CounterResult::kTimeout && event.elapsed + context_.settings().tick >= timeout;
  if (timed_out || event.result == CounterResult::kRefused) return ReplyQuality::kOverloaded;
  if (event.result != CounterResult::kOk) return ReplyQuality::kUnknown;
  const FloatSeconds limit(std::min(timeout, MaxDelay()));
  return FloatSeconds(event.elapsed) > kSlowReplyFraction * limit ? ReplyQuality::kSlow : ReplyQuality::kFast;
}

}  // namespace postspread::policy
