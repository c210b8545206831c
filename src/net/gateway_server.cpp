#include "net/gateway_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/log.h"

namespace postspread::net {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kSettle{1'000};         // for discovery and the counter to answer after the start
constexpr milliseconds kKeepServing{500};      // after SIGTERM new connections go on coming for a while
constexpr milliseconds kStartCheck{20};        // between two looks whether clients can be let in
constexpr milliseconds kStartAnyway{3'000};    // after which they are let in all the same
constexpr milliseconds kStopCheck{20};         // between two looks whether all is answered
constexpr milliseconds kLastWord{50};          // after the last answers, for clients to take them
constexpr milliseconds kRetireCheck{50};       // between two looks whether an old counter is done with
constexpr std::chrono::seconds kKeysLine{10};  // between two lines about the store of keys
constexpr std::size_t kBytesPerMb = 1 << 20;

resp::Vocabulary ToVocabulary(const Settings& settings) {
  resp::Vocabulary out;
  for (const ClassSettings& c : settings.classes) {
    out.classes.push_back({.name = c.name,
                           .is_safe = c.retry_safety == RetrySafety::kIdempotent,
                           .is_keyed = c.retry_safety == RetrySafety::kIdempotencyKey});
  }
  for (const PlanSettings& p : settings.plans) out.plans.push_back(p.name);
  out.gateways = settings.group_size;
  out.max_units = settings.max_units;
  return out;
}

microseconds WallNow() {
  return duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

std::optional<config::Peers> PeersOf(const config::Config& config,
                                     const operator_file::OperatorFile& operators) {
  const bool membership = operators.membership.enabled && operators.membership.listen.empty();
  if (!operators.idempotency.enabled && !operators.usage.broadcast && !membership) return std::nullopt;
  return config::ToPeers(config);
}

std::uint64_t PeerIdOf(const std::string& text) {
  const std::optional<config::Address> address = config::Address::Parse(text);
  return PeerLink::PeerIdOf(*reinterpret_cast<const sockaddr_in*>(address->get()));
}

planner::PlannerOptions ToExtras(const config::Config& config, const operator_file::OperatorFile& operators,
                                 membership::DisabledDefense disabled) {
  const std::optional<config::Peers> peers = PeersOf(config, operators);
  planner::PlannerOptions out;
  out.idempotency = operators.idempotency;
  out.usage = operators.usage;
  out.has_peers = peers.has_value();
  out.membership = operators.membership;
  out.subsetting = operators.subsetting;
  out.name = config.name;
  out.may_be_succeeded = config.inherited.has_value();
  out.disabled = disabled;
  if (!operators.membership.enabled) return out;
  if (!operators.membership.listen.empty()) {
    out.peer = PeerIdOf(operators.membership.listen);
    for (const std::string& seed : operators.membership.seeds) out.seeds.push_back(PeerIdOf(seed));
  } else if (peers) {
    out.peer = static_cast<membership::PeerId>(config.settings.rank);
    for (std::size_t rank = 0; rank < peers->each.size(); ++rank) out.seeds.push_back(rank);
  }
  return out;
}

flow::Shares SharesOf(const config::Config& config) {
  return flow::ToShares({.memory = config.memory_mb * kBytesPerMb,
                         .sockets = config.sockets,
                         .shared = config.inherited.has_value(),
                         .has_admin_server = config.ops.has_value(),
                         .largest_command = resp::kMaxCommand});
}

}  // namespace

GatewayServer::GatewayServer(event_base* base, const config::Config& config,
                             const operator_file::OperatorFile& operators,
                             membership::DisabledDefense disabled)
    : base_(base),
      config_(config),
      operators_(operators),
      planner_(config.settings, config.seed, WallNow(), Clock::now(), ToExtras(config, operators, disabled)),
      max_in_flight_(config.max_in_flight),
      shares_(SharesOf(config)),
      request_budget_(shares_.requests),
      bodies_(shares_.bodies),
      tick_(base, [this] { Tick(); }),
      settle_(base, [this] { settled_ = true; }),
      start_(base, [this] { StartAccepting(); }),
      stop_(base, [this] { AdvanceShutdown(); }),
      retire_(base, [this] { CloseRetired(); }),
      keys_(base, [this] { LogKeys(); }),
      monitor_(base),
      pool_(base,
            {.dial_timeout = config.settings.dial_timeout,
             .idle = config.upstream_idle,
             .connections = shares_.upstreams},
            *this),
      client_listener_(base, config.listen, config.inherited, ToVocabulary(config.settings), shares_.clients,
                       bodies_, metrics_, *this),
      datagrams_(config.settings.peer_messages_per_second) {
  if (config.counter) DialCounter(*config.counter);
  OnEndpointList(config.known, EndpointUpdateKind::kPersisted);
  discovery_.emplace(base, config.discovery, config.settings.dial_timeout, config.settings.group_size,
                     config.seed, [this](config::EndpointList endpoint_list) {
                       const auto scope =
                           endpoint_list.full ? EndpointUpdateKind::kSnapshot : EndpointUpdateKind::kChanges;
                       OnEndpointList(std::move(endpoint_list), scope);
                     });
  settle_.Arm(kSettle);
  if (std::optional<config::Peers> peers = PeersOf(config, operators)) {
    peers_.emplace(base, peers->listen, std::move(peers->each), std::move(peers->all),
                   config.inherited.has_value(), [this](int rank, std::string_view bytes) {
                     Report(planner::PeerReport{rank, std::string(bytes)});
                   });
  }
  if (operators.membership.enabled && !operators.membership.listen.empty()) {
    membership_link_.emplace(base, *config::Address::Parse(operators.membership.listen),
                             config.inherited.has_value(),
                             [this](std::uint64_t peer, std::string_view bytes) {
                               Report(planner::MembershipReport{peer, std::string(bytes)});
                             });
  }
  if (planner_.replica() != nullptr) keys_.Arm(kKeysLine);
  if (planner_.membership() != nullptr) ArmTick();
  RegisterClasses();
  if (config.inherited) start_.Arm(kStartCheck);
  if (config.ops) admin_server_.emplace(base, *config.ops, static_cast<ops::AdminHandler&>(*this));
}

// Each class is told with 0 from the start.
void GatewayServer::RegisterClasses() {
  for (const ClassSettings& cls : config_.settings.classes) metrics_.Of(cls.name);
}

bool GatewayServer::CanServe() const {
  // An outage of the counter or of discovery must not keep a gateway that has upstreams from starting.
  const bool connected = (counters_.empty() || counters_.back().up()) && discovery_->has_list();
  return ready_upstreams_ > 0 && (connected || settled_);
}

// Logs each change of the state of the process, once.
void GatewayServer::LogStateChange() {
  const ops::Lifecycle::State state = lifecycle_.state();
  if (state == logged_state_) return;
  Log("state", std::string(Name(logged_state_)) + " to " + std::string(Name(state)));
  logged_state_ = state;
}

bool GatewayServer::Ready() {
  lifecycle_.SetAble(CanServe());
  LogStateChange();
  return lifecycle_.serves();
}

bool GatewayServer::Ready(std::string_view& state) {
  const bool ready = Ready();
  state = ops::Name(lifecycle_.state());
  return ready;
}

std::string GatewayServer::Metrics() {
  const Controller::UpstreamCounts counts = planner_.Count(Clock::now());
  return ops::Render(metrics_, {.pending = in_flight_.size() + streaming_.size(),
                                .client_connections = client_listener_.size(),
                                .members = counts.listed,
                                .members_unavailable = counts.avoided,
                                .membership = MembershipMetrics()});
}

std::optional<ops::MembershipMetrics> GatewayServer::MembershipMetrics() const {
  const membership::Membership* membership = planner_.membership();
  if (membership == nullptr) return std::nullopt;
  const membership::Counts& counts = membership->counts();
  ops::MembershipMetrics out;
  for (std::size_t i = 0; i < membership::kStates; ++i) {
    out.members[std::string(membership::Name(static_cast<membership::State>(i)))] = 0;
  }
  for (const membership::Member& m : membership->view().members)
    ++out.members[std::string(Name(m.update.state))];
  out.dropped = {{"unreadable", counts.unreadable}, {"foreign", counts.foreign},
                 {"future", counts.future},         {"former_life", counts.former_incarnation},
                 {"unasked", counts.unasked},       {"no_room", counts.no_room}};
  out.suspicions_raised = counts.suspicions_raised;
  out.suspicions_refuted = counts.suspicions_refuted;
  out.deaths_declared = counts.deaths_declared;
  out.view_changes = counts.view_changes;
  out.datagrams_sent = counts.sent;
  out.bytes_sent = counts.bytes_sent;
  out.name_conflicts = counts.name_conflicts;
  out.held_back = counts.held_back + datagrams_.held_back();
  return out;
}

std::string GatewayServer::Membership() {
  const membership::Membership* membership = planner_.membership();
  if (membership == nullptr) return {};
  const membership::View view = membership->view();
  char hash[17];
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(view.hash));
  nlohmann::json members = nlohmann::json::array();
  for (const membership::Member& m : view.members) {
    std::string address = std::to_string(m.peer);
    if (membership_link_) address = PeerLink::TextOf(m.peer);
    if (peers_ && !membership_link_ && m.peer < config_.peers.size()) address = config_.peers[m.peer];
    members.push_back({{"name", m.name},
                       {"address", address},
                       {"state", Name(m.update.state)},
                       {"life", m.update.incarnation},
                       {"since_ms", duration_cast<milliseconds>(m.since).count()},
                       {"word", m.update.refutations}});
  }
  return nlohmann::json{
      {"self", membership->name()}, {"life", membership->incarnation()}, {"view", hash}, {"members", members}}
      .dump();
}

bool GatewayServer::Drain() {
  const bool begins = !lifecycle_.draining();
  if (!lifecycle_.Drain(Clock::now())) return false;
  LogStateChange();
  if (begins) {
    Log("drained", "by an operator's call");
    client_listener_.StartDraining(ops::kOperatorDrain, ops::CloseReason::kDrained);
  }
  return true;
}

bool GatewayServer::Activate() {
  const bool ends = lifecycle_.draining();
  if (!lifecycle_.Activate()) return false;
  LogStateChange();
  if (ends) {
    Log("active again", "by an operator's call");
    client_listener_.StopDraining();
  }
  return true;
}

RequestId GatewayServer::HandleRequest(const Request& request, resp::EncodedRequest encoded,
                                       ResponseWriter& writer, ResponseWriter::Slot slot) {
  using Reason = ops::RefusalReason;
  const auto now = Clock::now();
  const microseconds longest = LongestDeadline();
  if (!lifecycle_.TakesRequests(now, longest)) return RejectRequest(request, Reason::kLeaving, writer, slot);
  if (in_flight_.size() >= max_in_flight_) return RejectRequest(request, Reason::kTooManyHeld, writer, slot);
  // Where the loop stood still it may have come as long ago as that, and its client has waited since. What
  // comes in a stop has no more time than the platform leaves it.
  Request timely = request;
  auto left = request.timeout - std::chrono::floor<milliseconds>(monitor_.StoodStill(now));
  if (lifecycle_.stopping()) {
    left = std::min(left, std::chrono::floor<milliseconds>(lifecycle_.AnswerBy(longest) - now));
  }
  if (left.count() <= 0) return RejectRequest(request, Reason::kNoTimeLeft, writer, slot);
  timely.timeout = left;
  if (!Budget(encoded).Take(encoded.size())) return RejectRequest(request, Reason::kNoMemory, writer, slot);
  const planner::Planner::PickResult result = planner_.Pick(timely, now);
  in_flight_.emplace(result.number, InFlightRequest{.encoded = std::move(encoded),
                                                    .effect = EffectOf(request.class_name),
                                                    .writer = &writer,
                                                    .slot = slot,
                                                    .metrics = &metrics_.Of(request.class_name)});
  Run(result.actions);
  RunQueued();
  return result.number;
}

// A refusal that the decision module is not asked for.
RequestId GatewayServer::RejectRequest(const Request& request, ops::RefusalReason reason,
                                       ResponseWriter& writer, ResponseWriter::Slot slot) {
  const Settings& settings = config_.settings;
  metrics_.Refused(reason);
  ++metrics_.Of(request.class_name).rejected;
  const bool advises = settings.retry_after;
  writer.RejectWithRetryAfter(
      slot, advises ? std::chrono::ceil<milliseconds>(settings.max_retry_after) : milliseconds(0));
  return 0;
}

RetrySafety GatewayServer::EffectOf(std::string_view class_name) const {
  const auto& classes = config_.settings.classes;
  const auto found = std::find_if(classes.begin(), classes.end(),
                                  [class_name](const ClassSettings& c) { return c.name == class_name; });
  return found == classes.end() ? RetrySafety::kNotIdempotent : found->retry_safety;
}

flow::ByteBudget& GatewayServer::Budget(const resp::EncodedRequest& encoded) {
  return encoded.size() > resp::kMaxHead ? bodies_ : request_budget_;
}

void GatewayServer::ResumeStream(RequestId number) {
  const auto found = streaming_.find(number);
  if (found != streaming_.end()) pool_.Resume({number, found->second.attempt});
}

AttemptListener::Value GatewayServer::OnLargeValue(const planner::AttemptReport& report) {
  if (planner_.NeedsAnswer(report.request)) return Value::kWhole;
  RecordAttemptEnd(report);
  const std::optional<InFlightRequest> held = Release(report.request);
  if (!held || held->writer == nullptr) return Value::kNone;
  streaming_.emplace(report.request,
                     StreamingResponse{held->writer, held->slot, report.attempt, held->metrics});
  held->writer->BeginStream(held->slot, shares_.Window(streaming_.size()));
  // For the decisions the attempt has ended: what is left is the way to the client.
  Report(report);
  return Value::kPass;
}

std::size_t GatewayServer::StreamCapacity(RequestId request) {
  const auto found = streaming_.find(request);
  return found == streaming_.end() ? 0 : found->second.writer->StreamCapacity(found->second.slot);
}

void GatewayServer::StreamValue(RequestId request, evbuffer* from, std::size_t size) {
  const auto found = streaming_.find(request);
  if (found != streaming_.end()) found->second.writer->WriteStream(found->second.slot, from, size);
}

void GatewayServer::OnStreamFinished(RequestId request, StreamEnd end) {
  const auto found = streaming_.find(request);
  if (found == streaming_.end()) return;
  const StreamingResponse streaming = found->second;
  streaming_.erase(found);
  if (end == StreamEnd::kComplete) {
    ++streaming.metrics->completed;
    return streaming.writer->EndStream(streaming.slot);
  }
  ++streaming.metrics->failed;
  streaming.writer->AbortStream(streaming.slot);
}

void GatewayServer::OnClientDisconnect(RequestId number) {
  if (const auto streaming = streaming_.find(number); streaming != streaming_.end()) {
    const int attempt = streaming->second.attempt;
    streaming_.erase(streaming);
    return pool_.CancelAttempt({number, attempt});
  }
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end()) return;
  found->second.writer = nullptr;
  if (!planner_.OutlivesClient(number)) Release(number);
  Report(planner::ClientDisconnected{number});
}

void GatewayServer::OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) {
  RecordAttemptEnd(report);
  metrics_.odd_use += report.use.unreadable;
  metrics_.over_quota_answers += config_.settings.meter_period.count() > 0 && report.use.percent > 100;
  if (report.result == planner::AttemptResult::kSucceeded) {
    if (planner_.NeedsAnswer(report.request)) {
      planner::AttemptReport kept = report;
      kept.value = value;
      return Report(std::move(kept));
    }
    const std::optional<InFlightRequest> held = Release(report.request);
    if (held && held->writer != nullptr) {
      ++held->metrics->completed;
      held->writer->Complete(held->slot, value);
    }
  }
  Report(report);
}

