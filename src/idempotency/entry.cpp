#include "idempotency/entry.h"

#include <algorithm>
#include <cassert>

namespace postspread::idempotency {

void Entry::Apply(KeyEvent event) {
  const std::optional<KeyState> next = NextState(state, event);
  assert(next.has_value());
  if (next) state = *next;
}

void Entry::SetPhase(Phase phase) {
  holder.phase = phase;
  executed = IsExecuted(phase);
}

Phase Entry::ReportedPhase() const {
  switch (state) {
    case KeyState::kCompleted:
      return has_response ? Phase::kCompleted : Phase::kCompletedWithoutResponse;
    case KeyState::kUnknownOutcome:
      return executed ? Phase::kCompletedWithoutResponse : Phase::kUnknown;
    case KeyState::kClaimedByPeer:
      return holder.phase;
    case KeyState::kNew:
    case KeyState::kClaiming:
    case KeyState::kRunning:
      return Phase::kRunning;
  }
  return Phase::kUnknown;
}

TimePoint Entry::NextDue() const {
  const bool runs = state == KeyState::kRunning;
  TimePoint next = runs ? TimePoint::max() : expires;
  for (const Waiter& waiter : waiters) {
    // The caller reports the end of the running request, also at its deadline.
    if (!IsRunning(waiter.id)) next = std::min(next, waiter.deadline);
  }
  const bool queries_peers =
      state == KeyState::kClaiming || (state == KeyState::kClaimedByPeer && !waiters.empty());
  return queries_peers ? std::min(next, next_attempt) : next;
}

}  // namespace postspread::idempotency
