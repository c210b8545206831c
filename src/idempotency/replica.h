// Recognises repeats of requests with an idempotency key. The replica decides which request is started, which
// waits for another request's response, and which receives a stored response. It does no I/O and reads no
// clock: the caller passes the time, executes the actions, and reports their results.
// docs/idempotency-design.md explains the design; docs/idempotency.md is the operators' page.
//
// Guarantee: of all requests with one key that reach the gateways of a group within `keep` of the first, no
// two are sent where both could be executed, as long as (a) the key's holder, which is the gateway that
// claimed it, or a replica that recorded its claim is alive, and (b) the upstreams of a group drop repeats
// for the class's deduplication window. docs/idempotency.md describes what holds if either condition fails.
//
// How the replica handles a key (the table in key_state.h lists the states and transitions):
//
//   state              event                       reaction
//   none               request, capacity           claim the key at its replicas; start if there are none
//   none               request, no capacity        reject, or start without deduplication
//   claiming           all replicas granted        start
//   claiming           a replica names a holder    query the holder
//   claiming           a replica has no capacity   as for a full store; withdraw the claim
//   claiming           a waiter's deadline         reject it; after the last waiter, withdraw the claim
//   claiming           a preceding peer claim      grant it; withdraw this gateway's claim
//   claiming, running  repeat                      the repeat waits
//   running            served                      complete all waiters
//   running            rejected, first attempt     reject all waiters; withdraw the claim, remove the key
//   running            rejected, resumed           reject all waiters
//   running            failed                      fail the attempt's waiter; resume for the others
//   running            a waiter's deadline         fail it (unknown outcome); the work continues
//   completed          repeat                      complete it; resume if the response was evicted
//   unknown outcome    repeat                      within the window resume in the same group, else fail
//   claimed by peer    repeat                      query the holder; after its work, fetch the response
//   claimed by peer    no response or holder lost  resume
//   any                request, other fingerprint  fail it: fingerprint mismatch
//   all but running    expiry                      remove the key
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
  // The members hold references to each other, so the replica cannot be copied.
  IdempotencyReplica(const IdempotencyReplica&) = delete;
  IdempotencyReplica& operator=(const IdempotencyReplica&) = delete;

  // Applies new limits, except `enabled` and `memory`.
  void SetLimits(const Limits& limits);
  // See Peers::SetView.
  void SetView(std::vector<Peers::ViewedPeer> view) { peers_.SetView(std::move(view)); }
  // Sets the groups of the current endpoint list.
  void SetUpstreamGroups(std::vector<UpstreamGroup> groups) { groups_ = std::move(groups); }

  Actions Begin(const KeyedRequest& request, TimePoint now);
  // Handles the end of the request that was started for this waiter. `value` is given with kServed,
  // `retry_after` with kRejected.
  Actions OnWorkFinished(WaiterId waiter, WorkResult result, std::string value, Duration retry_after,
                         TimePoint now);
  // Handles the disconnect of this waiter's client, which needs no response any more.
  Actions OnClientDisconnect(WaiterId waiter, TimePoint now);
  // Handles a datagram from the peer of this rank.
  Actions HandleDatagram(int from, std::string_view datagram, TimePoint now);
  // Runs the timers that are due. The caller calls it at the time that NextTick returns; nullopt means that
  // no call is due.
  Actions Tick(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTick();

  // Returns whether this waiter's request is the one that runs for its key. The caller must report its end.
  [[nodiscard]] bool IsRunning(WaiterId waiter);
  // Returns whether this waiter's request runs or waits in this replica.
  [[nodiscard]] bool IsTracking(WaiterId waiter) { return store_.FindByWaiter(waiter) != nullptr; }

  [[nodiscard]] const Counts& counts();
  // Return bytes of the store: currently in use, the maximum in use so far, and the limit.
  [[nodiscard]] std::size_t used() const { return store_.used(); }
  [[nodiscard]] std::size_t peak() const { return store_.peak(); }
  [[nodiscard]] std::size_t bound() const { return store_.bound(); }
  // Returns the number of keys in the store.
  [[nodiscard]] std::size_t size() const { return store_.size(); }

 private:
  // Sends the datagrams that the rate limit allows, and returns the call's actions.
  Actions Finish(TimePoint now);

  void BeginNewKey(const KeyedRequest& request, const Waiter& waiter, TimePoint now);
  void BeginRepeat(Entry& entry, const KeyedRequest& request, const Waiter& waiter, TimePoint now);
  void JoinWaiters(Entry& entry, TimePoint now);
  [[nodiscard]] Entry* AddEntry(const KeyedRequest& request, const Waiter& waiter);
  void OnStoreFull(const Waiter& waiter);

  void OnServed(Entry& entry, std::string value, TimePoint now);
  void OnRejected(Entry& entry, Duration retry_after, TimePoint now);
  void OnFailed(Entry& entry, WaiterId waiter, TimePoint now);
  void RecordLostOutcome(Entry& entry, TimePoint now);

  void ProcessDue(Entry& entry, TimePoint now);
  [[nodiscard]] EntryStatus ExpireWaiters(Entry& entry, TimePoint now);
  void Expire(Entry& entry, TimePoint now);
  void RetryHolderRequest(Entry& entry, TimePoint now);

  Limits limits_;
  Counts counts_;
  std::uint64_t responses_never_stored_ = 0;
  IdempotencyStore store_;
  Peers peers_;
  std::vector<UpstreamGroup> groups_;
  ActionWriter actions_;
  ResponseFetcher fetcher_;
  WorkRunner runner_;
  ClaimProtocol claims_;
  PeerMessageHandler messages_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_REPLICA_H_
