// This gateway's side of the protocol that decides which gateway runs the work on a key. Before the work
// begins, the gateway sends its claim to the key's replicas, some of the customer's gateways, which record
// it. A replica with a record of an earlier claim names the holder, the gateway that made that claim. The
// gateway then queries the holder for the status of the work.
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

// Whether an entry is still in the store after a call.
enum class EntryStatus { kPresent, kRemoved };

class ClaimProtocol {
 public:
  struct Collaborators {
    IdempotencyStore& store;
    Peers& peers;
    ResponseFetcher& fetcher;
    WorkRunner& runner;
    ActionWriter& actions;
    Counts& counts;
  };
  ClaimProtocol(const Limits& limits, const GatewayIdentity& identity, TimePoint start,
                const Collaborators& collaborators);

  // Claims the key at its replicas; starts the work at once if there are no other replicas.
  [[nodiscard]] EntryStatus StartClaim(Entry& entry, TimePoint now);
  // Counts the vote of a replica that does not object to the claim, or whose objection is stale.
  [[nodiscard]] EntryStatus OnVoteCounted(Entry& entry, int rank, TimePoint now);
  // Repeats the claim to replicas whose votes are missing, and sends it to others in place of unavailable
  // ones.
  [[nodiscard]] EntryStatus RetryClaim(Entry& entry, TimePoint now);

  // Queries the holder for the status of its work; resumes the work if the holder is lost.
  void QueryHolder(Entry& entry, TimePoint now);
  // Handles a vote that names a claim of this gateway's earlier incarnation, whose work may have been
  // executed.
  void RecoverOwnWork(Entry& entry, const VoteRecord& vote, TimePoint now);
  // Sets the entry's group and the start time of its work to those that a vote reports.
  void ApplyPlacement(Entry& entry, const VoteRecord& vote) const;

  // Withdraw the claim at the replicas that may have recorded it.
  void Withdraw(const Entry& entry, TimePoint now);
  void WithdrawExcept(const Entry& entry, int except_rank, TimePoint now);
  // Withdraws the claim and removes the key.
  void CancelClaim(Entry& entry, TimePoint now);
  // Cancels a claim for which a replica has no capacity, and treats the waiters as for a full store.
  void CancelForCapacity(Entry& entry, TimePoint now);
  // Notifies the peers that queried the key of its outcome.
  void AnnounceOutcome(const Entry& entry, TimePoint now);

  // Returns whether the holder is unavailable, or has restarted and lost its records.
  [[nodiscard]] bool IsHolderLost(const Entry& entry, TimePoint now) const;
  // Returns whether this gateway started less than `keep` ago and may have lost records of earlier claims.
  [[nodiscard]] bool IsRecovering(TimePoint now) const { return now - start_ < limits_.keep; }
  // Returns the round of the next claim or query.
  [[nodiscard]] std::uint32_t next_round() const { return next_round_; }

 private:
  [[nodiscard]] EntryStatus StartIfAllVoted(Entry& entry, TimePoint now);
  void SendMissingClaims(Entry& entry, TimePoint now);
  [[nodiscard]] RankSet Replicas(const Entry& entry, TimePoint now) const;
  void BeginRound(Entry& entry, TimePoint now);

  const Limits& limits_;
  GatewayIdentity identity_;
  TimePoint start_;
  IdempotencyStore& store_;
  Peers& peers_;
  ResponseFetcher& fetcher_;
  WorkRunner& runner_;
  ActionWriter& actions_;
  Counts& counts_;
  std::uint32_t next_round_ = 1;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_CLAIM_PROTOCOL_H_
