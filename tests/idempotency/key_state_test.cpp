// Checks the table of a key's states and transitions for every pair of state and event.
#include "idempotency/key_state.h"

#include <catch2/catch.hpp>
#include <set>

namespace postspread::idempotency {
namespace {

int CountTransitions(KeyState from, KeyEvent event) {
  int count = 0;
  for (const KeyTransition& row : kKeyTransitions) count += row.from == from && row.event == event ? 1 : 0;
  return count;
}

TEST_CASE("each pair of state and event has at most one transition, and pairs outside the table have none") {
  for (const KeyState state : kAllKeyStates) {
    for (const KeyEvent event : kAllKeyEvents) {
      INFO("state " << static_cast<int>(state) << ", event " << static_cast<int>(event));
      CHECK(CountTransitions(state, event) <= 1);
      CHECK(NextState(state, event).has_value() == (CountTransitions(state, event) == 1));
    }
  }
  for (const KeyTransition& row : kKeyTransitions) CHECK(NextState(row.from, row.event) == row.to);
}

TEST_CASE(
    "every state is reachable, none leads back to a new key, each can be left, and every event is used") {
  std::set<KeyState> reachable{KeyState::kNew};
  for (std::size_t before = 0; before != reachable.size();) {
    before = reachable.size();
    for (const KeyTransition& row : kKeyTransitions) {
      if (reachable.contains(row.from)) reachable.insert(row.to);
    }
  }
  CHECK(reachable.size() == std::size(kAllKeyStates));
  std::set<KeyState> left;
  std::set<KeyEvent> used;
  for (const KeyTransition& row : kKeyTransitions) {
    CHECK(row.to != KeyState::kNew);
    left.insert(row.from);
    used.insert(row.event);
  }
  CHECK(left.size() == std::size(kAllKeyStates));
  CHECK(used.size() == std::size(kAllKeyEvents));
}

TEST_CASE("work starts only by a granted claim or as a resumed attempt, and ends only by its result") {
  const std::set<KeyEvent> starts{KeyEvent::kClaimGranted, KeyEvent::kResumed};
  const std::set<KeyEvent> results{KeyEvent::kServed, KeyEvent::kExecutedResponseLost,
                                   KeyEvent::kOutcomeLost};
  for (const KeyTransition& row : kKeyTransitions) {
    if (row.to == KeyState::kRunning) CHECK(starts.contains(row.event));
    if (row.from == KeyState::kRunning) CHECK(results.contains(row.event));
    // A first attempt requires a claim; only a key whose work may have run is resumed.
    if (row.event == KeyEvent::kClaimGranted) CHECK(row.from == KeyState::kClaiming);
    if (row.event == KeyEvent::kResumed) CHECK(row.from != KeyState::kClaiming);
  }
}

}  // namespace
}  // namespace postspread::idempotency