void GatewayServer::RecordAttemptEnd(const planner::AttemptReport& report) {
  using Result = planner::AttemptResult;
  ++metrics_.attempts_ended[std::string(Name(report.result))];
  const auto found = in_flight_.find(report.request);
  if (found == in_flight_.end()) return;
  const auto number = static_cast<std::size_t>(report.attempt);
  if (number >= found->second.attempts.size()) return;
  const bool never_ran = report.result == Result::kRejected || report.result == Result::kConnectFailed;
  found->second.attempts[number] = {.out = false, .may_have_run = !never_ran};
}

bool GatewayServer::IsStillNeeded(RequestId request) {
  const auto found = in_flight_.find(request);
  if (found == in_flight_.end()) return false;
  if (planner_.OutlivesClient(request)) return true;
  ResponseWriter* writer = found->second.writer;
  return writer != nullptr && writer->IsClientConnected();
}

void GatewayServer::OnHealthCheckFinished(const planner::HealthCheckReport& report) { Report(report); }

void GatewayServer::OnCounterReply(planner::CounterReport report) { Report(std::move(report)); }

void GatewayServer::OnEndpointList(const config::EndpointList& endpoint_list, EndpointUpdateKind scope) {
  planner::EndpointListReport report{.kind = scope, .index = endpoint_list.index, .upstreams = {}};
  if (endpoint_list.full) upstreams_.clear();
  for (const config::Endpoint& entry : endpoint_list.entries) {
    if (entry.upstream.state == UpstreamState::kRemoved) {
      upstreams_.erase(entry.upstream.name);  // names are never used again: kept, they would only grow
    } else {
      upstreams_[entry.upstream.name] = entry.upstream.state == UpstreamState::kReady;
    }
    report.upstreams.push_back(entry.upstream);
  }
  ready_upstreams_ = static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto& h) { return h.second; }));
  // The planner hears of the list before it hears of the attempts that the list ends.
  busy_ = true;
  pool_.Apply(endpoint_list);
  busy_ = false;
  reports_.push_front(std::move(report));
  RunQueued();
}

