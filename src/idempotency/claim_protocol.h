// This gateway's side of the agreement on who runs a key. Before the work on a key begins, its replicas among
// the customer's gateways are asked to record the claim; a replica that knows of an earlier claim names its
// holder, which is then asked how the work stands.
#ifndef POSTSPREAD_IDEMPOTENCY_CLAIM_PROTOCOL_H_
#define POSTSPREAD_IDEMPOTENCY_CLAIM_PROTOCOL_H_

#include <cstdint>

#include "idempotency/action_writer.h"
#include "idempotency/answer_fetcher.h"
#include "idempotency/counts.h"
#include "idempotency/entry.h"
#include "idempotency/limits.h"
#include "idempotency/peers.h"
#include "idempotency/rank_set.h"
#include "idempotency/store.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"
#include "idempotency/work_runner.h"

namespace postspread::idempotency {

// Whether an entry is still in the store after a step.
enum class EntryFate { kPresent, kRemoved };

class ClaimProtocol {
 public:
  struct Collaborators {
    IdempotencyStore& store;
    Peers& peers;
    AnswerFetcher& fetcher;
    WorkRunner& runner;
    ActionWriter& actions;
    Counts& counts;
  };
  ClaimProtocol(const Limits& limits, const GatewayIdentity& identity, TimePoint start,
                const Collaborators& collaborators);

  // Claims the key at its replicas; the work starts at once where there is none to ask.
  [[nodiscard]] EntryFate StartClaim(Entry& entry, TimePoint now);
  // A replica granted the claim, or is no longer waited for.
  [[nodiscard]] EntryFate OnVoteCounted(Entry& entry, int rank, TimePoint now);
  // The replicas have not all voted in time: asks them again, and others in place of those that are away.
  [[nodiscard]] EntryFate RetryClaim(Entry& entry, TimePoint now);

  // Asks the holder how its work stands; resumes the work where the holder is gone.
  void QueryHolder(Entry& entry, TimePoint now);
  // A peer remembers a claim of this gateway's earlier incarnation, whose work may have run.
  void RecoverOwnWork(Entry& entry, const VoteRecord& vote, TimePoint now);
  // Takes over the group and the time of sending that a vote reports.
  void ApplyPlacement(Entry& entry, const VoteRecord& vote) const;

  // Takes a claim back at the replicas that may have recorded it.
  void Withdraw(const Entry& entry, TimePoint now);
  void WithdrawExcept(const Entry& entry, int except_rank, TimePoint now);
  // Withdraws the claim and forgets the key.
  void CancelClaim(Entry& entry, TimePoint now);
  // A replica has no room for the claim: ends the waiters as for a full store.
  void CancelForCapacity(Entry& entry, TimePoint now);
  // Notifies the peers that asked about the key.
  void AnnounceOutcome(const Entry& entry, TimePoint now);

  // The holder is away, or has restarted and forgotten.
  [[nodiscard]] bool IsHolderLost(const Entry& entry, TimePoint now) const;
  // Up for less than keys are kept: claims of before the start may be forgotten.
  [[nodiscard]] bool IsRecovering(TimePoint now) const { return now - start_ < limits_.keep; }
  // The round of the next claim or query.
  [[nodiscard]] std::uint32_t next_round() const { return next_round_; }

 private:
  [[nodiscard]] EntryFate SettleClaim(Entry& entry, TimePoint now);
  void SendMissingClaims(Entry& entry, TimePoint now);
  [[nodiscard]] RankSet Replicas(const Entry& entry, TimePoint now) const;
  void BeginRound(Entry& entry, TimePoint now);

  const Limits& limits_;
  GatewayIdentity identity_;
  TimePoint start_;
  IdempotencyStore& store_;
  Peers& peers_;
  AnswerFetcher& fetcher_;
  WorkRunner& runner_;
  ActionWriter& actions_;
  Counts& counts_;
  std::uint32_t next_round_ = 1;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_CLAIM_PROTOCOL_H_
