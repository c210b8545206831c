// Recognises repeats of keyed requests: decides which is begun, which waits for another's answer, which gets
// an answer that is held already, and which may not be sent at all. Free of I/O and clock: the caller hands
// in the time, carries out the actions, and tells what came of them. docs/idempotency-design.md weighs the
// ways; docs/idempotency.md is the operators' page.
//
// Promise: of all requests under one key that reach the gateways of a group within `keep` of the first,
// no two are sent where both could be applied, as long as (a) the one that holds the key or one that was
// asked about it lives, and (b) the upstreams of a pod drop repeats for the window that the class names.
// What holds when each of these fails is in docs/idempotency.md.
//
// State table of a key (all other pairs change nothing):
//
//   state      event                          next       what is done
//   -          new, room, peers to ask        asking     ClaimRecord to each of its witnesses
//   -          new, room, nobody to ask       running    Start, pinned to the key's pod
//   -          new, no room                   -          Defer, or Pass
//   asking     all witnesses are clear        running    Start
//   asking     one holds it                   elsewhere  its holder is followed
//   asking     one has no room; time is over  -          Defer; the claim is withdrawn
//   asking     a peer asks, and goes first    elsewhere  votes clear; our claim is withdrawn
//   asking,running   repeat                   same       it waits
//   running    served                         answered   Serve to all that wait
//   running    refused, no earlier attempt    -          Defer to all; the claim is withdrawn
//   running    refused, an earlier attempt    unknown    Defer to all
//   running    failed                         unknown    Fail to the one; goes on for one that waits
//   running    a waiter's time is over        running    Fail(unknown) to it
//   running    nobody waits any more          running    goes on
//   answered   repeat                         answered   Serve at once
//   answered   its answer made room           answered   repeat: within the window to the pod, else Fail
//   unknown    repeat within the window       running    Start, pinned, the earlier attempt handed on
//   unknown    repeat after it                unknown    Fail(unknown)
//   elsewhere  repeat                         elsewhere  the holder is asked: runs: waits and asks again;
//                                                        answered: the answer is fetched; unknown, or the
//                                                        holder is gone: as unknown; knows nothing: asking
//   any        another request's key          same       Fail(other)
//   all but running: `keep` is over           -          forgotten
#ifndef POSTSPREAD_IDEMPOTENCY_REPLICA_H_
#define POSTSPREAD_IDEMPOTENCY_REPLICA_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "idempotency/limits.h"
#include "idempotency/peers.h"
#include "idempotency/store.h"
#include "idempotency/types.h"

namespace postspread::idempotency {

// The actions hold until the next call.
using Actions = std::span<const Action>;

class IdempotencyReplica {
 public:
  struct Identity {
    int rank = 0;
    int group_size = 1;
    bool has_peers = false;         // datagrams can be sent to them
    std::uint64_t incarnation = 0;  // higher than at any earlier start
  };
  IdempotencyReplica(const Limits& limits, Identity identity, TimePoint now);

  // Takes on new limits, but for `enabled` and `memory`.
  void SetLimits(const Limits& limits);
  // See Peers::SetView.
  void SetView(std::vector<Peers::Seen> view) { peers_.SetView(std::move(view)); }

  // The pods that the endpoint list shows now.
  void SetPods(std::vector<Pod> pods) { pods_ = std::move(pods); }

  Actions Begin(const Ask& ask, TimePoint now);
  // The work begun by Start for this waiter is over; `value` with kServed; `retry_after` with kRefused.
  Actions OnWorkFinished(WaiterId waiter, End end, std::string value, Duration retry_after, TimePoint now);
  // Whether this waiter's request runs under a key, so that its end is wanted here.
  bool Runs(WaiterId waiter);
  // Whether this waiter's request runs or waits here.
  bool IsTracking(WaiterId waiter) { return store_.FindByWaiter(waiter) != nullptr; }
  // Nobody waits for this waiter's answer any more.
  Actions OnClientDisconnect(WaiterId waiter, TimePoint now);
  // A datagram has come from the peer of this rank.
  Actions Received(int from, std::string_view datagram, TimePoint now);
  Actions Tick(TimePoint now);
  std::optional<TimePoint> NextTick();

  const Counts& counts();
  std::size_t used() const { return store_.used(); }
  std::size_t peak() const { return store_.peak(); }
  std::size_t bound() const { return store_.bound(); }
  std::size_t size() const { return store_.size(); }

 private:
  void Act(Action action) { actions_.push_back(std::move(action)); }
  Actions Done(TimePoint now);

  // The steps of the table. Those that return false have removed the entry.
  bool Follow(Entry& entry, TimePoint now);  // what becomes of its waiters, by its state
  bool AskPeers(Entry& entry, TimePoint now);
  void AskAgain(Entry& entry, TimePoint now);
  bool AskHolder(Entry& entry, TimePoint now);
  void Fetch(Entry& entry, TimePoint now);
  void StopFetch(Entry& entry);
  bool Settle(Entry& entry, TimePoint now);
  void Run(Entry& entry, bool may_have_run, TimePoint now);
  void Resume(Entry& entry, TimePoint now);
  void TakeOver(Entry& entry, const VoteRecord& vote, TimePoint now);
  void Withdraw(const Entry& entry, int except, TimePoint now);
  void TellOutcome(const Entry& entry, Phase phase, TimePoint now);
  bool EndTimeout(Entry& entry, TimePoint now);
  void Refuse(Entry& entry, TimePoint now);  // no room for it: by when_full

  void ServeAll(Entry& entry, std::string value);
  void DeferAll(Entry& entry, Duration retry_after);
  void FailAll(Entry& entry, FailureReason reason);
  void EndWaiter(const Waiter& waiter, Action answer);
  void FailOne(const Waiter& waiter, FailureReason reason);
  void File(Entry& entry);  // under the time at which it wants attention next

  void On(int from, const ClaimRecord& claim, TimePoint now);
  void On(int from, const VoteRecord& vote, TimePoint now);
  void On(int from, const OutcomeRecord& outcome, TimePoint now);
  void On(int from, const FetchRecord& fetch, TimePoint now);
  void On(int from, const FragmentRecord& fragment, TimePoint now);
  bool OnVoteAsking(Entry& entry, int from, const VoteRecord& vote, TimePoint now);
  bool OnVoteFollowing(Entry& entry, int from, const VoteRecord& vote, TimePoint now);

  bool Recovering(TimePoint now) const { return now - start_ < limits_.keep; }
  bool GoesFirst(const KeyId& key, int rank) const;
  bool Lost(const Entry& entry, TimePoint now) const;  // its holder is away, or not in that life any more
  // The others of the customer's gateways that are to note the key down, as bits: of those that live, the
  // first by rendezvous, this one counted too. All that ask for a key ask the same ones.
  RankSet Replicas(const Entry& entry, TimePoint now) const;
  std::optional<Pod> HomePod(const KeyId& key) const;
  Duration AskEvery() const;
  Verdict Clear(TimePoint now) const;
  TimePoint SentBy(const Entry& entry, const VoteRecord& vote) const;
  ClaimRecord ToClaim(const Entry& entry) const;
  VoteRecord ToHeld(const Entry& entry, std::uint32_t round, TimePoint now) const;

  Limits limits_;
  Identity identity_;
  TimePoint start_;
  IdempotencyStore store_;
  Peers peers_;
  std::vector<Pod> pods_;
  std::vector<Action> actions_;
  std::uint32_t next_round_ = 1;
  std::uint64_t values_unkept_ = 0;  // answers that never found room
  Counts counts_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_REPLICA_H_
