#include "idempotency/replica.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "idempotency/placement.h"
#include "idempotency/timing.h"

namespace postspread::idempotency {

IdempotencyReplica::IdempotencyReplica(const Limits& limits, const Identity& identity, TimePoint now)
    : limits_(limits),
      store_(limits.memory, limits.customer_quota),
      peers_(identity.rank, identity.group_size, identity.incarnation, limits),
      actions_(store_, counts_),
      fetcher_(limits_, store_, peers_),
      runner_(limits_, fetcher_, actions_, counts_),
      claims_(limits_, identity, now,
              {.store = store_,
               .peers = peers_,
               .fetcher = fetcher_,
               .runner = runner_,
               .actions = actions_,
               .counts = counts_}),
      messages_(limits_, identity,
                {.store = store_,
                 .peers = peers_,
                 .fetcher = fetcher_,
                 .runner = runner_,
                 .claims = claims_,
                 .actions = actions_,
                 .counts = counts_}) {}

void IdempotencyReplica::SetLimits(const Limits& limits) {
  const std::size_t memory = std::exchange(limits_, limits).memory;
  limits_.memory = memory;
  store_.SetCustomerQuota(limits_.customer_quota);
  peers_.SetLimits(limits_);
}

Actions IdempotencyReplica::Finish(TimePoint now) {
  peers_.Flush(now, [this](int rank, std::string bytes) {
    ++counts_.datagrams_sent;
    actions_.Add(SendDatagram{rank, std::move(bytes)});
  });
  return actions_.actions();
}

const Counts& IdempotencyReplica::counts() {
  counts_.records_dropped = peers_.dropped();
  counts_.values_evicted = store_.responses_evicted() + responses_never_stored_;
  return counts_;
}

bool IdempotencyReplica::IsRunning(WaiterId waiter) {
  const Entry* const entry = store_.FindByWaiter(waiter);
  return entry != nullptr && entry->IsRunning(waiter);
}

// ---- A request arrives ----

Actions IdempotencyReplica::Begin(const KeyedRequest& request, TimePoint now) {
  actions_.Clear();
  const Waiter waiter{request.waiter, request.deadline, request.work};
  if (Entry* const entry = store_.Find(request.key)) {
    BeginRepeat(*entry, request, waiter, now);
  } else {
    BeginNewKey(request, waiter, now);
  }
  return Finish(now);
}

void IdempotencyReplica::BeginRepeat(Entry& entry, const KeyedRequest& request, const Waiter& waiter,
                                     TimePoint now) {
  if (entry.fingerprint != request.fingerprint) {
    return actions_.Fail(waiter, FailureReason::kFingerprintMismatch);
  }
  if (entry.has_response) {
    ++counts_.replayed;
    return actions_.Complete(waiter, std::make_shared<std::string>(entry.response));
  }
  if (entry.waiters.size() >= limits_.max_waiters || !store_.AddWaiter(entry, waiter)) {
    ++counts_.full_rejected;
    return actions_.Reject(waiter, kStoreFullRetryAfter);
  }
  JoinWaiters(entry, now);
  store_.Reschedule(entry);
}

// Handles a new waiter for this key; the next step depends on the key's state.
void IdempotencyReplica::JoinWaiters(Entry& entry, TimePoint now) {
  switch (entry.state) {
    case KeyState::kNew:
      return;
    case KeyState::kClaiming:
    case KeyState::kRunning:
      ++counts_.joined;
      return;
    case KeyState::kCompleted:
    case KeyState::kUnknownOutcome:
      return runner_.Resume(entry, now);
    case KeyState::kClaimedByPeer:
      if (!entry.assembly.active) claims_.QueryHolder(entry, now);
      return;
  }
}

void IdempotencyReplica::BeginNewKey(const KeyedRequest& request, const Waiter& waiter, TimePoint now) {
  std::optional<UpstreamGroup> group;
  if (request.sticky) {
    group = HomeGroup(request.key, groups_);
    if (!group) return actions_.Reject(waiter, kNoUpstreamRetryAfter);
  }
  Entry* const entry = AddEntry(request, waiter);
  if (entry == nullptr) return OnStoreFull(waiter);
  entry->fingerprint = request.fingerprint;
  entry->dedup_window = request.dedup_window;
  if (group) entry->group = group->id;
  entry->sent = now;
  entry->expires = now + limits_.keep;
  if (claims_.StartClaim(*entry, now) == EntryStatus::kPresent) store_.Reschedule(*entry);
}

Entry* IdempotencyReplica::AddEntry(const KeyedRequest& request, const Waiter& waiter) {
  Entry* const entry = store_.Add(request.key, request.customer);
  if (entry == nullptr || store_.AddWaiter(*entry, waiter)) return entry;
  store_.Remove(*entry);
  return nullptr;
}

void IdempotencyReplica::OnStoreFull(const Waiter& waiter) {
  if (limits_.when_full == WhenFull::kStartUnprotected) {
    ++counts_.full_unprotected;
    actions_.StartUnprotected(waiter);
  } else {
    ++counts_.full_rejected;
    actions_.Reject(waiter, kStoreFullRetryAfter);
  }
}

// ---- The work on a key ends ----

Actions IdempotencyReplica::OnWorkFinished(WaiterId waiter, WorkResult result, std::string value,
                                           Duration retry_after, TimePoint now) {
  actions_.Clear();
  Entry* const entry = store_.FindByWaiter(waiter);
  if (entry == nullptr || !entry->IsRunning(waiter)) return Finish(now);
  entry->running.waiter = 0;
  switch (result) {
    case WorkResult::kServed:
      OnServed(*entry, std::move(value), now);
      break;
    case WorkResult::kRejected:
      OnRejected(*entry, retry_after, now);
      break;
    case WorkResult::kFailed:
      OnFailed(*entry, waiter, now);
      break;
  }
  return Finish(now);
}

void IdempotencyReplica::OnServed(Entry& entry, std::string value, TimePoint now) {
  entry.executed = true;
  entry.Apply(KeyEvent::kServed);
  if (value.size() <= kMaxResponseBytes && store_.ReserveResponse(entry, value.size())) {
    entry.response.assign(value);
    store_.CommitResponse(entry);
  } else {
    ++responses_never_stored_;
  }
  claims_.AnnounceOutcome(entry, now);
  actions_.CompleteAll(entry, std::move(value));
  store_.Reschedule(entry);
}

void IdempotencyReplica::OnRejected(Entry& entry, Duration retry_after, TimePoint now) {
  if (!entry.running.resumed) {
    actions_.RejectAll(entry, retry_after);
    return claims_.CancelClaim(entry, now);
  }
  RecordLostOutcome(entry, now);
  actions_.RejectAll(entry, retry_after);
  store_.Reschedule(entry);
}

// Fails the waiter whose request failed, and resumes the work for the others, which may have time left.
void IdempotencyReplica::OnFailed(Entry& entry, WaiterId waiter, TimePoint now) {
  RecordLostOutcome(entry, now);
  const auto own = std::find_if(entry.waiters.begin(), entry.waiters.end(),
                                [waiter](const Waiter& candidate) { return candidate.id == waiter; });
  const Waiter failed = *own;
  store_.RemoveWaiter(entry, waiter);
  actions_.Fail(failed, entry.LossReason());
  runner_.Resume(entry, now);
  store_.Reschedule(entry);
}

void IdempotencyReplica::RecordLostOutcome(Entry& entry, TimePoint now) {
  entry.Apply(entry.executed ? KeyEvent::kExecutedResponseLost : KeyEvent::kOutcomeLost);
  claims_.AnnounceOutcome(entry, now);
}

// ---- A client disconnects ----

Actions IdempotencyReplica::OnClientDisconnect(WaiterId id, TimePoint now) {
  actions_.Clear();
  Entry* const entry = store_.FindByWaiter(id);
  if (entry == nullptr) return Finish(now);
  if (entry->IsRunning(id)) {
    for (Waiter& waiter : entry->waiters)
      waiter.client_disconnected = waiter.client_disconnected || waiter.id == id;
    return Finish(now);
  }
  store_.RemoveWaiter(*entry, id);
  actions_.Add(ReleaseRequest{id});
  if (entry->waiters.empty() && entry->state == KeyState::kClaiming) {
    claims_.CancelClaim(*entry, now);
    return Finish(now);
  }
  if (entry->waiters.empty()) fetcher_.Cancel(*entry);
  store_.Reschedule(*entry);
  return Finish(now);
}

// ---- Datagrams ----

Actions IdempotencyReplica::HandleDatagram(int from, std::string_view datagram, TimePoint now) {
  actions_.Clear();
  const std::optional<Datagram> decoded = DecodeDatagram(datagram);
  if (!decoded || decoded->header.rank != from ||
      !peers_.OnDatagram(from, decoded->header.incarnation, now)) {
    ++counts_.datagrams_invalid;
    return Finish(now);
  }
  ++counts_.datagrams_received;
  for (const Record& record : decoded->records) messages_.Handle(from, record, now);
  return Finish(now);
}

// ---- Timers ----

Actions IdempotencyReplica::Tick(TimePoint now) {
  actions_.Clear();
  while (Entry* const entry = store_.NextDue()) {
    if (entry->due > now) break;
    ProcessDue(*entry, now);
  }
  return Finish(now);
}

std::optional<TimePoint> IdempotencyReplica::NextTick() {
  std::optional<TimePoint> next = peers_.NextFlush();
  if (const Entry* const first = store_.NextDue())
    next = std::min(next.value_or(TimePoint::max()), first->due);
  return next == TimePoint::max() ? std::nullopt : next;
}

// Processes what is due for a key: its waiters' deadlines, its expiry, and queries to peers.
void IdempotencyReplica::ProcessDue(Entry& entry, TimePoint now) {
  if (ExpireWaiters(entry, now) == EntryStatus::kRemoved) return;
  if (entry.state != KeyState::kRunning && now >= entry.expires) return Expire(entry, now);
  if (now >= entry.next_attempt) {
    if (entry.state == KeyState::kClaiming) {
      if (claims_.RetryClaim(entry, now) == EntryStatus::kRemoved) return;
    } else if (entry.state == KeyState::kClaimedByPeer && !entry.waiters.empty()) {
      RetryHolderRequest(entry, now);
    }
  }
  store_.Reschedule(entry);
}

// Ends the waiters whose deadline has passed, except the one whose request runs: the caller reports its end.
EntryStatus IdempotencyReplica::ExpireWaiters(Entry& entry, TimePoint now) {
  for (std::size_t i = entry.waiters.size(); i-- > 0;) {
    const Waiter waiter = entry.waiters[i];
    if (waiter.deadline > now || entry.IsRunning(waiter.id)) continue;
    store_.RemoveWaiter(entry, waiter.id);
    if (entry.state == KeyState::kClaiming) {
      actions_.Reject(waiter, kVoteMissingRetryAfter);  // no request was sent to an upstream
    } else {
      actions_.Fail(waiter, entry.LossReason());
    }
  }
  if (!entry.waiters.empty()) return EntryStatus::kPresent;
  if (entry.state == KeyState::kClaiming) {
    claims_.CancelClaim(entry, now);
    return EntryStatus::kRemoved;
  }
  fetcher_.Cancel(entry);
  return EntryStatus::kPresent;
}

void IdempotencyReplica::Expire(Entry& entry, TimePoint now) {
  actions_.FailAll(entry, FailureReason::kUnknownOutcome);
  if (entry.state == KeyState::kClaiming) claims_.Withdraw(entry, now);
  store_.Remove(entry);
}

void IdempotencyReplica::RetryHolderRequest(Entry& entry, TimePoint now) {
  if (entry.assembly.active && !claims_.IsHolderLost(entry, now)) return fetcher_.Request(entry, now);
  fetcher_.Cancel(entry);
  claims_.QueryHolder(entry, now);
}

}  // namespace postspread::idempotency
