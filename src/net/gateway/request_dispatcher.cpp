#include "net/gateway/request_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/log.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

// Returns the settings of a class, or the strictest ones if the class is unknown.
const ClassSettings& FindClass(const Settings& settings, std::string_view class_name) {
  static const ClassSettings kUnknown{"", Duration(0), Duration(0), RetrySafety::kNotIdempotent};
  const auto found = std::find_if(settings.classes.begin(), settings.classes.end(),
                                  [class_name](const ClassSettings& cls) { return cls.name == class_name; });
  return found == settings.classes.end() ? kUnknown : *found;
}

}  // namespace

RequestDispatcher::RequestDispatcher(const Collaborators& collaborators)
    : settings_(collaborators.settings),
      planner_(collaborators.planner),
      driver_(collaborators.driver),
      admission_(collaborators.admission),
      in_flight_(collaborators.in_flight),
      streams_(collaborators.streams),
      pool_(collaborators.pool),
      service_state_(collaborators.service_state),
      metrics_(collaborators.metrics),
      claims_(collaborators.claims) {}

std::optional<InFlightRequest> RequestDispatcher::Release(RequestId id) {
  std::optional<InFlightRequest> released = in_flight_.Release(id);
  if (!released) return released;
  DiscardMessages(id, *released);
  if (released->claimed_id_hash == 0) return released;
  const bool may_have_run = std::any_of(
      released->attempts.begin(), released->attempts.end(),
      [](const safety::EarlierAttempt& attempt) { return attempt.in_flight || attempt.may_have_run; });
  if (!may_have_run) claims_.Release(released->claimed_id_hash);
  return released;
}

// The reservation of the message has been released. An attempt that still waits to send would keep the
// message until its connection is established, writable or given up.
void RequestDispatcher::DiscardMessages(RequestId id, const InFlightRequest& request) {
  for (std::size_t attempt = 0; attempt < request.attempts.size(); ++attempt) {
    if (!request.attempts[attempt].in_flight) continue;
    pool_.DiscardMessage({id, static_cast<AttemptNumber>(attempt)});
  }
}

RequestId RequestDispatcher::HandleRequest(const Request& request, resp::EncodedRequest encoded,
                                           ResponseWriter& writer, ResponseWriter::Slot slot) {
  const auto now = Clock::now();
  const AdmissionDecision decision = admission_.Admit(request, encoded, now);
  if (decision.rejected) {
    Reject(request, *decision.rejected, writer, slot);
    return kNoRequest;
  }
  const ClassSettings& class_settings = FindClass(settings_, request.class_name);
  const bool runs_once = class_settings.retry_safety == RetrySafety::kNotIdempotent;
  if (runs_once && !claims_.TryClaim(request.id_hash, now)) {
    in_flight_.Unreserve(encoded);
    metrics_.rules.Prevented(safety::Rule::kRunsOnce);
    ++metrics_.ForClass(request.class_name).failed;
    writer.Fail(slot, planner::FailureReason::kFailed);
    return kNoRequest;
  }
  Request admitted = request;
  admitted.timeout = decision.timeout;
  const planner::Planner::PickResult result = planner_.Pick(admitted, now);
  in_flight_.Add(result.request_id, {.encoded = std::move(encoded),
                                     .retry_safety = class_settings.retry_safety,
                                     .key_ttl = class_settings.key_ttl,
                                     .claimed_id_hash = runs_once ? request.id_hash : 0,
                                     .writer = &writer,
                                     .slot = slot,
                                     .metrics = &metrics_.ForClass(request.class_name)});
  driver_.Execute(result.actions);
  driver_.DeliverReports();
  return result.request_id;
}

void RequestDispatcher::Reject(const Request& request, ops::RejectReason reason, ResponseWriter& writer,
                               ResponseWriter::Slot slot) {
  metrics_.CountRejected(reason);
  ++metrics_.ForClass(request.class_name).rejected;
  const milliseconds retry_after =
      settings_.retry_after ? std::chrono::ceil<milliseconds>(settings_.max_retry_after) : milliseconds(0);
  writer.RejectWithRetryAfter(slot, retry_after);
}