void GatewayServer::Report(planner::ReportValue report) {
  reports_.push_back(std::move(report));
  RunQueued();
}

// The planner is called only between steps: what comes back while steps are carried out waits its turn.
void GatewayServer::RunQueued() {
  if (busy_) return;
  while (!reports_.empty()) {
    planner::ReportValue report = std::move(reports_.front());
    reports_.pop_front();
    Run(planner_.Report(std::move(report), Clock::now()));
  }
  ArmTick();
}

void GatewayServer::Run(planner::Actions actions) {
  busy_ = true;
  for (planner::Action& action : actions) {
    std::visit([this](auto& s) { Execute(s); }, action);
  }
  busy_ = false;
}

void GatewayServer::ArmTick() {
  const std::optional<Clock::time_point> next = planner_.NextTick();
  if (!next || (armed_ && *armed_ <= *next)) return;
  armed_ = next;
  tick_.Arm(std::chrono::ceil<microseconds>(*next - Clock::now()));
}

void GatewayServer::Tick() {
  armed_.reset();
  Run(planner_.Tick(Clock::now()));
  RunQueued();
}

std::optional<GatewayServer::InFlightRequest> GatewayServer::Release(RequestId number) {
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end()) return std::nullopt;
  std::optional<InFlightRequest> out = std::move(found->second);
  in_flight_.erase(found);
  flow::ByteBudget& budget = Budget(out->encoded);
  budget.Give(out->encoded.size());
  budget.Grant();
  return out;
}

