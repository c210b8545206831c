// All that a gateway knows of one idempotency key. The store owns it; its size is part of the store's bound.
#ifndef POSTSPREAD_IDEMPOTENCY_ENTRY_H_
#define POSTSPREAD_IDEMPOTENCY_ENTRY_H_

#include <cstdint>
#include <memory_resource>
#include <optional>
#include <string>
#include <vector>

#include "idempotency/fragment_assembly.h"
#include "idempotency/key_state.h"
#include "idempotency/rank_set.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"

namespace postspread::idempotency {

// A request that waits for the answer to the key.
struct Waiter {
  WaiterId id = 0;
  TimePoint deadline{0};
  Work work;
  bool client_disconnected = false;  // kept all the same, for its request is the one that runs
};

// The attempt that runs here, in kRunning.
struct RunningAttempt {
  WaiterId waiter = 0;   // whose request is out
  bool resumed = false;  // an earlier attempt may have run
};

// What this gateway asks its peers: to record its claim, or how the holder's work stands. A vote belongs to
// the question whose round it names.
struct OwnClaim {
  std::uint32_t round = 0;
  bool confirmed = false;        // kClaiming: a gateway that cannot have forgotten knows nothing of the key
  bool is_status_query = false;  // kClaimedByPeer: the question went to the holder
  TimePoint first_sent{0};
  RankSet awaiting;    // kClaiming: replicas whose votes are missing
  RankSet recipients;  // replicas that may have recorded the claim
};

// The peer's claim that this gateway recorded or heard of, in kClaimedByPeer.
struct HolderClaim {
  std::uint16_t rank = 0;
  Phase phase = Phase::kRunning;  // as last reported
  std::uint32_t round = 0;
  std::uint64_t incarnation = 0;
};

// A holder reported that its claims before a round are withdrawn: what others remember of them is stale.
struct WithdrawnClaims {
  std::uint16_t rank = 0xffff;  // no gateway
  std::uint32_t before_round = 0;
  std::uint64_t incarnation = 0;

  [[nodiscard]] bool Contain(int claim_rank, std::uint64_t claim_incarnation, std::uint32_t round) const {
    return claim_rank == rank && claim_incarnation == incarnation && round < before_round;
  }
};

struct Entry {
  KeyId key;
  std::uint64_t fingerprint = 0;
  std::uint32_t customer = 0;
  KeyState state = KeyState::kNew;
  bool executed = false;              // for certain, though its answer may be lost
  bool has_answer = false;            // `answer` holds all of it
  std::optional<std::int64_t> group;  // of upstreams; nothing: all drop each other's repeats
  Duration dedup_window{0};
  TimePoint sent{0};          // when its work began, on whichever gateway; the window counts from here
  TimePoint expires{0};       // it is forgotten then, unless its work runs
  TimePoint next_attempt{0};  // kClaiming, kClaimedByPeer with waiters: when peers are asked again
  TimePoint due{0};           // its position in the store's index of times
  RunningAttempt running;
  OwnClaim claim;
  HolderClaim holder;
  WithdrawnClaims withdrawn;
  RankSet interested;  // peers that asked about it and are notified of its outcome
  FragmentAssembly assembly;
  std::pmr::vector<Waiter> waiters;
  std::pmr::string answer;

  explicit Entry(std::pmr::memory_resource* memory) : waiters(memory), answer(memory) {}

  // Changes the state by the table in key_state.h.
  void Apply(KeyEvent event);
  // Takes over what a peer reports of its work.
  void SetPhase(Phase phase);

  [[nodiscard]] bool IsRunning(WaiterId waiter) const {
    return state == KeyState::kRunning && running.waiter == waiter;
  }
  [[nodiscard]] bool IsClaimedBy(int rank, std::uint64_t incarnation) const {
    return state == KeyState::kClaimedByPeer && holder.rank == rank && holder.incarnation == incarnation;
  }
  // What peers learn about the key.
  [[nodiscard]] Phase ReportedPhase() const;
  // Why a waiter fails whose answer is out of reach.
  [[nodiscard]] FailureReason LossReason() const {
    return executed ? FailureReason::kAnswerDropped : FailureReason::kUnknownOutcome;
  }
  // When it next needs attention: a deadline, a question to peers, or its expiry.
  [[nodiscard]] TimePoint NextDue() const;
};

// Whether work in this phase has been executed for certain.
constexpr bool IsExecuted(Phase phase) {
  return phase == Phase::kAnswered || phase == Phase::kAnsweredNoValue;
}

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_ENTRY_H_