void RequestDispatcher::OnClientDisconnect(RequestId request) {
  if (streams_.Cancel(request)) return;
  InFlightRequest* in_flight = in_flight_.Find(request);
  if (in_flight == nullptr) return;
  in_flight->writer = nullptr;
  std::optional<InFlightRequest> released;
  if (!planner_.OutlivesClient(request)) released = Release(request);
  driver_.Report(planner::ClientDisconnected{request});
  if (released) CancelPartlySent(request, *released);
}

// An upstream executes an attempt when its last byte arrives, which must not happen after the client has
// left, whether attempts may be cancelled or not.
void RequestDispatcher::CancelPartlySent(RequestId id, const InFlightRequest& request) {
  for (std::size_t attempt = 0; attempt < request.attempts.size(); ++attempt) {
    if (!request.attempts[attempt].in_flight) continue;
    pool_.CancelIfPartlySent({id, static_cast<AttemptNumber>(attempt)});
  }
}

void RequestDispatcher::FailAllAwaited() {
  for (const RequestId request : in_flight_.Awaited()) {
    // Failing one request may end others.
    const InFlightRequest* in_flight = in_flight_.Find(request);
    if (in_flight == nullptr || in_flight->writer == nullptr) continue;
    ResponseWriter& writer = *in_flight->writer;
    const ResponseWriter::Slot slot = in_flight->slot;
    ++in_flight->metrics->failed;
    OnClientDisconnect(request);
    writer.Fail(slot, planner::FailureReason::kFailed);
  }
}

void RequestDispatcher::Execute(const planner::StartAttempt& action) {
  InFlightRequest* request = in_flight_.Find(action.request);
  if (request == nullptr) return;
  if (action.attempt > 0) ++metrics_.repeated_attempts;
  if (const std::optional<safety::Rule> rule = safety::MayRetry(request->retry_safety, request->attempts)) {
    metrics_.rules.Prevented(*rule);
    Log("attempt not started", "it would violate the rule " + std::string(Name(*rule)));
    return OnAttemptFinished({.request = action.request,
                              .attempt = action.attempt,
                              .upstream = action.upstream,
                              .result = planner::AttemptResult::kConnectFailed},
                             {});
  }
  LimitEarlierAttempts(action.request, *request);
  request->attempts.resize(static_cast<std::size_t>(action.attempt) + 1);
  request->attempts.back().in_flight = true;
  // The call gets a copy, since the attempt may end within the call, and the request may be released then.
  const resp::EncodedRequest encoded = request->encoded;
  const bool may_retry =
      request->retry_safety != RetrySafety::kNotIdempotent && action.attempt + 1 < settings_.max_attempts;
  pool_.StartAttempt({action.request, action.attempt}, action.upstream, encoded,
                     {.timeout = action.timeout,
                      .arrival_timeout = action.arrival_timeout,
                      .on_stall = may_retry ? StallPolicy::kRetry : StallPolicy::kWait});
}

// If the attempt that starts now is executed, the upstreams recognize its key until the end of the window.
// The last byte of an attempt that is still being sent must arrive before.
void RequestDispatcher::LimitEarlierAttempts(RequestId id, const InFlightRequest& request) {
  if (request.retry_safety != RetrySafety::kIdempotencyKey || request.key_ttl.count() == 0) return;
  const auto arrive_by = Clock::now() + request.key_ttl;
  for (std::size_t attempt = 0; attempt < request.attempts.size(); ++attempt) {
    if (!request.attempts[attempt].in_flight) continue;
    pool_.LimitArrival({id, static_cast<AttemptNumber>(attempt)}, arrive_by);
  }
}

void RequestDispatcher::Execute(const planner::RejectWithRetryAfter& action) {
  const std::optional<InFlightRequest> request = Release(action.request);
  if (!request || request->writer == nullptr) return;
  ++request->metrics->rejected;
  metrics_.CountRejected(ops::RejectReason::kDecision);
  request->writer->RejectWithRetryAfter(request->slot, std::chrono::ceil<milliseconds>(action.retry_after));
}

