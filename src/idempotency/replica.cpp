#include "idempotency/replica.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <utility>

#include "idempotency/digest.h"

namespace postspread::idempotency {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr Duration kLeastAskEvery{50'000};  // between two questions on one key: some ways there and back
constexpr double kAskEveryDatagrams = 3;    // and so many datagrams' time at the pace to a peer
constexpr Duration kFollowEvery{100'000};   // between two questions to a holder whose work runs
constexpr Duration kFullRetry{1'000'000};   // advice where the store is full: answers age in seconds
constexpr Duration kNoPodRetry{500'000};    // advice where no upstream takes anything
constexpr Duration kSoonRetry{100'000};     // advice where a peer's word was still missing
// Of a pod's window, at its end: what a request may take from here to the pod. Later than that none is begun.
constexpr Duration kOnTheWay{50'000};
constexpr std::uint32_t kAnyRound = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kPodPlace = 1;  // apart: places of pods and of gateways
constexpr std::uint64_t kRankPlace = 2;
constexpr std::uint16_t kFetchWindow = 32;  // fragments asked for at once: the bits of a FetchRecord

std::uint32_t ToMs(Duration span) {
  const auto ms = duration_cast<milliseconds>(std::max(Duration(0), span)).count();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(ms, std::numeric_limits<std::uint32_t>::max()));
}

Phase PhaseOf(const Entry& entry) {
  switch (entry.state) {
    case State::kAnswered:
      return entry.has_value ? Phase::kAnswered : Phase::kAnsweredNoValue;
    case State::kUnknown:
      return entry.applied ? Phase::kAnsweredNoValue : Phase::kUnknown;
    case State::kElsewhere:
      return entry.phase;
    case State::kAsking:
    case State::kRunning:
      return Phase::kRunning;
  }
  return Phase::kUnknown;
}

bool Applied(Phase phase) { return phase == Phase::kAnswered || phase == Phase::kAnsweredNoValue; }

bool Has(const Entry& entry, std::size_t fragment) {
  return (entry.fragments[fragment / 64] >> (fragment % 64) & 1) != 0;
}

std::size_t FragmentCount(std::uint32_t total) { return (total + kFragmentBytes - 1) / kFragmentBytes; }

}  // namespace

std::string Summary(const Counts& counts, std::size_t keys, std::size_t used, std::size_t peak,
                    std::size_t bound) {
  const std::pair<const char*, std::uint64_t> metrics[] = {{"keys", keys},
                                                           {"bytes", used},
                                                           {"bytes_max", peak},
                                                           {"bytes_bound", bound},
                                                           {"started", counts.started},
                                                           {"joined", counts.joined},
                                                           {"replayed", counts.replayed},
                                                           {"fetched", counts.fetched},
                                                           {"resumed", counts.resumed},
                                                           {"mismatched", counts.mismatched},
                                                           {"unknown_told", counts.unknown_told},
                                                           {"answer_gone_told", counts.answer_gone_told},
                                                           {"full_deferred", counts.full_deferred},
                                                           {"full_passed", counts.full_passed},
                                                           {"unvouched", counts.unvouched},
                                                           {"values_dropped", counts.values_dropped},
                                                           {"datagrams_out", counts.datagrams_out},
                                                           {"datagrams_in", counts.datagrams_in},
                                                           {"datagrams_bad", counts.datagrams_bad},
                                                           {"records_dropped", counts.records_dropped}};
  std::string out;
  for (const auto& [name, figure] : metrics) {
    if (!out.empty()) out += ' ';
    out.append(name).append("=").append(std::to_string(figure));
  }
  return out;
}

IdempotencyReplica::IdempotencyReplica(const Limits& limits, Identity identity, TimePoint now)
    : limits_(limits),
      identity_(identity),
      start_(now),
      store_(limits.memory, limits.customer_share),
      peers_(identity.rank, identity.group_size, identity.incarnation, limits) {}

void IdempotencyReplica::SetLimits(const Limits& limits) {
  const std::size_t memory = std::exchange(limits_, limits).memory;
  limits_.memory = memory;
  store_.SetShare(limits_.customer_share);
  peers_.SetLimits(limits_);
}

// ---- Requests ----

Actions IdempotencyReplica::Begin(const Ask& ask, TimePoint now) {
  actions_.clear();
  const Waiter waiter{ask.waiter, ask.deadline, ask.work};
  if (Entry* entry = store_.Find(ask.key)) {
    if (entry->fingerprint != ask.fingerprint) {
      FailOne(waiter, FailureReason::kOther);
    } else if (entry->state == State::kAnswered && entry->has_value) {
      ++counts_.replayed;
      EndWaiter(waiter, CompleteRequest{waiter.id, std::make_shared<std::string>(entry->answer)});
    } else if (entry->waiters.size() >= limits_.max_waiters || !store_.AddWaiter(*entry, waiter)) {
      ++counts_.full_deferred;
      EndWaiter(waiter, RejectWithRetryAfter{waiter.id, kFullRetry});
    } else {
      if (entry->state == State::kAsking || entry->state == State::kRunning) ++counts_.joined;
      if (Follow(*entry, now)) File(*entry);
    }
    return Done(now);
  }
  const std::optional<Pod> pod = ask.pinned ? HomePod(ask.key) : std::nullopt;
  if (ask.pinned && !pod) {
    EndWaiter(waiter, RejectWithRetryAfter{waiter.id, kNoPodRetry});
    return Done(now);
  }
  Entry* entry = store_.Add(ask.key, ask.customer);
  if (entry != nullptr && !store_.AddWaiter(*entry, waiter)) {
    store_.Remove(*entry);
    entry = nullptr;
  }
  if (entry == nullptr) {
    if (limits_.when_full == WhenFull::kPass) {
      ++counts_.full_passed;
      Act(StartUnprotected{waiter.id, waiter.work, waiter.deadline});
    } else {
      ++counts_.full_deferred;
      EndWaiter(waiter, RejectWithRetryAfter{waiter.id, kFullRetry});
    }
    return Done(now);
  }
  entry->fingerprint = ask.fingerprint;
  entry->window = ask.window;
  entry->has_pod = pod.has_value();
  if (pod) entry->pod = pod->id;
  entry->sent = now;
  entry->ends = now + limits_.keep;
  if (AskPeers(*entry, now)) File(*entry);
  return Done(now);
}

Actions IdempotencyReplica::OnWorkFinished(WaiterId id, End end, std::string value, Duration retry_after,
                                           TimePoint now) {
  actions_.clear();
  Entry* const entry = store_.FindByWaiter(id);
  if (entry == nullptr || entry->state != State::kRunning || entry->running != id) return Done(now);
  entry->running = 0;
  if (end == End::kServed) {
    entry->applied = true;
    if (value.size() <= kMaxAnswer && store_.Reserve(*entry, value.size())) {
      entry->answer.assign(value);
      store_.MarkAnswered(*entry);
    } else {
      entry->state = State::kAnswered;
      ++values_unkept_;
    }
    TellOutcome(*entry, PhaseOf(*entry), now);
    ServeAll(*entry, std::move(value));
  } else if (end == End::kRefused && !entry->resumed) {
    DeferAll(*entry, retry_after);
    Withdraw(*entry, -1, now);
    store_.Remove(*entry);
    return Done(now);
  } else {
    entry->state = entry->applied ? State::kAnswered : State::kUnknown;
    TellOutcome(*entry, PhaseOf(*entry), now);
    if (end == End::kRefused) {
      DeferAll(*entry, retry_after);
    } else {
      // The one whose request it was has its end; the others have time left, and go on.
      const auto own = std::find_if(entry->waiters.begin(), entry->waiters.end(),
                                    [id](const Waiter& w) { return w.id == id; });
      const Waiter waiter = *own;
      store_.RemoveWaiter(*entry, id);
      FailOne(waiter, entry->applied ? FailureReason::kAnswerGone : FailureReason::kUnknown);
      Resume(*entry, now);
    }
  }
  File(*entry);
  return Done(now);
}

bool IdempotencyReplica::Runs(WaiterId waiter) {
  const Entry* const entry = store_.FindByWaiter(waiter);
  return entry != nullptr && entry->state == State::kRunning && entry->running == waiter;
}

Actions IdempotencyReplica::OnClientDisconnect(WaiterId id, TimePoint now) {
  actions_.clear();
  Entry* const entry = store_.FindByWaiter(id);
  if (entry == nullptr) return Done(now);
  if (entry->state == State::kRunning && entry->running == id) {
    for (Waiter& waiter : entry->waiters) waiter.gone = waiter.gone || waiter.id == id;
    return Done(now);
  }
  store_.RemoveWaiter(*entry, id);
  Act(ReleaseRequest{id});
  if (entry->waiters.empty() && entry->state == State::kAsking) {
    Withdraw(*entry, -1, now);
    store_.Remove(*entry);
    return Done(now);
  }
  if (entry->waiters.empty()) StopFetch(*entry);
  File(*entry);
  return Done(now);
}

// ---- Steps ----

bool IdempotencyReplica::Follow(Entry& entry, TimePoint now) {
  if (entry.waiters.empty()) return true;
  switch (entry.state) {
    case State::kAsking:
    case State::kRunning:
      return true;
    case State::kAnswered:
    case State::kUnknown:
      Resume(entry, now);
      return true;
    case State::kElsewhere:
      return entry.fetching || AskHolder(entry, now);
  }
  return true;
}

// Asks the key's witnesses, and runs at once where there is none to ask.
bool IdempotencyReplica::AskPeers(Entry& entry, TimePoint now) {
  StopFetch(entry);
  entry.state = State::kAsking;
  entry.following = false;
  entry.own_round = next_round_++;
  entry.own_asked = now;
  entry.vouched = !Recovering(now);
  entry.asked.Clear();
  entry.pending.Clear();
  entry.ask_at = now + AskEvery();
  return Settle(entry, now);
}

void IdempotencyReplica::AskAgain(Entry& entry, TimePoint now) {
  const ClaimRecord claim = ToClaim(entry);
  for (const int rank : entry.pending) peers_.Queue(rank, claim, true, now);
  entry.ask_at = now + AskEvery();
}

// Every vote that can come is here, or is not waited for any more.
bool IdempotencyReplica::Settle(Entry& entry, TimePoint now) {
  if (entry.state != State::kAsking) return true;
  // Where one is away, the next in order takes its place.
  const ClaimRecord claim = ToClaim(entry);
  RankSet pending;
  for (const int rank : Replicas(entry, now)) {
    if (!entry.asked.Has(rank)) {
      peers_.Queue(rank, claim, true, now);
      pending.Add(rank);
      // Where there is no room it is asked again, and at the end not told that nothing came of it: it forgets
      // by itself.
      entry.asked.Add(rank);
    } else if (entry.pending.Has(rank)) {
      pending.Add(rank);
    }
  }
  entry.pending = pending;
  if (!entry.pending.empty()) return true;
  if (!entry.vouched) {
    ++counts_.unvouched;
    if (limits_.unvouched == Unvouched::kDefer) {
      DeferAll(entry, kFullRetry);
      Withdraw(entry, -1, now);
      store_.Remove(entry);
      return false;
    }
  }
  Run(entry, /*may_have_run=*/false, now);
  return true;
}

// Begins the work with the request of whoever can wait longest.
void IdempotencyReplica::Run(Entry& entry, bool may_have_run, TimePoint now) {
  const auto longest =
      std::max_element(entry.waiters.begin(), entry.waiters.end(),
                       [](const Waiter& a, const Waiter& b) { return a.deadline < b.deadline; });
  entry.state = State::kRunning;
  entry.running = longest->id;
  entry.resumed = may_have_run;
  if (may_have_run) {
    ++counts_.resumed;
  } else {
    ++counts_.started;
    entry.sent = now;
    entry.ends = now + limits_.keep;
  }
  Act(StartRequest{.waiter = longest->id,
                   .work = longest->work,
                   .deadline = longest->deadline,
                   .pin = {.has_pod = entry.has_pod,
                           .pod = entry.pod,
                           .may_have_run = may_have_run,
                           .age = now - entry.sent + kOnTheWay}});
}

// It may have run and nobody holds its answer: for as long as the pod drops repeats one more may go there.
// After that nothing that could apply it twice is sent.
void IdempotencyReplica::Resume(Entry& entry, TimePoint now) {
  StopFetch(entry);
  if (entry.waiters.empty()) return;
  if (now + kOnTheWay < entry.sent + entry.window) return Run(entry, /*may_have_run=*/true, now);
  FailAll(entry, entry.applied ? FailureReason::kAnswerGone : FailureReason::kUnknown);
}

bool IdempotencyReplica::Lost(const Entry& entry, TimePoint now) const {
  return peers_.Away(entry.holder, now) || peers_.Restarted(entry.holder, entry.holder_incarnation);
}

bool IdempotencyReplica::AskHolder(Entry& entry, TimePoint now) {
  if (Lost(entry, now)) {
    Resume(entry, now);
    return true;
  }
  // Asked again it is the same question: an answer that takes longer than that counts too.
  if (!std::exchange(entry.following, true)) {
    entry.own_round = next_round_++;
    entry.own_asked = now;
  }
  peers_.Queue(entry.holder, ToClaim(entry), true, now);
  entry.ask_at = now + AskEvery();
  return true;
}

void IdempotencyReplica::Fetch(Entry& entry, TimePoint now) {
  if (!std::exchange(entry.fetching, true)) {
    entry.total = 0;
    entry.first_missing = 0;
    entry.fragments = {};
  }
  FetchRecord fetch{entry.key, entry.first_missing, 0};
  for (std::uint16_t i = 0; i < kFetchWindow; ++i) {
    const std::size_t index = static_cast<std::size_t>(entry.first_missing) + i;
    const std::size_t count = entry.total == 0 ? kFetchWindow : FragmentCount(entry.total);
    if (index < count && !Has(entry, index)) fetch.wanted |= std::uint32_t{1} << i;
  }
  peers_.Queue(entry.holder, fetch, true, now);
  const double window_s = kFetchWindow / static_cast<double>(limits_.datagrams_per_second);
  entry.ask_at = now + AskEvery() + Duration(static_cast<std::int64_t>(window_s * 1e6));
}

void IdempotencyReplica::StopFetch(Entry& entry) {
  if (!std::exchange(entry.fetching, false)) return;
  store_.DropAnswer(entry);
}

// A peer remembers our own earlier life at work on this key.
void IdempotencyReplica::TakeOver(Entry& entry, const VoteRecord& vote, TimePoint now) {
  entry.state = State::kUnknown;
  entry.applied = Applied(vote.phase);
  entry.has_pod = vote.has_pod != 0;
  entry.pod = vote.pod;
  entry.sent = SentBy(entry, vote);
  Resume(entry, now);
}

void IdempotencyReplica::Withdraw(const Entry& entry, int except, TimePoint now) {
  const OutcomeRecord record{.key = entry.key, .round = entry.own_round, .released = 1};
  for (const int rank : entry.asked) {
    if (rank != except) peers_.Queue(rank, record, false, now);
  }
}

void IdempotencyReplica::TellOutcome(const Entry& entry, Phase phase, TimePoint now) {
  const OutcomeRecord record{.key = entry.key,
                             .round = entry.own_round,
                             .released = 0,
                             .phase = phase,
                             .age_ms = ToMs(now - entry.sent)};
  for (const int rank : entry.interested) peers_.Queue(rank, record, false, now);
}

void IdempotencyReplica::Refuse(Entry& entry, TimePoint now) {
  if (limits_.when_full == WhenFull::kPass) {
    counts_.full_passed += entry.waiters.size();
    for (const Waiter& waiter : store_.TakeWaiters(entry))
      Act(StartUnprotected{waiter.id, waiter.work, waiter.deadline});
  } else {
    counts_.full_deferred += entry.waiters.size();
    DeferAll(entry, kFullRetry);
  }
  Withdraw(entry, -1, now);
  store_.Remove(entry);
}

// ---- Final answers ----

void IdempotencyReplica::EndWaiter(const Waiter& waiter, Action answer) {
  if (waiter.gone) return Act(ReleaseRequest{waiter.id});
  Act(std::move(answer));
}

void IdempotencyReplica::FailOne(const Waiter& waiter, FailureReason reason) {
  if (reason == FailureReason::kUnknown) ++counts_.unknown_told;
  if (reason == FailureReason::kAnswerGone) ++counts_.answer_gone_told;
  if (reason == FailureReason::kOther) ++counts_.mismatched;
  EndWaiter(waiter, FailRequest{waiter.id, reason});
}

void IdempotencyReplica::ServeAll(Entry& entry, std::string value) {
  const auto shared = std::make_shared<const std::string>(std::move(value));
  for (const Waiter& waiter : store_.TakeWaiters(entry))
    EndWaiter(waiter, CompleteRequest{waiter.id, shared});
}

void IdempotencyReplica::DeferAll(Entry& entry, Duration retry_after) {
  for (const Waiter& waiter : store_.TakeWaiters(entry))
    EndWaiter(waiter, RejectWithRetryAfter{waiter.id, retry_after});
}

void IdempotencyReplica::FailAll(Entry& entry, FailureReason reason) {
  for (const Waiter& waiter : store_.TakeWaiters(entry)) FailOne(waiter, reason);
}

// Each waiter has an end of its own; only the one whose request runs has it from the module.
bool IdempotencyReplica::EndTimeout(Entry& entry, TimePoint now) {
  for (std::size_t i = entry.waiters.size(); i-- > 0;) {
    const Waiter waiter = entry.waiters[i];
    if (waiter.deadline > now || (entry.state == State::kRunning && waiter.id == entry.running)) continue;
    store_.RemoveWaiter(entry, waiter.id);
    if (entry.state == State::kAsking) {
      EndWaiter(waiter, RejectWithRetryAfter{waiter.id, kSoonRetry});  // nothing was sent
    } else {
      FailOne(waiter, entry.applied ? FailureReason::kAnswerGone : FailureReason::kUnknown);
    }
  }
  if (!entry.waiters.empty()) return true;
  if (entry.state == State::kAsking) {
    Withdraw(entry, -1, now);
    store_.Remove(entry);
    return false;
  }
  StopFetch(entry);
  return true;
}

// ---- Time ----

void IdempotencyReplica::File(Entry& entry) {
  const bool runs = entry.state == State::kRunning;
  TimePoint due = runs ? TimePoint::max() : entry.ends;
  for (const Waiter& waiter : entry.waiters) {
    if (!runs || waiter.id != entry.running) due = std::min(due, waiter.deadline);
  }
  const bool asks =
      entry.state == State::kAsking || (entry.state == State::kElsewhere && !entry.waiters.empty());
  if (asks) due = std::min(due, entry.ask_at);
  store_.SetDue(entry, due);
}

Actions IdempotencyReplica::Tick(TimePoint now) {
  actions_.clear();
  while (Entry* entry = store_.First()) {
    if (entry->due > now) break;
    if (!EndTimeout(*entry, now)) continue;
    if (entry->state != State::kRunning && now >= entry->ends) {
      FailAll(*entry, FailureReason::kUnknown);
      if (entry->state == State::kAsking) Withdraw(*entry, -1, now);
      store_.Remove(*entry);
      continue;
    }
    if (entry->state == State::kAsking && now >= entry->ask_at) {
      if (!Settle(*entry, now)) continue;
      if (entry->state == State::kAsking) AskAgain(*entry, now);
    } else if (entry->state == State::kElsewhere && !entry->waiters.empty() && now >= entry->ask_at) {
      if (entry->fetching && !Lost(*entry, now)) {
        Fetch(*entry, now);
      } else {
        StopFetch(*entry);
        AskHolder(*entry, now);
      }
    }
    File(*entry);
  }
  return Done(now);
}

std::optional<TimePoint> IdempotencyReplica::NextTick() {
  std::optional<TimePoint> out = peers_.NextFlush();
  if (const Entry* first = store_.First()) out = std::min(out.value_or(TimePoint::max()), first->due);
  return out == TimePoint::max() ? std::nullopt : out;
}

Actions IdempotencyReplica::Done(TimePoint now) {
  peers_.Flush(now, [this](int rank, std::string bytes) {
    ++counts_.datagrams_out;
    Act(SendDatagram{rank, std::move(bytes)});
  });
  return actions_;
}

const Counts& IdempotencyReplica::counts() {
  counts_.records_dropped = peers_.dropped();
  counts_.values_dropped = store_.values_dropped() + values_unkept_;
  return counts_;
}

// ---- Between gateways ----

Actions IdempotencyReplica::Received(int from, std::string_view datagram, TimePoint now) {
  actions_.clear();
  const std::optional<Datagram> read = DecodeDatagram(datagram);
  if (!read || read->header.rank != from || !peers_.Heard(read->header.rank, read->header.incarnation, now)) {
    ++counts_.datagrams_bad;
    return Done(now);
  }
  ++counts_.datagrams_in;
  for (const Record& record : read->records) {
    std::visit([&](const auto& r) { On(from, r, now); }, record);
  }
  return Done(now);
}

bool IdempotencyReplica::GoesFirst(const KeyId& key, int rank) const {
  const auto identity = [](int r) { return static_cast<std::uint64_t>(r) << 8 | kRankPlace; };
  return Rendezvous(key, identity(rank)) > Rendezvous(key, identity(identity_.rank));
}

RankSet IdempotencyReplica::Replicas(const Entry& entry, TimePoint now) const {
  if (!identity_.has_peers) return {};
  const Work& work = entry.waiters.front().work;
  const int size = std::min(identity_.group_size, kMaxPeers);
  std::vector<std::pair<std::uint64_t, int>> order;
  for (int i = 0; i < std::min<int>(work.spread, size); ++i) {
    const int rank = (work.first + i) % size;
    if (rank != identity_.rank && peers_.Away(rank, now)) continue;
    order.emplace_back(Rendezvous(entry.key, static_cast<std::uint64_t>(rank) << 8 | kRankPlace), rank);
  }
  std::sort(order.rbegin(), order.rend());
  if (order.size() > limits_.witnesses) order.resize(limits_.witnesses);
  RankSet out;
  for (const auto& [score, rank] : order) {
    if (rank != identity_.rank) out.Add(rank);
  }
  return out;
}

// By weighted rendezvous: each pod gets keys by its ready upstreams, and a change moves only what it must.
std::optional<Pod> IdempotencyReplica::HomePod(const KeyId& key) const {
  std::optional<Pod> out;
  double best = 0;
  for (const Pod& pod : pods_) {
    if (pod.ready == 0) continue;
    const std::uint64_t hash = Rendezvous(key, static_cast<std::uint64_t>(pod.id) << 8 | kPodPlace);
    const double chance = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
    const double score = static_cast<double>(pod.ready) / -std::log(chance);
    if (!out || score > best) out = pod, best = score;
  }
  return out;
}

Duration IdempotencyReplica::AskEvery() const {
  const double seconds = kAskEveryDatagrams / static_cast<double>(limits_.datagrams_per_second);
  return std::max(kLeastAskEvery, Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

Verdict IdempotencyReplica::Clear(TimePoint now) const {
  return Recovering(now) ? Verdict::kClearFresh : Verdict::kClear;
}

// When the work began that the vote tells of, at the latest: the vote is younger than our question. Taken
// from the time it came, its way here would make the pod's window look longer than it is, and a change was
// applied twice at the window's edge.
TimePoint IdempotencyReplica::SentBy(const Entry& entry, const VoteRecord& vote) const {
  return entry.own_asked - milliseconds(vote.age_ms + 1);
}

ClaimRecord IdempotencyReplica::ToClaim(const Entry& entry) const {
  return {.key = entry.key,
          .fingerprint = entry.fingerprint,
          .customer = entry.customer,
          .round = entry.own_round,
          .has_pod = entry.has_pod,
          .pod = entry.pod,
          .window_ms = ToMs(entry.window)};
}

VoteRecord IdempotencyReplica::ToHeld(const Entry& entry, std::uint32_t round, TimePoint now) const {
  const bool elsewhere = entry.state == State::kElsewhere;
  return {.key = entry.key,
          .round = round,
          .verdict = Verdict::kHeld,
          .mark = elsewhere ? entry.round : entry.own_round,
          .holder = elsewhere ? entry.holder : static_cast<std::uint16_t>(identity_.rank),
          .holder_incarnation = elsewhere ? entry.holder_incarnation : identity_.incarnation,
          .phase = PhaseOf(entry),
          .has_pod = entry.has_pod,
          .pod = entry.pod,
          .age_ms = ToMs(now - entry.sent)};
}

void IdempotencyReplica::On(int from, const ClaimRecord& claim, TimePoint now) {
  const std::uint64_t incarnation = peers_.Incarnation(from);
  const auto vote = [&](Verdict verdict) {
    const VoteRecord record{.key = claim.key, .round = claim.round, .verdict = verdict, .mark = next_round_};
    peers_.Queue(from, record, false, now);
  };
  const auto note = [&](Entry& entry) {
    entry.state = State::kElsewhere;
    entry.phase = Phase::kRunning;
    entry.applied = entry.following = false;
    entry.holder = static_cast<std::uint16_t>(from);
    entry.holder_incarnation = incarnation;
    entry.round = claim.round;
    entry.has_pod = claim.has_pod != 0;
    entry.pod = claim.pod;
    entry.window = milliseconds(claim.window_ms);
    entry.sent = now;
    entry.ends = now + limits_.keep;
  };
  Entry* const entry = store_.Find(claim.key);
  if (entry == nullptr) {
    Entry* const added = store_.Add(claim.key, claim.customer);
    if (added == nullptr) return vote(Verdict::kFull);
    added->fingerprint = claim.fingerprint;
    note(*added);
    File(*added);
    return vote(Clear(now));
  }
  if (entry->state == State::kElsewhere && entry->holder == from &&
      entry->holder_incarnation == incarnation) {
    if (claim.round < entry->round) return;  // late: a newer one has come already
    if (entry->fingerprint != claim.fingerprint) return vote(Verdict::kOther);
    // One that came before is not noted again: its work may have begun since, and the pod's window with it.
    if (claim.round > entry->round) {
      note(*entry);
      File(*entry);
    }
    return vote(Clear(now));
  }
  const bool same = entry->fingerprint == claim.fingerprint;
  if (entry->state == State::kAsking && GoesFirst(claim.key, from)) {
    // Both ask: the one that goes first by the key has it, and we follow.
    Withdraw(*entry, from, now);
    if (!same) {
      FailAll(*entry, FailureReason::kOther);
      entry->fingerprint = claim.fingerprint;
    }
    note(*entry);
    entry->ask_at = now + kFollowEvery;
    File(*entry);
    return vote(Clear(now));
  }
  if (!same) return vote(Verdict::kOther);
  entry->interested.Add(from);
  peers_.Queue(from, ToHeld(*entry, claim.round, now), false, now);
}

void IdempotencyReplica::On(int from, const VoteRecord& vote, TimePoint now) {
  Entry* const entry = store_.Find(vote.key);
  if (entry == nullptr || vote.round != entry->own_round) return;
  bool stays = true;
  if (entry->state == State::kAsking) {
    stays = OnVoteAsking(*entry, from, vote, now);
  } else if (entry->state == State::kElsewhere && from == entry->holder && !entry->waiters.empty()) {
    stays = OnVoteFollowing(*entry, from, vote, now);
  }
  if (stays) File(*entry);
}

bool IdempotencyReplica::OnVoteAsking(Entry& entry, int from, const VoteRecord& vote, TimePoint now) {
  switch (vote.verdict) {
    case Verdict::kClear:
    case Verdict::kClearFresh:
      entry.pending.Remove(from);
      entry.vouched = entry.vouched || vote.verdict == Verdict::kClear;
      return Settle(entry, now);
    case Verdict::kOther:
      FailAll(entry, FailureReason::kOther);
      Withdraw(entry, from, now);
      store_.Remove(entry);
      return false;
    case Verdict::kFull:
      Refuse(entry, now);
      return false;
    case Verdict::kHeld:
      break;
  }
  const bool our_own = vote.holder == identity_.rank;
  const bool cleared = vote.holder != from && vote.holder == entry.cleared_holder &&
                       vote.holder_incarnation == entry.cleared_incarnation && vote.mark < entry.cleared_mark;
  if ((our_own && vote.holder_incarnation == identity_.incarnation) || cleared) {
    // A claim that was withdrawn, by the later word of the one who made it.
    entry.pending.Remove(from);
    return Settle(entry, now);
  }
  if (our_own) {
    TakeOver(entry, vote, now);
    return true;
  }
  Withdraw(entry, from, now);
  entry.state = State::kElsewhere;
  entry.holder = vote.holder;
  entry.holder_incarnation = vote.holder_incarnation;
  entry.round = 0;
  entry.phase = vote.phase;
  entry.applied = Applied(vote.phase);
  entry.has_pod = vote.has_pod != 0;
  entry.pod = vote.pod;
  entry.sent = SentBy(entry, vote);
  if (from != vote.holder) return AskHolder(entry, now);
  return OnVoteFollowing(entry, from, vote, now);
}

bool IdempotencyReplica::OnVoteFollowing(Entry& entry, int from, const VoteRecord& vote, TimePoint now) {
  switch (vote.verdict) {
    case Verdict::kClear:
    case Verdict::kClearFresh:
      if (peers_.Incarnation(from) != entry.holder_incarnation) return AskHolder(entry, now);  // it is lost
      entry.cleared_holder = entry.holder;
      entry.cleared_incarnation = entry.holder_incarnation;
      entry.cleared_mark = vote.mark;
      return AskPeers(entry, now);
    case Verdict::kOther:
      FailAll(entry, FailureReason::kOther);
      return true;
    case Verdict::kFull:
      DeferAll(entry, kFullRetry);
      return true;
    case Verdict::kHeld:
      break;
  }
  if (vote.holder == identity_.rank) {
    if (vote.holder_incarnation != identity_.incarnation) {
      TakeOver(entry, vote, now);
      return true;
    }
    return AskPeers(entry, now);  // it follows us, and we have nothing: neither has it
  }
  entry.has_pod = vote.has_pod != 0;
  entry.pod = vote.pod;
  entry.sent = SentBy(entry, vote);
  entry.phase = vote.phase;
  entry.holder = vote.holder;
  entry.holder_incarnation = vote.holder_incarnation;
  entry.applied = Applied(vote.phase);
  if (vote.holder != from || vote.phase == Phase::kRunning) {
    entry.ask_at = now + kFollowEvery;
  } else if (vote.phase == Phase::kAnswered) {
    Fetch(entry, now);
  } else {
    Resume(entry, now);
  }
  return true;
}

void IdempotencyReplica::On(int from, const OutcomeRecord& outcome, TimePoint now) {
  Entry* const entry = store_.Find(outcome.key);
  if (entry == nullptr || entry->state != State::kElsewhere) return;
  if (entry->holder != from || entry->holder_incarnation != peers_.Incarnation(from) ||
      outcome.round < entry->round)
    return;
  StopFetch(*entry);
  if (outcome.released != 0) {
    if (entry->waiters.empty()) return store_.Remove(*entry);
    entry->cleared_holder = entry->holder;
    entry->cleared_incarnation = entry->holder_incarnation;
    entry->cleared_mark = outcome.round == kAnyRound ? entry->round + 1 : outcome.round + 1;
    if (AskPeers(*entry, now)) File(*entry);
    return;
  }
  entry->phase = outcome.phase;
  entry->applied = Applied(outcome.phase);
  if (entry->waiters.empty()) return;
  if (outcome.phase == Phase::kAnswered) {
    Fetch(*entry, now);
  } else if (outcome.phase != Phase::kRunning) {
    Resume(*entry, now);
  }
  File(*entry);
}

void IdempotencyReplica::On(int from, const FetchRecord& fetch, TimePoint now) {
  const Entry* const entry = store_.Find(fetch.key);
  if (entry == nullptr || entry->state != State::kAnswered || !entry->has_value) {
    OutcomeRecord outcome{.key = fetch.key, .round = kAnyRound, .released = 1};
    if (entry != nullptr) {
      outcome.released = 0;
      outcome.phase = PhaseOf(*entry);
      outcome.age_ms = ToMs(now - entry->sent);
    }
    return peers_.Queue(from, outcome, false, now);
  }
  const auto total = static_cast<std::uint32_t>(entry->answer.size());
  for (std::uint16_t i = 0; i < kFetchWindow; ++i) {
    const std::size_t at = (static_cast<std::size_t>(fetch.first) + i) * kFragmentBytes;
    if ((fetch.wanted >> i & 1) == 0 || at >= total) continue;
    peers_.Queue(from,
                 FragmentRecord{.key = fetch.key,
                                .index = static_cast<std::uint16_t>(fetch.first + i),
                                .total = total,
                                .bytes = std::string(entry->answer, at, kFragmentBytes)},
                 false, now);
  }
}

void IdempotencyReplica::On(int from, const FragmentRecord& fragment, TimePoint now) {
  Entry* const entry = store_.Find(fragment.key);
  if (entry == nullptr || entry->state != State::kElsewhere || !entry->fetching || entry->holder != from)
    return;
  if (fragment.total == 0 || fragment.total > kMaxAnswer) return;
  if (entry->total == 0) {
    entry->total = fragment.total;
    if (!store_.Reserve(*entry, fragment.total)) {
      // No room to put it together. It was carried out: the pod may give the answer, nobody else can.
      Resume(*entry, now);
      return File(*entry);
    }
    entry->answer.assign(fragment.total, '\0');
  }
  const std::size_t count = FragmentCount(entry->total), at = fragment.index * kFragmentBytes;
  if (fragment.total != entry->total || fragment.index >= count || Has(*entry, fragment.index)) return;
  if (fragment.bytes.size() != std::min(kFragmentBytes, entry->total - at)) return;
  entry->answer.replace(at, fragment.bytes.size(), fragment.bytes);
  entry->fragments[fragment.index / 64] |= std::uint64_t{1} << (fragment.index % 64);
  const std::uint16_t window_end = static_cast<std::uint16_t>(entry->first_missing + kFetchWindow);
  std::uint16_t missing = entry->first_missing;
  while (missing < count && Has(*entry, missing)) ++missing;
  if (missing == count) {
    ++counts_.fetched;
    entry->fetching = false;
    entry->applied = true;
    entry->asked.Add(from);
    store_.MarkAnswered(*entry);
    ServeAll(*entry, std::string(entry->answer));
  } else if (missing >= window_end) {
    entry->first_missing = missing;
    Fetch(*entry, now);
  }
  File(*entry);
}

}  // namespace postspread::idempotency
