// The states of an idempotency key on one gateway and the transitions between them. kKeyTransitions is the
// complete state machine: every change of a key's state is one of its rows.
#ifndef POSTSPREAD_IDEMPOTENCY_KEY_STATE_H_
#define POSTSPREAD_IDEMPOTENCY_KEY_STATE_H_

#include <cstdint>
#include <optional>

namespace postspread::idempotency {

enum class KeyState : std::uint8_t {
  kNew,             // the key has just been added to the store
  kClaiming,        // the gateway waits for votes of the key's replicas on its claim
  kRunning,         // the work on the key runs on this gateway
  kCompleted,       // the work is known to be executed; its response may have been evicted
  kUnknownOutcome,  // the work ended and may have been executed
  kClaimedByPeer,   // a peer, the holder, has claimed the key
};
inline constexpr KeyState kAllKeyStates[] = {
    KeyState::kNew,       KeyState::kClaiming,       KeyState::kRunning,
    KeyState::kCompleted, KeyState::kUnknownOutcome, KeyState::kClaimedByPeer};

enum class KeyEvent : std::uint8_t {
  kClaimStarted,          // this gateway claims the key
  kClaimGranted,          // no replica objects, so the work may start
  kHolderFound,           // a vote names a peer as the key's holder
  kPeerClaimed,           // a peer claims the key and takes precedence
  kOwnClaimReported,      // a peer has a record of a claim by this gateway's earlier incarnation
  kResumed,               // an attempt follows one that may have been executed
  kServed,                // the work ended with a response
  kExecutedResponseLost,  // the work failed, but an earlier attempt is known to have been executed
  kOutcomeLost,           // the work failed and may have been executed
  kResponseFetched,       // the holder's response has arrived at this gateway
};
inline constexpr KeyEvent kAllKeyEvents[] = {KeyEvent::kClaimStarted,     KeyEvent::kClaimGranted,
                                             KeyEvent::kHolderFound,      KeyEvent::kPeerClaimed,
                                             KeyEvent::kOwnClaimReported, KeyEvent::kResumed,
                                             KeyEvent::kServed,           KeyEvent::kExecutedResponseLost,
                                             KeyEvent::kOutcomeLost,      KeyEvent::kResponseFetched};

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
    {KeyState::kClaiming, KeyEvent::kOwnClaimReported, KeyState::kUnknownOutcome},
    {KeyState::kRunning, KeyEvent::kServed, KeyState::kCompleted},
    {KeyState::kRunning, KeyEvent::kExecutedResponseLost, KeyState::kCompleted},
    {KeyState::kRunning, KeyEvent::kOutcomeLost, KeyState::kUnknownOutcome},
    {KeyState::kCompleted, KeyEvent::kResumed, KeyState::kRunning},
    {KeyState::kUnknownOutcome, KeyEvent::kResumed, KeyState::kRunning},
    {KeyState::kClaimedByPeer, KeyEvent::kClaimStarted, KeyState::kClaiming},
    {KeyState::kClaimedByPeer, KeyEvent::kPeerClaimed, KeyState::kClaimedByPeer},
    {KeyState::kClaimedByPeer, KeyEvent::kOwnClaimReported, KeyState::kUnknownOutcome},
    {KeyState::kClaimedByPeer, KeyEvent::kResumed, KeyState::kRunning},
    {KeyState::kClaimedByPeer, KeyEvent::kResponseFetched, KeyState::kCompleted},
};

// Returns the state after the event, or nullopt if the event cannot occur in this state.
constexpr std::optional<KeyState> NextState(KeyState state, KeyEvent event) {
  for (const KeyTransition& transition : kKeyTransitions) {
    if (transition.from == state && transition.event == event) return transition.to;
  }
  return std::nullopt;
}

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_KEY_STATE_H_
