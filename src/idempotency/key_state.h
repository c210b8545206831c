// The states of an idempotency key on one gateway and the transitions between them. The table below is the
// whole state machine: every change of a key's state is one of its rows.
#ifndef POSTSPREAD_IDEMPOTENCY_KEY_STATE_H_
#define POSTSPREAD_IDEMPOTENCY_KEY_STATE_H_

#include <cstdint>
#include <optional>

namespace postspread::idempotency {

enum class KeyState : std::uint8_t {
  kNew,             // just added to the store
  kClaiming,        // its replicas are asked to record our claim
  kRunning,         // its work runs here
  kAnswered,        // it was executed and is known here; its answer may have been evicted
  kUnknownOutcome,  // its work ended and may have run
  kClaimedByPeer,   // a peer holds it
};
inline constexpr KeyState kAllKeyStates[] = {
    KeyState::kNew,      KeyState::kClaiming,       KeyState::kRunning,
    KeyState::kAnswered, KeyState::kUnknownOutcome, KeyState::kClaimedByPeer};

enum class KeyEvent : std::uint8_t {
  kClaimStarted,      // this gateway asks for the key
  kClaimGranted,      // no replica objects: the work may start
  kHolderFound,       // a vote names a peer that holds the key
  kPeerClaimed,       // a peer asks for the key and takes precedence
  kOwnClaimRecalled,  // a peer remembers a claim of our earlier incarnation
  kResumed,           // an attempt follows one that may have run
  kServed,            // the work ended with an answer
  kAnswerLost,        // the work failed, but an earlier attempt is known to have been executed
  kOutcomeLost,       // the work failed and may have run
  kAnswerFetched,     // the holder's answer has arrived here
};
inline constexpr KeyEvent kAllKeyEvents[] = {
    KeyEvent::kClaimStarted,     KeyEvent::kClaimGranted, KeyEvent::kHolderFound, KeyEvent::kPeerClaimed,
    KeyEvent::kOwnClaimRecalled, KeyEvent::kResumed,      KeyEvent::kServed,      KeyEvent::kAnswerLost,
    KeyEvent::kOutcomeLost,      KeyEvent::kAnswerFetched};

struct KeyTransition {
  KeyState from;
  KeyEvent event;
  KeyState to;
};
inline constexpr KeyTransition kKeyTransitions[] = {
    {KeyState::kNew, KeyEvent::kClaimStarted, KeyState::kClaiming},
    {KeyState::kNew, KeyEvent::kPeerClaimed, KeyState::kClaimedByPeer},
    {KeyState::kClaiming, KeyEvent::kClaimGranted, KeyState::kRunning},
    {KeyState::kClaiming, KeyEvent::kHolderFound, KeyState::kClaimedByPeer},
    {KeyState::kClaiming, KeyEvent::kPeerClaimed, KeyState::kClaimedByPeer},
    {KeyState::kClaiming, KeyEvent::kOwnClaimRecalled, KeyState::kUnknownOutcome},
    {KeyState::kRunning, KeyEvent::kServed, KeyState::kAnswered},
    {KeyState::kRunning, KeyEvent::kAnswerLost, KeyState::kAnswered},
    {KeyState::kRunning, KeyEvent::kOutcomeLost, KeyState::kUnknownOutcome},
    {KeyState::kAnswered, KeyEvent::kResumed, KeyState::kRunning},
    {KeyState::kUnknownOutcome, KeyEvent::kResumed, KeyState::kRunning},
    {KeyState::kClaimedByPeer, KeyEvent::kClaimStarted, KeyState::kClaiming},
    {KeyState::kClaimedByPeer, KeyEvent::kPeerClaimed, KeyState::kClaimedByPeer},
    {KeyState::kClaimedByPeer, KeyEvent::kOwnClaimRecalled, KeyState::kUnknownOutcome},
    {KeyState::kClaimedByPeer, KeyEvent::kResumed, KeyState::kRunning},
    {KeyState::kClaimedByPeer, KeyEvent::kAnswerFetched, KeyState::kAnswered},
};

// The state that follows; nothing where the event cannot occur in this state.
constexpr std::optional<KeyState> NextState(KeyState state, KeyEvent event) {
  for (const KeyTransition& transition : kKeyTransitions) {
    if (transition.from == state && transition.event == event) return transition.to;
  }
  return std::nullopt;
}

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_KEY_STATE_H_