void GatewayServer::Execute(planner::StartAttempt& action) {
  const auto found = in_flight_.find(action.request);
  if (found == in_flight_.end()) return;
  InFlightRequest& held = found->second;
  metrics_.repeated_attempts += action.attempt > 0;
  if (const std::optional<safety::Rule> rule = safety::MayRetry(held.effect, held.attempts)) {
    metrics_.rules.Prevented(*rule);
    Log("attempt not begun", "it would break the rule " + std::string(Name(*rule)));
    return OnAttemptFinished({.request = action.request,
                              .attempt = action.attempt,
                              .upstream = action.upstream,
                              .result = planner::AttemptResult::kConnectFailed},
                             {});
  }
  held.attempts.resize(static_cast<std::size_t>(action.attempt) + 1);
  held.attempts.back().out = true;
  const resp::EncodedRequest encoded = held.encoded;  // the attempt may end at once, and what is held with it
  pool_.StartAttempt({action.request, action.attempt}, action.upstream, encoded, action.timeout,
                     action.begin_within);
}

void GatewayServer::Execute(planner::RejectWithRetryAfter& action) {
  const std::optional<InFlightRequest> held = Release(action.request);
  if (!held || held->writer == nullptr) return;
  ++held->metrics->rejected;
  metrics_.Refused(ops::RefusalReason::kDecision);
  held->writer->RejectWithRetryAfter(held->slot, std::chrono::ceil<milliseconds>(action.retry_after));
}

