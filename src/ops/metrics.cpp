#include "ops/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

namespace postspread::ops {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily Family(const char* name, const char* help, MetricType type) {
  MetricFamily out;
  out.name = std::string("svc_") + name;
  out.help = help;
  out.type = type;
  return out;
}

MetricFamily Counter(const char* name, const char* help, std::uint64_t value) {
  MetricFamily family = Family(name, help, MetricType::Counter);
  family.metric.emplace_back().counter.value = static_cast<double>(value);
  return family;
}

MetricFamily Gauge(const char* name, const char* help, std::size_t value) {
  MetricFamily family = Family(name, help, MetricType::Gauge);
  family.metric.emplace_back().gauge.value = static_cast<double>(value);
  return family;
}

MetricFamily ByClass(const char* name, const char* help, const Metrics& metrics,
                     std::uint64_t ClassMetrics::*member) {
  MetricFamily family = Family(name, help, MetricType::Counter);
  for (const auto& [class_name, counts] : metrics.classes) {
    ClientMetric& metric = family.metric.emplace_back();
    metric.label.push_back({"lane", class_name});
    metric.counter.value = static_cast<double>(counts.*member);
  }
  return family;
}

template <typename T>
MetricFamily Labelled(const char* name, const char* help, MetricType type, const char* label,
                      const std::map<std::string, T>& values) {
  MetricFamily family = Family(name, help, type);
  for (const auto& [label_value, value] : values) {
    ClientMetric& metric = family.metric.emplace_back();
    metric.label.push_back({label, label_value});
    (type == MetricType::Gauge ? metric.gauge.value : metric.counter.value) = static_cast<double>(value);
  }
  return family;
}

// Maps the name of each value of the enumeration `Reason` to its count.
template <typename Reason, std::size_t kCount>
std::map<std::string, std::uint64_t> ByName(const std::array<std::uint64_t, kCount>& counts) {
  std::map<std::string, std::uint64_t> out;
  for (std::size_t i = 0; i < kCount; ++i) out.emplace(Name(static_cast<Reason>(i)), counts[i]);
  return out;
}

void AddMembership(const MembershipMetrics& membership, std::vector<MetricFamily>& out) {
  out.push_back(Labelled("fleet_members", "Gatekeepers by what this one holds of them", MetricType::Gauge,
                         "state", membership.members));
  out.push_back(Labelled("fleet_dropped", "Datagrams that changed nothing, by cause", MetricType::Counter,
                         "cause", membership.dropped));
  out.push_back(
      Counter("fleet_suspicions_raised", "Suspicions of this gatekeeper", membership.suspicions_raised));
  out.push_back(
      Counter("fleet_suspicions_refuted", "Of these: the suspect answered", membership.suspicions_refuted));
  out.push_back(
      Counter("fleet_deaths_declared", "Deaths that this gatekeeper declared", membership.deaths_declared));
  out.push_back(
      Counter("fleet_view_changes", "Changes of the set of living members", membership.view_changes));
  out.push_back(
      Counter("fleet_name_conflicts", "Signs of two processes under one name", membership.name_conflicts));
  out.push_back(Counter("fleet_datagrams_sent", "Datagrams of the view", membership.datagrams_sent));
  out.push_back(Counter("fleet_bytes_sent", "Their bytes", membership.bytes_sent));
  out.push_back(Counter("fleet_held_back", "Datagrams not sent for want of budget", membership.throttled));
}

}  // namespace

std::string_view Name(CloseReason reason) {
  switch (reason) {
    case CloseReason::kClientClosed:
      return "client_closed";
    case CloseReason::kDrained:
      return "drained";
    case CloseReason::kStopping:
      return "stopping";
    case CloseReason::kIdle:
      return "idle";
    case CloseReason::kEvicted:
      return "evicted";
    case CloseReason::kProtocolError:
      return "protocol_error";
    case CloseReason::kWriteTimeout:
      return "untaken";
    case CloseReason::kStreamAborted:
      return "broken_value";
    case CloseReason::kRejected:
      return "turned_away";
  }
  return "";
}

std::string_view Name(RejectReason reason) {
  switch (reason) {
    case RejectReason::kTooManyInFlight:
      return "too_many_held";
    case RejectReason::kNoMemory:
      return "no_memory";
    case RejectReason::kDecision:
      return "decision";
    case RejectReason::kDraining:
      return "leaving";
    case RejectReason::kDeadlineExceeded:
      return "no_time_left";
  }
  return "";
}

// This function is a table with one entry for each metric, so it is long.
std::string Render(const Metrics& metrics, const Gauges& gauges) {
  std::vector<MetricFamily> out{
      ByClass("completed", "Requests served", metrics, &ClassMetrics::completed),
      ByClass("rejected", "Requests refused", metrics, &ClassMetrics::rejected),
      ByClass("failed", "Requests failed", metrics, &ClassMetrics::failed),
      Counter("upstream_requests", "Attempts written whole to workers", metrics.upstream_requests),
      Counter("repeated_attempts", "Further attempts of requests", metrics.repeated_attempts),
      Labelled("attempts_ended", "Attempts by how they ended", MetricType::Counter, "result",
               metrics.attempts_ended),
      Labelled("client_connections_closed", "Connections of clients by why they ended", MetricType::Counter,
               "reason", ByName<CloseReason>(metrics.connections_closed)),
      Labelled("refusals", "Requests refused by what refused them", MetricType::Counter, "reason",
               ByName<RejectReason>(metrics.rejections)),
      Labelled("rule_violations", "Rules on what may be sent, repeated or closed that were broken",
               MetricType::Counter, "rule", ByName<safety::Rule>(metrics.rules.violated)),
      Labelled("rule_preventions", "What was not done, for it would have broken a rule", MetricType::Counter,
               "rule", ByName<safety::Rule>(metrics.rules.prevented)),
      Gauge("client_connections", "Connections of clients", gauges.client_connections),
      Gauge("pending", "Requests taken and not ended", gauges.pending),
      Gauge("large_request_bytes", "Bytes reserved for large requests", gauges.large_request_bytes),
      Gauge("large_requests_waiting", "Large requests that wait for memory", gauges.large_requests_waiting),
      Labelled("memory_bytes", "Memory of each part", MetricType::Gauge, "part", gauges.memory_bytes),
      Labelled("memory_limit_bytes", "Most memory of each part", MetricType::Gauge, "part",
               gauges.memory_limit_bytes),
      Gauge("resident_bytes", "Resident memory of the process", gauges.resident_bytes),
      Gauge("members", "Workers in the list", gauges.members),
      Gauge("members_unavailable", "Listed workers that are avoided now", gauges.members_unavailable),
      Counter("config_reloads", "Configurations taken on at SIGHUP", metrics.config_reloads),
      Counter("config_reload_errors", "Configurations turned down at SIGHUP", metrics.config_reload_errors),
      Counter("over_quota_answers", "Answers that told of a customer beyond its quota",
              metrics.over_quota_responses),
      Counter("odd_use", "Answers whose figures on use could not be read", metrics.unreadable_usage_reports)};
  if (gauges.membership) AddMembership(*gauges.membership, out);
  return prometheus::TextSerializer().Serialize(out);
}

}  // namespace postspread::ops
