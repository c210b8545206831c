// Joins the clients' side, the planner and what the planner's steps need. It decides nothing: it carries out
// steps and reports what came back.
#ifndef POSTSPREAD_NET_GATEWAY_SERVER_H_
#define POSTSPREAD_NET_GATEWAY_SERVER_H_

#include <cstddef>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "flow/byte_budget.h"
#include "flow/datagram_budget.h"
#include "flow/shares.h"
#include "net/admin_server.h"
#include "net/downstream/client_listener.h"
#include "net/loop_monitor.h"
#include "net/peer_link.h"
#include "net/upstream/counter_client.h"
#include "net/upstream/discovery_watch.h"
#include "net/upstream/upstream_pool.h"
#include "operator/operator_file.h"
#include "ops/admin_calls.h"
#include "ops/lifecycle.h"
#include "ops/metrics.h"
#include "planner/planner.h"
#include "safety/attempt_rules.h"

namespace postspread::net {

class GatewayServer final : private RequestHandler,
                            private AttemptListener,
                            private CounterListener,
                            private ops::AdminHandler {
 public:
  // Listens at once; throws std::runtime_error where it can't.
  GatewayServer(event_base* base, const config::Config& config,
                const operator_file::OperatorFile& operators = {},
                membership::DisabledDefense disabled = membership::DisabledDefense::kNothing);
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  // SIGHUP has come and `config` is sound: takes on its addresses of discovery and of the counter. What is
  // under way, the list of upstreams and all that was learnt stay. Returns whether it holds anything that
  // only a restart can take on.
  bool Reload(const config::Config& config, const operator_file::OperatorFile& operators = {});

  const config::Config& config() const { return config_; }
  // A configuration has come with SIGHUP and was turned down.
  void ReloadFailed() { ++metrics_.config_reload_errors; }

  // SIGTERM has come: goes on for a while, then answers what was taken and ends the loop.
  void Stop();

 private:
  struct InFlightRequest {  // a request that is owed its final answer
    resp::EncodedRequest encoded;
    RetrySafety effect = RetrySafety::kIdempotent;   // of its class when it came
    std::vector<safety::EarlierAttempt> attempts{};  // by number
    ResponseWriter* writer = nullptr;  // null: its sender has gone, and its work goes on for others
    ResponseWriter::Slot slot = 0;
    ops::ClassMetrics* metrics = nullptr;  // of its class
  };

  struct StreamingResponse {  // a request whose final answer has begun and comes in pieces
    ResponseWriter* writer = nullptr;
    ResponseWriter::Slot slot = 0;
    int attempt = 0;
    ops::ClassMetrics* metrics = nullptr;
  };

  // RequestHandler
  bool Ready() override;
  RequestId HandleRequest(const Request& request, resp::EncodedRequest encoded, ResponseWriter& writer,
                          ResponseWriter::Slot slot) override;
  void OnClientDisconnect(RequestId number) override;
  void ResumeStream(RequestId number) override;
  // AttemptListener
  void OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) override;
  void OnHealthCheckFinished(const planner::HealthCheckReport& report) override;
  bool IsStillNeeded(RequestId request) override;
  void OnRulePrevented(safety::Rule rule) override { metrics_.rules.Prevented(rule); }
  Value OnLargeValue(const planner::AttemptReport& report) override;
  std::size_t StreamCapacity(RequestId request) override;
  void StreamValue(RequestId request, evbuffer* from, std::size_t size) override;
  void OnStreamFinished(RequestId request, StreamEnd end) override;
  void OnAttemptWritten() override { ++metrics_.upstream_requests; }
  // CounterListener
  void OnCounterReply(planner::CounterReport report) override;
  // ops::Desk
  bool Ready(std::string_view& state) override;
  std::string Metrics() override;
  std::string Membership() override;
  bool Drain() override;
  bool Activate() override;

  void OnEndpointList(const config::EndpointList& endpoint_list, EndpointUpdateKind scope);
  void Report(planner::ReportValue report);
  void Run(planner::Actions actions);
  void RunQueued();
  void ArmTick();
  void Tick();
  flow::ByteBudget& Budget(const resp::EncodedRequest& encoded);
  std::optional<InFlightRequest> Release(RequestId number);
  void Execute(planner::StartAttempt& action);
  void Execute(planner::RejectWithRetryAfter& action);
  void Execute(planner::FailRequest& action);
  void Execute(planner::CompleteRequest& action);
  void Execute(planner::ReleaseRequest& action);
  void Execute(planner::SendDatagram& action);
  void Execute(planner::SendMembershipDatagram& action);
  void Execute(planner::CancelAttempt& action);
  void Execute(planner::CallCounter& action);
  void Execute(planner::StartHealthCheck& action);
  void Execute(planner::LogEvent& action);
  std::optional<ops::MembershipMetrics> MembershipMetrics() const;
  bool CanServe() const;
  void LogStateChange();
  void RegisterClasses();
  void AdvanceShutdown();
  void FailAllInFlight();
  std::chrono::microseconds LongestDeadline() const;
  RetrySafety EffectOf(std::string_view class_name) const;
  void RecordAttemptEnd(const planner::AttemptReport& report);
  RequestId RejectRequest(const Request& request, ops::RefusalReason reason, ResponseWriter& writer,
                          ResponseWriter::Slot slot);
  void FinishShutdown();
  void StartAccepting();
  void DialCounter(const config::Address& address);
  void CloseRetired();
  void LogKeys();

  event_base* base_;
  config::Config config_;
  operator_file::OperatorFile operators_;
  planner::Planner planner_;
  std::size_t max_in_flight_;
  flow::Shares shares_;
  flow::ByteBudget request_budget_;  // commands held, but for the large ones
  flow::ByteBudget bodies_;          // large commands, in reading and held
  std::unordered_map<RequestId, InFlightRequest> in_flight_;
  std::unordered_map<RequestId, StreamingResponse> streaming_;
  bool busy_ = false;                         // steps are being carried out
  std::deque<planner::ReportValue> reports_;  // what came back meanwhile
  std::optional<Clock::time_point> armed_;
  Timer tick_;
  Timer settle_;
  Timer start_;  // with an inherited socket: until it is accepted from
  Timer stop_;
  Timer retire_;
  Timer keys_;
  LoopMonitor monitor_;
  idempotency::Counts keys_told_;  // at the last line about the store of keys
  bool settled_ = false;
  ops::Lifecycle lifecycle_;
  ops::Lifecycle::State logged_state_ = ops::Lifecycle::State::kStarting;
  Clock::time_point started_ = Clock::now();
  ops::Metrics metrics_;
  std::size_t ready_upstreams_ = 0;
  std::unordered_map<std::string, bool> upstreams_;  // by name: ready
  UpstreamPool pool_;
  std::list<CounterClient> counters_;  // the last is the configuration's; those before it are being left
  ClientListener client_listener_;
  std::optional<DiscoveryWatch> discovery_;
  flow::DatagramBudget datagrams_;
  std::optional<PeerLink> peers_;
  std::optional<PeerLink> membership_link_;  // where the membership view has a socket of its own
  std::optional<AdminServer> admin_server_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_SERVER_H_
