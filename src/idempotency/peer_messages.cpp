#include "idempotency/peer_messages.h"

#include <chrono>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "idempotency/placement.h"
#include "idempotency/timing.h"

namespace postspread::idempotency {
namespace {

// The round of an outcome that replies to a fetch and not to a claim.
constexpr std::uint32_t kAnyRound = std::numeric_limits<std::uint32_t>::max();

}  // namespace

PeerMessageHandler::PeerMessageHandler(const Limits& limits, const GatewayIdentity& identity,
                                       const Collaborators& collaborators)
    : limits_(limits),
      identity_(identity),
      store_(collaborators.store),
      peers_(collaborators.peers),
      fetcher_(collaborators.fetcher),
      runner_(collaborators.runner),
      claims_(collaborators.claims),
      actions_(collaborators.actions),
      counts_(collaborators.counts) {}

void PeerMessageHandler::Handle(int from, const Record& record, TimePoint now) {
  std::visit([&](const auto& alternative) { On(from, alternative, now); }, record);
}

// ---- Claims of peers ----

void PeerMessageHandler::On(int from, const ClaimRecord& claim, TimePoint now) {
  Entry* const entry = store_.Find(claim.key);
  if (entry == nullptr) return OnFirstClaim(from, claim, now);
  if (entry->IsClaimedBy(from, peers_.Incarnation(from))) return OnHolderClaim(*entry, from, claim, now);
  if (entry->state == KeyState::kClaiming && TakesPrecedence(claim.key, from, identity_.rank)) {
    return OnPrecedingClaim(*entry, from, claim, now);
  }
  if (entry->fingerprint != claim.fingerprint) return Vote(from, claim, VoteKind::kFingerprintMismatch, now);
  entry->subscribers.Add(from);
  peers_.Queue(from, AlreadyClaimedVote(*entry, claim.round, now), Reply::kNone, now);
}

void PeerMessageHandler::OnFirstClaim(int from, const ClaimRecord& claim, TimePoint now) {
  Entry* const entry = store_.Add(claim.key, claim.customer);
  if (entry == nullptr) return Vote(from, claim, VoteKind::kNoCapacity, now);
  entry->fingerprint = claim.fingerprint;
  RecordHolder(*entry, from, claim, now);
  store_.Reschedule(*entry);
  Grant(from, claim, now);
}

void PeerMessageHandler::OnHolderClaim(Entry& entry, int from, const ClaimRecord& claim, TimePoint now) {
  const bool stale = claim.round < entry.holder.round;
  if (stale) return;
  if (entry.fingerprint != claim.fingerprint) return Vote(from, claim, VoteKind::kFingerprintMismatch, now);
  // A repeated claim is not recorded again, because the holder's work and its deduplication window may have
  // begun after the first one.
  if (claim.round > entry.holder.round) {
    RecordHolder(entry, from, claim, now);
    store_.Reschedule(entry);
  }
  Grant(from, claim, now);
}

// This gateway and the peer both claim the key, and the peer takes precedence.
void PeerMessageHandler::OnPrecedingClaim(Entry& entry, int from, const ClaimRecord& claim, TimePoint now) {
  claims_.WithdrawExcept(entry, from, now);
  if (entry.fingerprint != claim.fingerprint) {
    actions_.FailAll(entry, FailureReason::kFingerprintMismatch);
    entry.fingerprint = claim.fingerprint;
  }
  RecordHolder(entry, from, claim, now);
  entry.next_attempt = now + kHolderQueryInterval;
  store_.Reschedule(entry);
  Grant(from, claim, now);
}

void PeerMessageHandler::RecordHolder(Entry& entry, int from, const ClaimRecord& claim, TimePoint now) {
  entry.Apply(KeyEvent::kPeerClaimed);
  entry.holder = {.rank = static_cast<std::uint16_t>(from),
                  .phase = Phase::kRunning,
                  .round = claim.round,
                  .incarnation = peers_.Incarnation(from)};
  entry.executed = false;
  entry.claim.is_status_query = false;
  entry.group = claim.has_group != 0 ? std::optional(claim.group) : std::nullopt;
  entry.dedup_window = std::chrono::milliseconds(claim.window_ms);
  entry.sent = now;
  entry.expires = now + limits_.keep;
}

void PeerMessageHandler::Vote(int to, const ClaimRecord& claim, VoteKind kind, TimePoint now) {
  const VoteRecord vote{
      .key = claim.key, .round = claim.round, .kind = kind, .reference_round = claims_.next_round()};
  peers_.Queue(to, vote, Reply::kNone, now);
}

void PeerMessageHandler::Grant(int to, const ClaimRecord& claim, TimePoint now) {
  Vote(to, claim, claims_.IsRecovering(now) ? VoteKind::kGrantedRecovering : VoteKind::kGranted, now);
}

VoteRecord PeerMessageHandler::AlreadyClaimedVote(const Entry& entry, std::uint32_t round,
                                                  TimePoint now) const {
  const bool claimed_by_peer = entry.state == KeyState::kClaimedByPeer;
  return {.key = entry.key,
          .round = round,
          .kind = VoteKind::kAlreadyClaimed,
          .reference_round = claimed_by_peer ? entry.holder.round : entry.claim.round,
          .holder = claimed_by_peer ? entry.holder.rank : static_cast<std::uint16_t>(identity_.rank),
          .holder_incarnation = claimed_by_peer ? entry.holder.incarnation : identity_.incarnation,
          .phase = entry.ReportedPhase(),
          .has_group = entry.group.has_value(),
          .group = entry.group.value_or(0),
          .age_ms = ToWireMilliseconds(now - entry.sent)};
}

// ---- Votes ----

void PeerMessageHandler::On(int from, const VoteRecord& vote, TimePoint now) {
  Entry* const entry = store_.Find(vote.key);
  if (entry == nullptr || vote.round != entry->claim.round) return;
  EntryStatus status = EntryStatus::kPresent;
  if (entry->state == KeyState::kClaiming) {
    status = OnVoteWhileClaiming(*entry, from, vote, now);
  } else if (entry->state == KeyState::kClaimedByPeer && from == entry->holder.rank &&
             !entry->waiters.empty()) {
    status = OnHolderVote(*entry, from, vote, now);
  }
  if (status == EntryStatus::kPresent) store_.Reschedule(*entry);
}

EntryStatus PeerMessageHandler::OnVoteWhileClaiming(Entry& entry, int from, const VoteRecord& vote,
                                                    TimePoint now) {
  switch (vote.kind) {
    case VoteKind::kGranted:
      entry.claim.confirmed = true;
      return claims_.OnVoteCounted(entry, from, now);
    case VoteKind::kGrantedRecovering:
      return claims_.OnVoteCounted(entry, from, now);
    case VoteKind::kFingerprintMismatch:
      actions_.FailAll(entry, FailureReason::kFingerprintMismatch);
      claims_.WithdrawExcept(entry, from, now);
      store_.Remove(entry);
      return EntryStatus::kRemoved;
    case VoteKind::kNoCapacity:
      claims_.CancelForCapacity(entry, now);
      return EntryStatus::kRemoved;
    case VoteKind::kAlreadyClaimed:
      break;
  }
  const bool is_own_rank = vote.holder == identity_.rank;
  const bool is_own_claim = is_own_rank && vote.holder_incarnation == identity_.incarnation;
  const bool is_withdrawn =
      vote.holder != from &&
      entry.withdrawn.Contain(vote.holder, vote.holder_incarnation, vote.reference_round);
  // The voter's record does not count: it names a claim of this gateway, which is pending or withdrawn, or a
  // claim that its gateway has reported as withdrawn.
  if (is_own_claim || is_withdrawn) return claims_.OnVoteCounted(entry, from, now);
  if (is_own_rank) {
    claims_.RecoverOwnWork(entry, vote, now);
    return EntryStatus::kPresent;
  }
  return OnHolderFound(entry, from, vote, now);
}

EntryStatus PeerMessageHandler::OnHolderFound(Entry& entry, int from, const VoteRecord& vote, TimePoint now) {
  claims_.WithdrawExcept(entry, from, now);
  entry.Apply(KeyEvent::kHolderFound);
  entry.holder = {.rank = vote.holder, .phase = vote.phase, .incarnation = vote.holder_incarnation};
  entry.SetPhase(vote.phase);
  claims_.ApplyPlacement(entry, vote);
  if (from == vote.holder) return OnHolderVote(entry, from, vote, now);
  claims_.QueryHolder(entry, now);
  return EntryStatus::kPresent;
}

// Handles the holder's reply to a status query, or its vote on this gateway's claim.
EntryStatus PeerMessageHandler::OnHolderVote(Entry& entry, int from, const VoteRecord& vote, TimePoint now) {
  switch (vote.kind) {
    case VoteKind::kGranted:
    case VoteKind::kGrantedRecovering:
      return OnHolderWithoutRecord(entry, vote, now);
    case VoteKind::kFingerprintMismatch:
      actions_.FailAll(entry, FailureReason::kFingerprintMismatch);
      return EntryStatus::kPresent;
    case VoteKind::kNoCapacity:
      actions_.RejectAll(entry, kStoreFullRetryAfter);
      return EntryStatus::kPresent;
    case VoteKind::kAlreadyClaimed:
      return OnHolderStatus(entry, from, vote, now);
  }
  return EntryStatus::kPresent;
}

// The holder has no record of the key: its claim is withdrawn, unless the holder has restarted and lost it.
EntryStatus PeerMessageHandler::OnHolderWithoutRecord(Entry& entry, const VoteRecord& vote, TimePoint now) {
  if (peers_.Incarnation(entry.holder.rank) != entry.holder.incarnation) {
    claims_.QueryHolder(entry, now);
    return EntryStatus::kPresent;
  }
  entry.withdrawn = {.rank = entry.holder.rank,
                     .before_round = vote.reference_round,
                     .incarnation = entry.holder.incarnation};
  return claims_.StartClaim(entry, now);
}

EntryStatus PeerMessageHandler::OnHolderStatus(Entry& entry, int from, const VoteRecord& vote,
                                               TimePoint now) {
  if (vote.holder == identity_.rank) {
    // The peer names this gateway as the holder, but this gateway does not hold the key: no gateway does.
    if (vote.holder_incarnation == identity_.incarnation) return claims_.StartClaim(entry, now);
    claims_.RecoverOwnWork(entry, vote, now);
    return EntryStatus::kPresent;
  }
  claims_.ApplyPlacement(entry, vote);
  if (!entry.IsClaimedBy(vote.holder, vote.holder_incarnation)) {
    // Rounds of different gateways can't be compared.
    entry.holder = {.rank = vote.holder, .incarnation = vote.holder_incarnation};
  }
  entry.SetPhase(vote.phase);
  if (vote.holder != from || vote.phase == Phase::kRunning) {
    entry.next_attempt = now + kHolderQueryInterval;
  } else {
    OnHolderPhase(entry, now);
  }
  return EntryStatus::kPresent;
}

// Fetches the response or resumes the work, after the holder's work has ended.
void PeerMessageHandler::OnHolderPhase(Entry& entry, TimePoint now) {
  if (entry.holder.phase == Phase::kCompleted) {
    fetcher_.Request(entry, now);
  } else {
    runner_.Resume(entry, now);
  }
}

void PeerMessageHandler::On(int from, const OutcomeRecord& outcome, TimePoint now) {
  Entry* const entry = store_.Find(outcome.key);
  if (entry == nullptr || !entry->IsClaimedBy(from, peers_.Incarnation(from))) return;
  if (outcome.round < entry->holder.round) return;
  fetcher_.Cancel(*entry);
  if (outcome.withdrawn != 0) {
    if (entry->waiters.empty()) return store_.Remove(*entry);
    const std::uint32_t round = outcome.round == kAnyRound ? entry->holder.round : outcome.round;
    entry->withdrawn = {
        .rank = entry->holder.rank, .before_round = round + 1, .incarnation = entry->holder.incarnation};
    if (claims_.StartClaim(*entry, now) == EntryStatus::kPresent) store_.Reschedule(*entry);
    return;
  }
  entry->SetPhase(outcome.phase);
  if (entry->waiters.empty()) return;
  if (outcome.phase != Phase::kRunning) OnHolderPhase(*entry, now);
  store_.Reschedule(*entry);
}

// ---- Transfer of responses ----

void PeerMessageHandler::On(int from, const FetchRecord& fetch, TimePoint now) {
  const Entry* const entry = store_.Find(fetch.key);
  if (entry != nullptr && entry->has_response) return fetcher_.SendFragments(from, *entry, fetch, now);
  OutcomeRecord outcome{.key = fetch.key, .round = kAnyRound, .withdrawn = 1};
  if (entry != nullptr) {
    outcome.withdrawn = 0;
    outcome.phase = entry->ReportedPhase();
    outcome.age_ms = ToWireMilliseconds(now - entry->sent);
  }
  peers_.Queue(from, outcome, Reply::kNone, now);
}

void PeerMessageHandler::On(int from, const FragmentRecord& fragment, TimePoint now) {
  Entry* const entry = store_.Find(fragment.key);
  if (entry == nullptr || entry->state != KeyState::kClaimedByPeer) return;
  if (!entry->assembly.active || entry->holder.rank != from) return;
  switch (fetcher_.OnFragment(*entry, fragment, now)) {
    case FetchProgress::kIgnored:
      return;
    case FetchProgress::kIncomplete:
      break;
    case FetchProgress::kNoCapacity:
      // The work was executed, so only an upstream that drops repeats can return its response.
      runner_.Resume(*entry, now);
      break;
    case FetchProgress::kComplete:
      OnResponseFetched(*entry, from);
      break;
  }
  store_.Reschedule(*entry);
}

void PeerMessageHandler::OnResponseFetched(Entry& entry, int from) {
  ++counts_.fetched;
  entry.executed = true;
  entry.claim.recipients.Add(from);
  entry.Apply(KeyEvent::kResponseFetched);
  store_.CommitResponse(entry);
  actions_.CompleteAll(entry, std::string(entry.response));
}

}  // namespace postspread::idempotency
