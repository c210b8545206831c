#include "cluster.h"

#include <algorithm>
#include <variant>

namespace postspread::idempotency::testing {
namespace {

constexpr Duration kDedupWindow = seconds(15);

ResponseKind ToResponseKind(FailureReason reason) {
  switch (reason) {
    case FailureReason::kUnknownOutcome:
      return ResponseKind::kUnknownOutcome;
    case FailureReason::kFingerprintMismatch:
      return ResponseKind::kFingerprintMismatch;
    case FailureReason::kResponseDropped:
      return ResponseKind::kResponseDropped;
  }
  return ResponseKind::kNone;
}

}  // namespace

Cluster::Cluster(int gateways, const Limits& limits, std::uint64_t seed, const NetworkFaults& faults)
    : limits_(limits), faults_(faults), random_(seed), gateways_(static_cast<std::size_t>(gateways)) {
  limits_.enabled = true;
  for (int rank = 0; rank < gateways; ++rank) Start(rank);
}

// ---- Clients ----

WaiterId Cluster::Send(int rank, const std::string& key, Duration timeout, const std::string& body,
                       const std::string& customer) {
  KeyedRequest request;
  request.waiter = next_waiter_++;
  request.key = DigestKey(customer, "change", key);
  request.fingerprint = DigestRequest(customer, "change", key, 1, body);
  request.customer = DigestCustomer(customer);
  request.deadline = now_ + timeout;
  request.dedup_window = kDedupWindow;
  request.sticky = true;
  request.work.spread = static_cast<std::int16_t>(gateways_.size());
  history_.OnRequest(request.waiter, request.key, request.deadline);
  if (!alive(rank)) {
    RecordResponse(request.waiter, ResponseKind::kNone);
    return request.waiter;
  }
  gateway(rank).waiters.push_back(request.waiter);
  replica(rank).SetUpstreamGroups(groups);
  Execute(rank, replica(rank).Begin(request, now_));
  return request.waiter;
}

// ---- Gateways ----

void Cluster::Kill(int rank) {
  Gateway& crashed = gateway(rank);
  for (const WaiterId waiter : crashed.waiters) {
    if (!history_.HasResponse(waiter)) RecordResponse(waiter, ResponseKind::kNone);
  }
  crashed.waiters.clear();
  crashed.replica.reset();
  ++crashed.crash_count;
}

void Cluster::Start(int rank) {
  const IdempotencyReplica::Identity identity{.rank = rank,
                                              .group_size = static_cast<int>(gateways_.size()),
                                              .has_peers = gateways_.size() > 1,
                                              .incarnation = static_cast<std::uint64_t>(now_.count()) + 1};
  gateway(rank).replica = std::make_unique<IdempotencyReplica>(limits_, identity, now_);
}

Cluster::DueTick Cluster::NextTick(TimePoint until) {
  DueTick next{.rank = -1, .at = until};
  for (int rank = 0; rank < static_cast<int>(gateways_.size()); ++rank) {
    if (!alive(rank)) continue;
    const std::optional<TimePoint> tick = replica(rank).NextTick();
    if (tick && *tick < next.at) next = {.rank = rank, .at = *tick};
  }
  return next;
}

void Cluster::RunFor(Duration span) {
  const TimePoint until = now_ + span;
  for (;;) {
    const DueTick tick = NextTick(until);
    if (!events_.empty() && events_.top().at <= tick.at) {
      now_ = std::max(now_, events_.top().at);
      const std::function<void()> run = events_.top().run;
      events_.pop();
      run();
    } else if (tick.rank >= 0) {
      now_ = std::max(now_, tick.at);
      Execute(tick.rank, replica(tick.rank).Tick(now_));
    } else {
      break;
    }
  }
  now_ = until;
}

void Cluster::Execute(int rank, Actions actions) {
  for (const Action& action : std::vector<Action>(actions.begin(), actions.end())) {
    if (const auto* start = std::get_if<StartRequest>(&action)) {
      RunAttempt(rank, *start);
    } else if (const auto* unprotected = std::get_if<StartUnprotected>(&action)) {
      RecordResponse(unprotected->waiter, ResponseKind::kCompleted, "unprotected");
    } else if (const auto* complete = std::get_if<CompleteRequest>(&action)) {
      RecordResponse(complete->waiter, ResponseKind::kCompleted, *complete->value);
    } else if (const auto* reject = std::get_if<RejectWithRetryAfter>(&action)) {
      RecordResponse(reject->waiter, ResponseKind::kRejected);
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      RecordResponse(fail->waiter, ToResponseKind(fail->reason));
    } else if (const auto* release = std::get_if<ReleaseRequest>(&action)) {
      RecordResponse(release->waiter, ResponseKind::kNone);
    } else if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
      Transmit(rank, datagram->rank, datagram->bytes);
    }
  }
}

