#include "idempotency/claim_protocol.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "idempotency/placement.h"
#include "idempotency/timing.h"

namespace postspread::idempotency {
namespace {

ClaimRecord ToClaim(const Entry& entry) {
  return {.key = entry.key,
          .fingerprint = entry.fingerprint,
          .customer = entry.customer,
          .round = entry.claim.round,
          .has_group = entry.group.has_value(),
          .group = entry.group.value_or(0),
          .window_ms = ToWireMilliseconds(entry.dedup_window)};
}

}  // namespace

ClaimProtocol::ClaimProtocol(const Limits& limits, const GatewayIdentity& identity, TimePoint start,
                             const Collaborators& collaborators)
    : limits_(limits),
      identity_(identity),
      start_(start),
      store_(collaborators.store),
      peers_(collaborators.peers),
      fetcher_(collaborators.fetcher),
      runner_(collaborators.runner),
      actions_(collaborators.actions),
      counts_(collaborators.counts) {}

// ---- Claims ----

void ClaimProtocol::BeginRound(Entry& entry, TimePoint now) {
  entry.claim.round = next_round_++;
  entry.claim.first_sent = now;
}

EntryStatus ClaimProtocol::StartClaim(Entry& entry, TimePoint now) {
  fetcher_.Cancel(entry);
  entry.Apply(KeyEvent::kClaimStarted);
  entry.claim = OwnClaim{};
  entry.claim.confirmed = !IsRecovering(now);
  BeginRound(entry, now);
  entry.next_attempt = now + RetryInterval(limits_);
  return StartIfAllVoted(entry, now);
}

EntryStatus ClaimProtocol::OnVoteCounted(Entry& entry, int rank, TimePoint now) {
  entry.claim.awaiting.Remove(rank);
  return StartIfAllVoted(entry, now);
}

EntryStatus ClaimProtocol::RetryClaim(Entry& entry, TimePoint now) {
  if (StartIfAllVoted(entry, now) == EntryStatus::kRemoved) return EntryStatus::kRemoved;
  if (entry.state != KeyState::kClaiming) return EntryStatus::kPresent;
  const ClaimRecord claim = ToClaim(entry);
  for (const int rank : entry.claim.awaiting) peers_.Queue(rank, claim, Reply::kExpected, now);
  entry.next_attempt = now + RetryInterval(limits_);
  return EntryStatus::kPresent;
}

// Starts the work if no vote from an available replica is missing. A key that no gateway could confirm as new
// is started or rejected as the operator has set.
EntryStatus ClaimProtocol::StartIfAllVoted(Entry& entry, TimePoint now) {
  SendMissingClaims(entry, now);
  if (!entry.claim.awaiting.empty()) return EntryStatus::kPresent;
  if (!entry.claim.confirmed) {
    ++counts_.unconfirmed;
    if (limits_.when_unconfirmed == WhenUnconfirmed::kReject) {
      actions_.RejectAll(entry, kStoreFullRetryAfter);
      CancelClaim(entry, now);
      return EntryStatus::kRemoved;
    }
  }
  runner_.StartFirstAttempt(entry, now);
  return EntryStatus::kPresent;
}

// Claims the key at the replicas that have not been queried yet, and stops waiting for unavailable ones.
void ClaimProtocol::SendMissingClaims(Entry& entry, TimePoint now) {
  const ClaimRecord claim = ToClaim(entry);
  RankSet awaiting;
  for (const int rank : Replicas(entry, now)) {
    if (entry.claim.recipients.Has(rank)) {
      if (entry.claim.awaiting.Has(rank)) awaiting.Add(rank);
      continue;
    }
    peers_.Queue(rank, claim, Reply::kExpected, now);
    awaiting.Add(rank);
    // A recipient beyond the set's capacity is sent the claim again, and no withdrawal: its record expires.
    entry.claim.recipients.Add(rank);
  }
  entry.claim.awaiting = awaiting;
}

// Returns the other gateways that record the key: those of the customer's available gateways with the highest
// scores. This gateway takes part in the ranking, so that all gateways that claim a key query the same ones.
RankSet ClaimProtocol::Replicas(const Entry& entry, TimePoint now) const {
  if (!identity_.has_peers) return {};
  const Work& work = entry.waiters.front().work;
  const int group_size = std::min(identity_.group_size, kMaxPeers);
  std::vector<int> available;
  for (int offset = 0; offset < std::min<int>(work.spread, group_size); ++offset) {
    const int rank = (work.first + offset) % group_size;
    if (rank == identity_.rank || !peers_.IsUnavailable(rank, now)) available.push_back(rank);
  }
  RankSet replicas;
  for (const int rank : BestGateways(entry.key, std::move(available), limits_.replicas)) {
    if (rank != identity_.rank) replicas.Add(rank);
  }
  return replicas;
}

// ---- The holder ----

bool ClaimProtocol::IsHolderLost(const Entry& entry, TimePoint now) const {
  return peers_.IsUnavailable(entry.holder.rank, now) ||
         peers_.HasRestarted(entry.holder.rank, entry.holder.incarnation);
}

void ClaimProtocol::QueryHolder(Entry& entry, TimePoint now) {
  if (IsHolderLost(entry, now)) return runner_.Resume(entry, now);
  // A repeated query has the same round, so that a late reply to the first query also counts.
  if (!std::exchange(entry.claim.is_status_query, true)) BeginRound(entry, now);
  peers_.Queue(entry.holder.rank, ToClaim(entry), Reply::kExpected, now);
  entry.next_attempt = now + RetryInterval(limits_);
}

void ClaimProtocol::RecoverOwnWork(Entry& entry, const VoteRecord& vote, TimePoint now) {
  entry.Apply(KeyEvent::kOwnClaimReported);
  entry.executed = IsExecuted(vote.phase);
  ApplyPlacement(entry, vote);
  runner_.Resume(entry, now);
}

void ClaimProtocol::ApplyPlacement(Entry& entry, const VoteRecord& vote) const {
  entry.group = vote.has_group != 0 ? std::optional(vote.group) : std::nullopt;
  // This is the earliest time at which the work can have begun, because the voter computed the age after this
  // gateway had sent its query. A time counted from the vote's arrival would extend the deduplication window
  // by the vote's transit time.
  entry.sent = entry.claim.first_sent - std::chrono::milliseconds(vote.age_ms + 1);
}

// ---- The end of a claim ----

void ClaimProtocol::Withdraw(const Entry& entry, TimePoint now) {
  constexpr int kNoRank = -1;
  WithdrawExcept(entry, kNoRank, now);
}

void ClaimProtocol::WithdrawExcept(const Entry& entry, int except_rank, TimePoint now) {
  const OutcomeRecord record{.key = entry.key, .round = entry.claim.round, .withdrawn = 1};
  for (const int rank : entry.claim.recipients) {
    if (rank != except_rank) peers_.Queue(rank, record, Reply::kNone, now);
  }
}

void ClaimProtocol::CancelClaim(Entry& entry, TimePoint now) {
  Withdraw(entry, now);
  store_.Remove(entry);
}

void ClaimProtocol::CancelForCapacity(Entry& entry, TimePoint now) {
  if (limits_.when_full == WhenFull::kStartUnprotected) {
    counts_.full_unprotected += entry.waiters.size();
    actions_.StartAllUnprotected(entry);
  } else {
    counts_.full_rejected += entry.waiters.size();
    actions_.RejectAll(entry, kStoreFullRetryAfter);
  }
  CancelClaim(entry, now);
}

void ClaimProtocol::AnnounceOutcome(const Entry& entry, TimePoint now) {
  const OutcomeRecord record{.key = entry.key,
                             .round = entry.claim.round,
                             .withdrawn = 0,
                             .phase = entry.ReportedPhase(),
                             .age_ms = ToWireMilliseconds(now - entry.sent)};
  for (const int rank : entry.subscribers) peers_.Queue(rank, record, Reply::kNone, now);
}

}  // namespace postspread::idempotency
