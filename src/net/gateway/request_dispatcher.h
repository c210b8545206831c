// This module moves a request from its admission to its final response.
#ifndef POSTSPREAD_NET_GATEWAY_REQUEST_DISPATCHER_H_
#define POSTSPREAD_NET_GATEWAY_REQUEST_DISPATCHER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "config/settings.h"
#include "net/downstream/request_handler.h"
#include "net/gateway/admission_control.h"
#include "net/gateway/in_flight_requests.h"
#include "net/gateway/planner_driver.h"
#include "net/gateway/response_streams.h"
#include "net/gateway/service_state.h"
#include "net/upstream/upstream_pool.h"
#include "ops/metrics.h"
#include "planner/planner.h"
#include "safety/request_claims.h"

namespace postspread::net {

// Stands for a request that was rejected before the planner assigned an id; the planner never assigns 0.
inline constexpr RequestId kNoRequest = 0;

// Admits requests, asks the planner for decisions, starts delivery attempts and sends final responses. A
// request ends when it is released from the requests in flight. The code that releases it sends its final
// response, so that each request gets exactly one.
class RequestDispatcher final : public RequestHandler, public AttemptListener {
 public:
  struct Collaborators {
    const Settings& settings;
    planner::Planner& planner;
    PlannerDriver& driver;
    AdmissionControl& admission;
    InFlightRequests& in_flight;
    ResponseStreams& streams;
    UpstreamPool& pool;
    ServiceState& service_state;
    ops::Metrics& metrics;
    safety::RequestClaims& claims;
  };
  explicit RequestDispatcher(const Collaborators& collaborators);

  // Each of these executes one of the planner's actions on a request.
  void Execute(const planner::StartAttempt& action);
  void Execute(const planner::RejectWithRetryAfter& action);
  void Execute(const planner::FailRequest& action);
  void Execute(const planner::CompleteRequest& action);
  void Execute(const planner::ReleaseRequest& action);
  void Execute(const planner::CancelAttempt& action);

  // Fails every request whose client still waits, so that each has a response at the end of a shutdown.
  void FailAllAwaited();

  // RequestHandler
  bool Ready() override { return service_state_.RefreshReadiness(); }
  RequestId HandleRequest(const Request& request, resp::EncodedRequest encoded, ResponseWriter& writer,
                          ResponseWriter::Slot slot) override;
  void RejectUnread(const Request& request, ops::RejectReason reason, ResponseWriter& writer,
                    ResponseWriter::Slot slot) override {
    Reject(request, reason, writer, slot);
  }
  void OnClientDisconnect(RequestId request) override;
  void ResumeStream(RequestId request) override { streams_.Resume(request); }

  // AttemptListener
  void OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) override;
  void OnHealthCheckFinished(const planner::HealthCheckReport& report) override { driver_.Report(report); }
  bool IsStillNeeded(RequestId request) override;
  void OnRulePrevented(safety::Rule rule) override { metrics_.rules.Prevented(rule); }
  Value OnLargeValue(const planner::AttemptReport& report) override;
  std::size_t StreamCapacity(RequestId request) override { return streams_.Capacity(request); }
  void StreamValue(RequestId request, evbuffer* from, std::size_t size) override {
    streams_.Write(request, from, size);
  }
  void OnStreamFinished(RequestId request, StreamEnd end) override;
  void OnAttemptWritten() override { ++metrics_.upstream_requests; }

 private:
  void Reject(const Request& request, ops::RejectReason reason, ResponseWriter& writer,
              ResponseWriter::Slot slot);
  void RecordAttemptEnd(const planner::AttemptReport& report);
  // Releases a request from those in flight, and withdraws its claim if it surely never ran.
  std::optional<InFlightRequest> Release(RequestId id);
  void DiscardMessages(RequestId id, const InFlightRequest& request);
  void CancelPartlySent(RequestId id, const InFlightRequest& request);
  void LimitEarlierAttempts(RequestId id, const InFlightRequest& request);

  const Settings& settings_;
  planner::Planner& planner_;
  PlannerDriver& driver_;
  AdmissionControl& admission_;
  InFlightRequests& in_flight_;
  ResponseStreams& streams_;
  UpstreamPool& pool_;
  ServiceState& service_state_;
  ops::Metrics& metrics_;
  safety::RequestClaims& claims_;
  RequestId refused_value_ = kNoRequest;  // its value was refused, and its attempt has not been reported
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_REQUEST_DISPATCHER_H_
