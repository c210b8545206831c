// Handles the records that peers send: their claims, votes and outcomes, and the transfer of answers.
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
    AnswerFetcher& fetcher;
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

  // A peer's claim of a key that is not known here, that it holds already, or that is claimed here too.
  void OnFirstClaim(int from, const ClaimRecord& claim, TimePoint now);
  void OnHolderClaim(Entry& entry, int from, const ClaimRecord& claim, TimePoint now);
  void OnPrecedingClaim(Entry& entry, int from, const ClaimRecord& claim, TimePoint now);
  void RecordHolder(Entry& entry, int from, const ClaimRecord& claim, TimePoint now);
  void Vote(int to, const ClaimRecord& claim, VoteKind kind, TimePoint now);
  void Grant(int to, const ClaimRecord& claim, TimePoint now);
  [[nodiscard]] VoteRecord AlreadyClaimedVote(const Entry& entry, std::uint32_t round, TimePoint now) const;

  [[nodiscard]] EntryFate OnVoteWhileClaiming(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryFate OnHolderFound(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryFate OnHolderVote(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryFate OnHolderForgot(Entry& entry, const VoteRecord& vote, TimePoint now);
  [[nodiscard]] EntryFate OnHolderStatus(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  void OnHolderPhase(Entry& entry, TimePoint now);
  void OnAnswerFetched(Entry& entry, int from);

  const Limits& limits_;
  GatewayIdentity identity_;
  IdempotencyStore& store_;
  Peers& peers_;
  AnswerFetcher& fetcher_;
  WorkRunner& runner_;
  ClaimProtocol& claims_;
  ActionWriter& actions_;
  Counts& counts_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PEER_MESSAGES_H_
