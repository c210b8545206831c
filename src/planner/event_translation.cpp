#include "planner/event_translation.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace postspread::planner {
namespace {

// The part of a client's timeout that is reserved for the network round trip between client and gateway,
// which may be in different zones.
constexpr std::chrono::milliseconds kNetworkMargin{10};

Outcome ToOutcome(AttemptResult result) {
  switch (result) {
    case AttemptResult::kSucceeded:
      return Outcome::kOk;
    case AttemptResult::kError:
      return Outcome::kError;
    case AttemptResult::kRejected:
      return Outcome::kRejected;
    case AttemptResult::kTimedOut:
      return Outcome::kTimeout;
    case AttemptResult::kConnectFailed:
      return Outcome::kConnectFailed;
    case AttemptResult::kReset:
      return Outcome::kReset;
    case AttemptResult::kCancelled:
      return Outcome::kCancelled;
  }
  return Outcome::kReset;
}

postspread::CounterResult ToResult(CounterResult result) {
  switch (result) {
    case CounterResult::kAdded:
      return postspread::CounterResult::kOk;
    case CounterResult::kRejected:
      return postspread::CounterResult::kRefused;
    case CounterResult::kUnreachable:
      return postspread::CounterResult::kUnreachable;
    case CounterResult::kTimedOut:
      return postspread::CounterResult::kTimeout;
  }
  return postspread::CounterResult::kTimeout;
}

EndpointState ToState(UpstreamState state) {
  switch (state) {
    case UpstreamState::kReady:
      return EndpointState::kUp;
    case UpstreamState::kDraining:
      return EndpointState::kDraining;
    case UpstreamState::kRemoved:
      return EndpointState::kRemoved;
  }
  return EndpointState::kRemoved;
}

EndpointListKind ToListKind(EndpointUpdateKind kind) {
  switch (kind) {
    case EndpointUpdateKind::kSnapshot:
      return EndpointListKind::kComplete;
    case EndpointUpdateKind::kChanges:
      return EndpointListKind::kPartial;
    case EndpointUpdateKind::kPersisted:
      return EndpointListKind::kPersisted;
  }
  return EndpointListKind::kPersisted;
}

LoadReport ToLoadReport(const UpstreamLoad& load) {
  return LoadReport{.outstanding = load.outstanding,
                    .queue = load.queue,
                    .utilization = load.utilization,
                    .latency_ms = load.latency_ms,
                    .per_second = load.per_second,
                    .errors_per_second = load.errors_per_second};
}

}  // namespace

Duration TimeLeft(std::chrono::milliseconds timeout) {
  return std::max(std::chrono::milliseconds(1), timeout - kNetworkMargin);
}

RequestEvent ToEvent(const Request& request, RequestId id) {
  RequestEvent event;
  event.id = id;
  event.class_name = request.class_name;
  event.plan = request.plan;
  event.customer = request.customer;
  event.time_left = TimeLeft(request.timeout);
  event.units = request.units;
  event.spread = request.spread;
  event.first_gateway = request.first;
  event.retry = request.is_retry;
  event.write = request.is_write;
  return event;
}

OutcomeEvent ToEvent(AttemptReport&& report, const Settings& settings) {
  OutcomeEvent event;
  event.id = report.request;
  event.attempt = report.attempt;
  event.upstream = std::move(report.upstream);
  event.outcome = ToOutcome(report.result);
  event.elapsed = report.elapsed;
  event.load = ToLoadReport(report.load);
  // No request costs more than the configured maximum, so a greater value is ignored like an unreadable one.
  const bool is_plausible = report.use.units <= settings.max_units;
  if (settings.settles_after_response && is_plausible) event.true_units = report.use.units;
  return event;
}

CounterEvent ToEvent(CounterReport&& report) {
  return CounterEvent{std::move(report.name), ToResult(report.result), report.total, report.elapsed};
}

EndpointListEvent ToEvent(EndpointListReport&& report) {
  auto endpoints = std::make_shared<std::vector<EndpointInfo>>();
  endpoints->reserve(report.upstreams.size());
  for (Upstream& upstream : report.upstreams) {
    endpoints->push_back(EndpointInfo{.id = std::move(upstream.name),
                                      .zone = std::move(upstream.zone),
                                      .kind = std::move(upstream.kind),
                                      .cell = upstream.cell,
                                      .state = ToState(upstream.state),
                                      .weight = upstream.weight,
                                      .started = upstream.started});
  }
  EndpointListEvent event;
  event.kind = ToListKind(report.kind);
  event.version = report.index;
  event.upstreams = std::move(endpoints);
  return event;
}

ProbeEvent ToEvent(HealthCheckReport&& report) {
  return ProbeEvent{std::move(report.upstream), ToOutcome(report.result), report.elapsed,
                    ToLoadReport(report.load)};
}

}  // namespace postspread::planner