void GatewayServer::Execute(planner::FailRequest& action) {
  const std::optional<InFlightRequest> held = Release(action.request);
  if (!held || held->writer == nullptr) return;
  ++held->metrics->failed;
  held->writer->Fail(held->slot, action.reason);
}

void GatewayServer::Execute(planner::CompleteRequest& action) {
  const std::optional<InFlightRequest> held = Release(action.request);
  if (!held || held->writer == nullptr) return;
  ++held->metrics->completed;
  held->writer->Complete(held->slot, *action.value);
}

void GatewayServer::Execute(planner::ReleaseRequest& action) { Release(action.request); }

void GatewayServer::Execute(planner::SendDatagram& action) {
  if (!peers_) return;
  const bool to_all = action.rank == planner::SendDatagram::kAll;
  const std::size_t others = config_.peers.size() - 1;
  if (!datagrams_.Take(to_all ? flow::Datagram::kDemand : flow::Datagram::kKeys, to_all ? others : 1,
                       Clock::now()))
    return;
  if (to_all) return peers_->SendToAll(config_.settings.rank, action.bytes);
  peers_->Send(action.rank, action.bytes);
}

void GatewayServer::Execute(planner::SendMembershipDatagram& action) {
  if (membership_link_) return membership_link_->SendTo(action.peer, action.bytes);
  if (!peers_ || !datagrams_.Take(flow::Datagram::kFleet, 1, Clock::now())) return;
  peers_->Send(static_cast<int>(action.peer), action.bytes);
}

