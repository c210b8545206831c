// Recognises repeats of requests with an idempotency key: decides which request is started, which waits for
// another's answer, and which gets an answer that is stored already. Free of I/O and clock: the caller hands
// in the time, executes the actions, and reports what came of them. docs/idempotency-design.md weighs the
// design; docs/idempotency.md is the operators' page.
//
// Promise: of all requests under one key that reach the gateways of a group within `keep` of the first, no
// two are sent where both could be executed, as long as (a) the key's holder or a replica that recorded its
// claim lives, and (b) the upstreams of a group drop repeats for the class's deduplication window. What holds
// when either fails is in docs/idempotency.md.
//
// A key's life (the states and transitions are the table in key_state.h):
//
//   state           event                           what is done
//   none            request, room                   claim the key at its replicas; start where there are none
//   none            request, no room                reject, or start unprotected
//   claiming        all replicas granted            start
//   claiming        a replica names a holder        query the holder
//   claiming        no room at a replica, time out  reject; withdraw the claim
//   claiming        a preceding claim of a peer     grant it; withdraw our own
//   claiming, running   repeat                      it waits
//   running         served                          complete all waiters
//   running         rejected, first attempt         reject all waiters; withdraw the claim and forget the key
//   running         rejected, resumed attempt       reject all waiters
//   running         failed                          fail its own waiter; resume for the others
//   running         a waiter's deadline             fail it: outcome unknown; the work goes on
//   answered        repeat                          complete it; where the answer was evicted, resume
//   unknown         repeat                          resume: send to the same group within the window, else
//   fail held by peer    repeat                          query the holder until its work ends; then fetch the
//   answer,
//                                                   or resume where there is none or the holder is gone
//   any             request, other fingerprint      fail it: fingerprint mismatch
//   all but running expiry                          forget the key
#ifndef POSTSPREAD_IDEMPOTENCY_REPLICA_H_
#define POSTSPREAD_IDEMPOTENCY_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "idempotency/action_writer.h"
#include "idempotency/answer_fetcher.h"
#include "idempotency/claim_protocol.h"
#include "idempotency/counts.h"
#include "idempotency/limits.h"
#include "idempotency/peer_messages.h"
#include "idempotency/peers.h"
#include "idempotency/store.h"
#include "idempotency/types.h"
#include "idempotency/work_runner.h"

namespace postspread::idempotency {

// The actions are valid until the next call.
using Actions = std::span<const Action>;

class IdempotencyReplica {
 public:
  using Identity = GatewayIdentity;
  IdempotencyReplica(const Limits& limits, const Identity& identity, TimePoint now);
  // Its parts refer to each other.
  IdempotencyReplica(const IdempotencyReplica&) = delete;
  IdempotencyReplica& operator=(const IdempotencyReplica&) = delete;

  // Applies new limits, but for `enabled` and `memory`.
  void SetLimits(const Limits& limits);
  // See Peers::SetView.
  void SetView(std::vector<Peers::Seen> view) { peers_.SetView(std::move(view)); }
  // The groups that the endpoint list shows now.
  void SetUpstreamGroups(std::vector<UpstreamGroup> groups) { groups_ = std::move(groups); }

  Actions Begin(const KeyedRequest& request, TimePoint now);
  // The request started for this waiter has ended; `value` with kServed, `retry_after` with kRejected.
  Actions OnWorkFinished(WaiterId waiter, WorkResult result, std::string value, Duration retry_after,
                         TimePoint now);
  // Nobody waits for this waiter's answer any more.
  Actions OnClientDisconnect(WaiterId waiter, TimePoint now);
  // A datagram has arrived from the peer of this rank.
  Actions Received(int from, std::string_view datagram, TimePoint now);
  // To be called by the time that NextTick names; nothing: no call is due.
  Actions Tick(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTick();

  // Whether this waiter's request is the one that runs under its key, so that its end must be reported here.
  [[nodiscard]] bool Runs(WaiterId waiter);
  // Whether this waiter's request runs or waits here.
  [[nodiscard]] bool IsTracking(WaiterId waiter) { return store_.FindByWaiter(waiter) != nullptr; }

  [[nodiscard]] const Counts& counts();
  // Bytes of the store: in use, in use at most so far, and the bound.
  [[nodiscard]] std::size_t used() const { return store_.used(); }
  [[nodiscard]] std::size_t peak() const { return store_.peak(); }
  [[nodiscard]] std::size_t bound() const { return store_.bound(); }
  // Keys.
  [[nodiscard]] std::size_t size() const { return store_.size(); }

 private:
  // Sends what the pace to the peers allows, and returns the call's actions.
  Actions Finish(TimePoint now);

  void BeginNewKey(const KeyedRequest& request, const Waiter& waiter, TimePoint now);
  void BeginRepeat(Entry& entry, const KeyedRequest& request, const Waiter& waiter, TimePoint now);
  void JoinWaiters(Entry& entry, TimePoint now);
  [[nodiscard]] Entry* AddEntry(const KeyedRequest& request, const Waiter& waiter);
  void OnStoreFull(const Waiter& waiter);

  void OnServed(Entry& entry, std::string value, TimePoint now);
  void OnNeverRan(Entry& entry, Duration retry_after, TimePoint now);
  void OnFailed(Entry& entry, WaiterId waiter, TimePoint now);
  void LoseOutcome(Entry& entry, TimePoint now);

  void Attend(Entry& entry, TimePoint now);
  [[nodiscard]] EntryFate ExpireWaiters(Entry& entry, TimePoint now);
  void Expire(Entry& entry, TimePoint now);
  void PollHolder(Entry& entry, TimePoint now);

  Limits limits_;
  Counts counts_;
  std::uint64_t values_never_stored_ = 0;
  IdempotencyStore store_;
  Peers peers_;
  std::vector<UpstreamGroup> groups_;
  ActionWriter actions_;
  AnswerFetcher fetcher_;
  WorkRunner runner_;
  ClaimProtocol claims_;
  PeerMessageHandler messages_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_REPLICA_H_