// ---- Network and upstreams ----

void Cluster::Transmit(int from, int to, const std::string& bytes) {
  // The number of copies is drawn again before each copy, because recorded seeds depend on this sequence of
  // draws.
  const auto draw_copies = [this] { return RandomFraction() < faults_.duplication ? 2 : 1; };
  for (int copy = 0; copy < draw_copies(); ++copy) {
    if (RandomFraction() < faults_.loss || is_partitioned(from, to)) continue;
    const double extra = RandomFraction() * static_cast<double>(faults_.max_delay.count());
    const Duration delay = faults_.min_delay + Duration(static_cast<std::int64_t>(extra));
    ScheduleAt(now_ + delay, [this, from, to, bytes] {
      if (alive(to)) Execute(to, replica(to).HandleDatagram(from, bytes, now_));
    });
  }
}

void Cluster::RunAttempt(int rank, const StartRequest& start) {
  const KeyId key = history_.KeyOf(start.waiter);
  const bool is_placed = honors_placement && start.placement.group.has_value();
  const std::int64_t group = is_placed ? *start.placement.group : groups[random_() % groups.size()].id;
  const UpstreamBehavior behavior = upstream_behavior(key, group);
  if (!behavior.executes) {
    return FinishAttempt(rank, start.waiter, now_ + milliseconds(1), WorkResult::kRejected, "");
  }
  ++accepted_attempts_[group];
  const Execution& execution = ExecuteOnce(group, key, behavior.service_time);
  const TimePoint done = std::max(execution.end, now_ + milliseconds(1));
  if (behavior.responds && done < start.deadline) {
    FinishAttempt(rank, start.waiter, done, WorkResult::kServed, execution.value);
  } else {
    FinishAttempt(rank, start.waiter, start.deadline, WorkResult::kFailed, "");
  }
}

void Cluster::FinishAttempt(int rank, WaiterId waiter, TimePoint at, WorkResult result,
                            const std::string& value) {
  ScheduleAt(at, [this, rank, crash_count = gateway(rank).crash_count, waiter, result, value] {
    if (!alive(rank) || gateway(rank).crash_count != crash_count) return;
    Execute(rank, replica(rank).OnWorkFinished(waiter, result, value, milliseconds(10), now_));
  });
}

// Within the deduplication window, a repeat is not executed again and returns the value of the first
// execution.
const Cluster::Execution& Cluster::ExecuteOnce(std::int64_t group, const KeyId& key, Duration service_time) {
  Execution& execution = executed_[{group, key}];
  const bool is_repeat = execution.begin.count() != 0 && now_ < execution.begin + kDedupWindow;
  if (is_repeat) return execution;
  std::string value = "v" + std::to_string(key.low) + "/" + std::to_string(history_.OnExecution(key));
  value.resize(std::max(value.size(), min_value_bytes), '.');
  execution = {now_, now_ + service_time, std::move(value)};
  return execution;
}

std::size_t Cluster::accepted_attempts_of(std::int64_t group) const {
  const auto found = accepted_attempts_.find(group);
  return found == accepted_attempts_.end() ? 0 : found->second;
}

std::size_t Cluster::accepted_attempts() const {
  std::size_t total = 0;
  for (const auto& [group, count] : accepted_attempts_) total += count;
  return total;
}

}  // namespace postspread::idempotency::testing