void RequestDispatcher::Execute(const planner::FailRequest& action) {
  const std::optional<InFlightRequest> request = Release(action.request);
  if (!request || request->writer == nullptr) return;
  ++request->metrics->failed;
  request->writer->Fail(request->slot, action.reason);
}

void RequestDispatcher::Execute(const planner::CompleteRequest& action) {
  const std::optional<InFlightRequest> request = Release(action.request);
  if (!request || request->writer == nullptr) return;
  ++request->metrics->completed;
  request->writer->Complete(request->slot, *action.value);
}

void RequestDispatcher::Execute(const planner::ReleaseRequest& action) { Release(action.request); }

void RequestDispatcher::Execute(const planner::CancelAttempt& action) {
  pool_.CancelAttempt({action.request, action.attempt});
}

void RequestDispatcher::OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) {
  RecordAttemptEnd(report);
  const bool was_refused = std::exchange(refused_value_, kNoRequest) == report.request;
  if (was_refused) driver_.Report(planner::ClientDisconnected{report.request});
  if (report.use.unreadable) ++metrics_.unreadable_usage_reports;
  if (settings_.meter_period.count() > 0 && report.use.percent_of_rate > 100) ++metrics_.over_quota_responses;
  if (report.result == planner::AttemptResult::kSucceeded) {
    if (planner_.NeedsResponseValue(report.request)) {
      planner::AttemptReport with_value = report;
      with_value.value = value;
      return driver_.Report(std::move(with_value));
    }
    const std::optional<InFlightRequest> request = Release(report.request);
    if (request && request->writer != nullptr) {
      ++request->metrics->completed;
      request->writer->Complete(request->slot, value);
    }
  }
  driver_.Report(report);
}

void RequestDispatcher::RecordAttemptEnd(const planner::AttemptReport& report) {
  using Result = planner::AttemptResult;
  ++metrics_.attempts_ended[std::string(Name(report.result))];
  InFlightRequest* request = in_flight_.Find(report.request);
  if (request == nullptr) return;
  const auto attempt = static_cast<std::size_t>(report.attempt);
  if (attempt >= request->attempts.size()) return;
  const bool never_ran = report.result == Result::kRejected || report.result == Result::kConnectFailed;
  request->attempts[attempt] = {.in_flight = false, .may_have_run = !never_ran};
}

bool RequestDispatcher::IsStillNeeded(RequestId request) {
  const InFlightRequest* in_flight = in_flight_.Find(request);
  if (in_flight == nullptr) return false;
  if (planner_.OutlivesClient(request)) return true;
  return in_flight->writer != nullptr && in_flight->writer->IsClientConnected();
}

AttemptListener::Value RequestDispatcher::OnLargeValue(const planner::AttemptReport& report) {
  if (planner_.NeedsResponseValue(report.request)) return Value::kBuffer;
  RecordAttemptEnd(report);
  const std::optional<InFlightRequest> request = Release(report.request);
  if (!request || request->writer == nullptr) return Value::kDiscard;
  if (!streams_.HasCapacity()) {
    // A client that reads slowly holds a connection to an upstream, which other requests need as well.
    refused_value_ = report.request;
    ++request->metrics->failed;
    request->writer->Fail(request->slot, planner::FailureReason::kFailed);
    return Value::kDiscard;
  }
  streams_.Begin(report.request, {.writer = request->writer,
                                  .slot = request->slot,
                                  .attempt = report.attempt,
                                  .metrics = request->metrics});
  // For the planner the attempt has ended, since only the transfer to the client remains.
  driver_.Report(report);
  return Value::kStream;
}

void RequestDispatcher::OnStreamFinished(RequestId request, StreamEnd end) {
  if (end == StreamEnd::kComplete) {
    streams_.Complete(request);
  } else {
    streams_.Abort(request);
  }
}

}  // namespace postspread::net
