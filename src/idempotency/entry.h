// The state that a gateway stores for one idempotency key. The store owns each entry and counts its size
// toward the memory limit.
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

// A request that waits for the response to the key.
struct Waiter {
  WaiterId id = 0;
  TimePoint deadline{0};
  Work work;
  bool client_disconnected = false;  // the waiter remains, because its request is the one that runs
};

// The attempt that runs on this gateway while the key is in kRunning.
struct RunningAttempt {
  WaiterId waiter = 0;   // the waiter whose request was sent
  bool resumed = false;  // an earlier attempt may have been executed
};

// This gateway's pending query to its peers: a claim to be recorded, or a status query to the holder. A vote
// belongs to the query whose round it carries.
struct OwnClaim {
  std::uint32_t round = 0;
  bool confirmed = false;  // kClaiming: a gateway with an uptime of at least `keep` has no record of the key
  bool is_status_query = false;  // kClaimedByPeer: the query was sent to the holder
  TimePoint first_sent{0};
  RankSet awaiting;    // kClaiming: the replicas whose votes are missing
  RankSet recipients;  // the replicas that may have recorded the claim
};

// The peer's claim while the key is in kClaimedByPeer: this gateway recorded it, or a vote reported it.
struct HolderClaim {
  std::uint16_t rank = 0;
  Phase phase = Phase::kRunning;  // the last reported phase
  std::uint32_t round = 0;
  std::uint64_t incarnation = 0;
};

// The claims that a holder reported as withdrawn: all its claims before a round. Other gateways' records of
// them are stale.
struct WithdrawnClaims {
  std::uint16_t rank = 0xffff;  // 0xffff: none
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
  bool executed = false;              // the work is known to be executed; its response may be lost
  bool has_response = false;          // `response` is complete
  std::optional<std::int64_t> group;  // the upstream group; nullopt: all upstreams drop each other's repeats
  Duration dedup_window{0};
  TimePoint sent{0};          // when the work began, on any gateway; the deduplication window starts here
  TimePoint expires{0};       // when the store removes the entry, unless its work runs
  TimePoint next_attempt{0};  // kClaiming, kClaimedByPeer with waiters: when peers are queried again
  TimePoint due{0};           // the entry's position in the store's time index
  RunningAttempt running;
  OwnClaim claim;
  HolderClaim holder;
  WithdrawnClaims withdrawn;
  RankSet subscribers;  // the peers that queried the key and are notified of its outcome
  FragmentAssembly assembly;
  std::pmr::vector<Waiter> waiters;
  std::pmr::string response;

  explicit Entry(std::pmr::memory_resource* memory) : waiters(memory), response(memory) {}

  // Changes the state by the table in key_state.h.
  void Apply(KeyEvent event);
  // Records the phase that the holder reports.
  void SetPhase(Phase phase);

  [[nodiscard]] bool IsRunning(WaiterId waiter) const {
    return state == KeyState::kRunning && running.waiter == waiter;
  }
  [[nodiscard]] bool IsClaimedBy(int rank, std::uint64_t incarnation) const {
    return state == KeyState::kClaimedByPeer && holder.rank == rank && holder.incarnation == incarnation;
  }
  // Returns the phase that this gateway reports to its peers.
  [[nodiscard]] Phase ReportedPhase() const;
  // Returns the reason with which a waiter fails if the response is not available.
  [[nodiscard]] FailureReason LossReason() const {
    return executed ? FailureReason::kResponseDropped : FailureReason::kUnknownOutcome;
  }
  // Returns the time of the next timer of this entry: a waiter's deadline, a query to peers, or the expiry.
  [[nodiscard]] TimePoint NextDue() const;
};

// Returns whether the work in this phase is known to be executed.
constexpr bool IsExecuted(Phase phase) {
  return phase == Phase::kCompleted || phase == Phase::kCompletedWithoutResponse;
}

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_ENTRY_H_
