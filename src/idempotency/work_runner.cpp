#include "idempotency/work_runner.h"

#include <algorithm>

#include "idempotency/timing.h"

namespace postspread::idempotency {

void WorkRunner::StartFirstAttempt(Entry& entry, TimePoint now) {
  entry.Apply(KeyEvent::kClaimGranted);
  entry.running.resumed = false;
  entry.sent = now;
  entry.expires = now + limits_.keep;
  ++counts_.started;
  Start(entry, now);
}

void WorkRunner::Resume(Entry& entry, TimePoint now) {
  fetcher_.Cancel(entry);
  if (entry.waiters.empty()) return;
  if (now + kUpstreamTransit >= entry.sent + entry.dedup_window) {
    return actions_.FailAll(entry, entry.LossReason());
  }
  entry.Apply(KeyEvent::kResumed);
  entry.running.resumed = true;
  ++counts_.resumed;
  Start(entry, now);
}

void WorkRunner::Start(Entry& entry, TimePoint now) {
  const auto longest = std::max_element(
      entry.waiters.begin(), entry.waiters.end(),
      [](const Waiter& left, const Waiter& right) { return left.deadline < right.deadline; });
  entry.running.waiter = longest->id;
  actions_.Add(StartRequest{.waiter = longest->id,
                            .work = longest->work,
                            .deadline = longest->deadline,
                            .placement = {.group = entry.group,
                                          .may_have_run = entry.running.resumed,
                                          .age = now - entry.sent + kUpstreamTransit}});
}

}  // namespace postspread::idempotency