void GatewayServer::Execute(planner::CancelAttempt& action) {
  pool_.CancelAttempt({action.request, action.attempt});
}

void GatewayServer::Execute(planner::CallCounter& action) {
  if (counters_.empty())
    return OnCounterReply({std::move(action.name), planner::CounterResult::kUnreachable, 0, microseconds(0)});
  // After a change of address: answers must come in the order of a name's calls, so a name that still waits
  // on the old connection is asked for there; and the old one serves on until the new one is up.
  for (CounterClient& counter : counters_) {
    if (counter.Awaits(action.name)) return counter.Call(std::move(action));
  }
  const auto up = std::find_if(counters_.rbegin(), counters_.rend(), [](const auto& c) { return c.up(); });
  (up == counters_.rend() ? counters_.back() : *up).Call(std::move(action));
}

void GatewayServer::Execute(planner::StartHealthCheck& action) { pool_.StartHealthCheck(action.upstream); }

void GatewayServer::Execute(planner::LogEvent& action) { Log("decisions", action.line); }

void GatewayServer::DialCounter(const config::Address& address) {
  counters_.emplace_back(base_, address, config_.settings.counter_timeout, config_.settings.dial_timeout,
                         static_cast<CounterListener&>(*this));
}

bool GatewayServer::Reload(const config::Config& config, const operator_file::OperatorFile& operators) {
  if (config.counter && !counters_.empty() && !(counters_.back().address() == *config.counter)) {
    for (CounterClient& counter : counters_) counter.Retire();
    DialCounter(*config.counter);
    retire_.Arm(kRetireCheck);
  }
  if (!(discovery_->address() == config.discovery)) discovery_->MoveTo(config.discovery);
  planner_.SetLimits(operators.idempotency, operators.membership);
  ++metrics_.config_reloads;
  Settings settings = config.settings;
  const bool plans_stay = planner_.Reconfigure(settings);
  if (plans_stay) settings.plans = config_.settings.plans;
  client_listener_.SetVocabulary(ToVocabulary(settings));
  const bool keys_differ = operators.idempotency.enabled != operators_.idempotency.enabled ||
                           operators.idempotency.memory != operators_.idempotency.memory;
  const bool membership_differs = operators.membership.enabled != operators_.membership.enabled ||
                                  operators.membership.name != operators_.membership.name ||
                                  operators.membership.seeds != operators_.membership.seeds ||
                                  operators.membership.listen != operators_.membership.listen ||
                                  operators.subsetting != operators_.subsetting;
  const bool times_differ = config.settings.dial_timeout != config_.settings.dial_timeout ||
                            config.settings.counter_timeout != config_.settings.counter_timeout;
  const bool more = config.name != config_.name || !(config.listen == config_.listen) ||
                    config.memory_mb != config_.memory_mb || config.sockets != config_.sockets ||
                    plans_stay || times_differ || config.upstream_idle != config_.upstream_idle ||
                    config.max_in_flight != config_.max_in_flight || keys_differ || membership_differs;
  datagrams_.SetPace(config.settings.peer_messages_per_second);
  config_.settings = std::move(settings);
  config_.keys = config.keys;
  RegisterClasses();
  return more;
}

