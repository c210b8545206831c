// Compares one replica with a reference model of its state table: both have the same effects for any sequence
// of requests, results, disconnects and waits. RapidCheck generates 100 sequences of 1,000 steps, and shrinks
// and prints a failing one.
#include "model.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "idempotency/digest.h"
#include "idempotency/replica.h"

namespace postspread::idempotency::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kGroup = 4;

enum class StepKind { kRequest, kServe, kReject, kFail, kDisconnect, kWait };
struct Step {
  StepKind kind = StepKind::kRequest;
  int key = 0;  // the request's key, or an index into the running keys
  int body = 0;
  int amount = 0;  // milliseconds until the deadline or to wait; selects the waiter of a disconnect
};
std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.key << "," << step.body << ","
             << step.amount << "}";
}

Step ToStep(int kind, int key, int body, int amount) {
  static constexpr StepKind kWeightedKinds[] = {
      StepKind::kRequest, StepKind::kRequest, StepKind::kRequest,    StepKind::kServe, StepKind::kReject,
      StepKind::kFail,    StepKind::kFail,    StepKind::kDisconnect, StepKind::kWait,  StepKind::kWait};
  // Most waits are short; one in ten may pass the deduplication window or the key's expiry.
  const int wait = amount % 10 == 0 ? amount * 5 : amount;
  return {kWeightedKinds[kind], key, body == 0 ? 1 : 0,
          kWeightedKinds[kind] == StepKind::kWait ? wait : amount};
}

WorkResult ToResult(StepKind kind) {
  if (kind == StepKind::kServe) return WorkResult::kServed;
  return kind == StepKind::kReject ? WorkResult::kRejected : WorkResult::kFailed;
}

Limits ModelLimits() {
  Limits limits;
  limits.enabled = true;
  limits.keep = ReplicaModel::kKeyLifetime;
  limits.max_waiters = ReplicaModel::kMaxWaiters;
  return limits;
}

// Applies the same steps to replica and model and compares their effects and sizes.
class Comparison {
 public:
  Comparison() : replica_(ModelLimits(), {}, now_) { replica_.SetUpstreamGroups({{kGroup, 1}}); }

  void Run(const Step& step) {
    actual_.clear();
    expected_.clear();
    switch (step.kind) {
      case StepKind::kRequest:
        Request(step);
        break;
      case StepKind::kDisconnect:
        Disconnect(step);
        break;
      case StepKind::kWait:
        Wait(milliseconds(step.amount));
        break;
      case StepKind::kServe:
      case StepKind::kReject:
      case StepKind::kFail:
        FinishWork(step);
        break;
    }
    RC_ASSERT(ToText(actual_) == ToText(expected_));
    RC_ASSERT(replica_.size() == model_.size());
    RC_ASSERT(replica_.peak() <= replica_.bound());
  }

 private:
  void Request(const Step& step) {
    const std::string key_text = std::to_string(step.key);
    const KeyedRequest request{
        .waiter = next_waiter_++,
        .key = DigestKey("c", "change", key_text),
        .fingerprint = DigestRequest("c", "change", key_text, 1, std::to_string(step.body)),
        .customer = 1,
        .deadline = now_ + milliseconds(step.amount),
        .dedup_window = ReplicaModel::kDedupWindow,
        .sticky = true,
        .work = {}};
    Collect(replica_.Begin(request, now_));
    model_.OnRequest({step.key, step.body, request.waiter, request.deadline}, now_, expected_);
  }

  void Disconnect(const Step& step) {
    const WaiterId waiter = next_waiter_ > 8 ? next_waiter_ - 1 - static_cast<WaiterId>(step.amount % 8) : 1;
    Collect(replica_.OnClientDisconnect(waiter, now_));
    model_.OnDisconnect(waiter, expected_);
  }

  void Wait(Duration span) {
    const TimePoint until = now_ + span;
    while (replica_.NextTick() && *replica_.NextTick() <= until) {
      now_ = std::max(now_, *replica_.NextTick());
      Collect(replica_.Tick(now_));
    }
    now_ = until;
    model_.AdvanceTo(now_, expected_);
  }

  void FinishWork(const Step& step) {
    const std::vector<int> running = model_.RunningKeys();
    if (running.empty()) return;
    const int key_number = running[static_cast<std::size_t>(step.key) % running.size()];
    const std::string value = "value of " + std::to_string(next_waiter_);
    const WaiterId waiter = model_.RunningWaiter(key_number);
    RC_ASSERT(replica_.IsRunning(waiter));
    const WorkResult result = ToResult(step.kind);
    Collect(replica_.OnWorkFinished(waiter, result, value, Duration(1), now_));
    model_.OnWorkFinished(key_number, result, value, now_, expected_);
    // The next tick removes keys past their expiry and waiters past their deadline.
    if (replica_.NextTick() && *replica_.NextTick() <= now_) Collect(replica_.Tick(now_));
    model_.AdvanceTo(now_, expected_);
  }

  void Collect(Actions actions) {
    for (const Action& action : actions) actual_.insert(ToEffect(action));
  }

  static std::string ToEffect(const Action& action) {
    if (const auto* start = std::get_if<StartRequest>(&action)) {
      RC_ASSERT(start->placement.group == kGroup);
      return Effect("start", start->waiter, start->placement.may_have_run ? "resumed" : "");
    }
    if (const auto* complete = std::get_if<CompleteRequest>(&action)) {
      return Effect("complete", complete->waiter, *complete->value);
    }
    if (const auto* reject = std::get_if<RejectWithRetryAfter>(&action)) {
      return Effect("reject", reject->waiter);
    }
    if (const auto* fail = std::get_if<FailRequest>(&action)) {
      const bool is_unknown = fail->reason == FailureReason::kUnknownOutcome;
      return Effect(is_unknown ? "unknown" : "mismatch", fail->waiter);
    }
    if (const auto* release = std::get_if<ReleaseRequest>(&action)) {
      return Effect("release", release->waiter);
    }
    RC_FAIL("an action that a replica without peers never takes");
    return {};
  }

  TimePoint now_ = seconds(1'000);
  IdempotencyReplica replica_;
  ReplicaModel model_;
  WaiterId next_waiter_ = 1;
  Effects actual_, expected_;
};

TEST_CASE("for any sequence of steps, a replica has the same effects as the model of its state table") {
  const auto step = rc::gen::apply(ToStep, rc::gen::inRange(0, 10), rc::gen::inRange(0, 4),
                                   rc::gen::inRange(0, 8), rc::gen::inRange(1, 9'000));
  CHECK(rc::check("model", [&step] {
    Comparison comparison;
    for (const Step& each : *rc::gen::container<std::vector<Step>>(1'000, step)) comparison.Run(each);
  }));
}

}  // namespace
}  // namespace postspread::idempotency::testing
