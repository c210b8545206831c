// Handles the records that peers send: their claims, votes and outcomes, and the transfer of responses.
#ifndef POSTSPREAD_IDEMPOTENCY_PEER_MESSAGES_H_
#define POSTSPREAD_IDEMPOTENCY_PEER_MESSAGES_H_

#include <cstdint>

#include "idempotency/action_writer.h"
#include "idempotency/answer_fetcher.h"
#include "idempotency/claim_protocol.h"
#include "idempotency/counts.h"
#include "idempotency/entry.h"
#include "idempotency/limits.h"
#include "idempotency/peers.h"
#include "idempotency/store.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"
#include "idempotency/work_runner.h"

namespace postspread::idempotency {

class PeerMessageHandler {
 public:
  struct Collaborators {
    IdempotencyStore& store;
    Peers& peers;
    ResponseFetcher& fetcher;
    WorkRunner& runner;
    ClaimProtocol& claims;
    ActionWriter& actions;
    Counts& counts;
  };
  PeerMessageHandler(const Limits& limits, const GatewayIdentity& identity,
                     const Collaborators& collaborators);

  void Handle(int from, const Record& record, TimePoint now);

 private:
  void On(int from, const ClaimRecord& claim, TimePoint now);
  void On(int from, const VoteRecord& vote, TimePoint now);
  void On(int from, const OutcomeRecord& outcome, TimePoint now);
  void On(int from, const FetchRecord& fetch, TimePoint now);
  void On(int from, const FragmentRecord& fragment, TimePoint now);

  // Handle a peer's claim of a key: one that this gateway has no record of, one that the peer already holds,
  // or one that this gateway also claims while the peer takes precedence.
  void OnFirstClaim(int from, const ClaimRecord& claim, TimePoint now);
  void OnHolderClaim(Entry& entry, int from, const ClaimRecord& claim, TimePoint now);
  void OnPrecedingClaim(Entry& entry, int from, const ClaimRecord& claim, TimePoint now);
  void RecordHolder(Entry& entry, int from, const ClaimRecord& claim, TimePoint now);
  void Vote(int to, const ClaimRecord& claim, VoteKind kind, TimePoint now);
  void Grant(int to, const ClaimRecord& claim, TimePoint now);
  [[nodiscard]] VoteRecord AlreadyClaimedVote(const Entry& entry, std::uint32_t round, TimePoint now) const;

  [[nodiscard]] EntryStatus OnVoteWhileClaiming(Entry& entry, int from, const VoteRecord& vote,
                                                TimePoint now);
  [[nodiscard]] EntryStatus OnHolderFound(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryStatus OnHolderVote(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryStatus OnHolderWithoutRecord(Entry& entry, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryStatus OnHolderStatus(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  void OnHolderPhase(Entry& entry, TimePoint now);
  void OnResponseFetched(Entry& entry, int from);

  const Limits& limits_;
  GatewayIdentity identity_;
  IdempotencyStore& store_;
  Peers& peers_;
  ResponseFetcher& fetcher_;
  WorkRunner& runner_;
  ClaimProtocol& claims_;
  ActionWriter& actions_;
  Counts& counts_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PEER_MESSAGES_H_