// A counter that was left goes once it owes nothing and another is up in its place, or once it is lost.
void GatewayServer::CloseRetired() {
  const bool replaced = counters_.back().up();
  for (auto it = counters_.begin(); std::next(it) != counters_.end();) {
    const bool over = !it->AwaitsAny() && (replaced || !it->up());
    it = over ? counters_.erase(it) : std::next(it);
  }
  if (counters_.size() > 1) retire_.Arm(kRetireCheck);
}

// What the store of keys did since the last line; nothing where it did nothing.
void GatewayServer::LogKeys() {
  keys_.Arm(kKeysLine);
  idempotency::IdempotencyReplica& replica = *planner_.replica();
  const idempotency::Counts& counts = replica.counts();
  if (counts == keys_told_) return;
  Log("keys", idempotency::Summary(counts, replica.size(), replica.used(), replica.peak(), replica.bound()));
  keys_told_ = counts;
}

void GatewayServer::Stop() {
  if (lifecycle_.stopping()) return;
  lifecycle_.Stop(Clock::now());
  LogStateChange();
  Log("draining", "told to stop");
  Run(planner_.Leave(Clock::now()));
  if (config_.inherited) {
    // The other processes that hold the socket accept; what comes on kept connections is served until each is
    // closed between two requests.
    start_.Disarm();
    client_listener_.LeaveInherited();
    client_listener_.StartDraining(ops::kHandOverDrain, ops::CloseReason::kStopping);
    return stop_.Arm(ops::kHandOverDrain.last + kStopCheck);
  }
  stop_.Arm(kKeepServing);
}

// Clients are let in from an inherited socket once they can be served: until then the process before this one
// does that, if there is one.
void GatewayServer::StartAccepting() {
  if (!CanServe() && Clock::now() - started_ < kStartAnyway) return start_.Arm(kStartCheck);
  client_listener_.StartAccepting();
}

microseconds GatewayServer::LongestDeadline() const {
  microseconds longest{0};
  for (const ClassSettings& cls : config_.settings.classes) longest = std::max(longest, cls.deadline);
  return longest;
}

// What is still owed when the platform may kill is answered before: a failure promises nothing, and it is an
// answer.
void GatewayServer::FailAllInFlight() {
  std::vector<RequestId> owed;
  for (const auto& [number, held] : in_flight_) {
    if (held.writer != nullptr) owed.push_back(number);
  }
  for (const RequestId number : owed) {
    const auto found = in_flight_.find(number);
    if (found == in_flight_.end() || found->second.writer == nullptr) continue;
    ResponseWriter& writer = *found->second.writer;
    const ResponseWriter::Slot slot = found->second.slot;
    ++found->second.metrics->failed;
    OnClientDisconnect(number);
    writer.Fail(slot, planner::FailureReason::kFailed);
  }
}

void GatewayServer::AdvanceShutdown() {
  const microseconds longest = LongestDeadline();
  client_listener_.Drain(lifecycle_.CommandsUntil(longest));
  const auto now = Clock::now();
  if (now >= lifecycle_.AnswerBy(longest)) FailAllInFlight();
  // A client that takes its time to close is waited for until the platform may kill, and no longer; one that
  // still takes its answers until it does.
  const bool over = now >= lifecycle_.AnswerBy(longest) + kLastWord && client_listener_.OnlyDelivered();
  if (client_listener_.empty() || over) return FinishShutdown();
  stop_.Arm(kStopCheck);
}

// Nothing is owed any more: the loop ends. What is owed all the same is counted and said.
void GatewayServer::FinishShutdown() {
  if (planner_.replica() != nullptr) LogKeys();
  for (const auto& [number, held] : in_flight_) {
    if (held.writer != nullptr) metrics_.rules.Violated(safety::Rule::kAnswerBeforeExit);
  }
  for (std::size_t i = 0; i < safety::kRules; ++i) {
    const std::uint64_t count = metrics_.rules.violated[i];
    if (count > 0)
      Log("rule broken", std::string(Name(safety::Rule(i))) + ", " + std::to_string(count) + " times");
  }
  event_base_loopbreak(base_);
}

}  // namespace postspread::net
