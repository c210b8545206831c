#include "planner/planner.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "idempotency/digest.h"

namespace postspread::planner {
namespace {

// Of a sender's patience: what the way in has taken and the way back will take, across halls. Guards against
// a final answer that leaves in time and arrives when the sender has given up.
constexpr std::chrono::milliseconds kOnTheWay{10};

constexpr std::chrono::seconds kPodsFresh{1};  // how old the count of a pod's warm upstreams may be

FailureReason ToReason(idempotency::FailureReason reason) {
  switch (reason) {
    case idempotency::FailureReason::kUnknown:
      return FailureReason::kUnknown;
    case idempotency::FailureReason::kOther:
      return FailureReason::kOtherKey;
    case idempotency::FailureReason::kAnswerGone:
      return FailureReason::kAnswerGone;
  }
  return FailureReason::kFailed;
}

Outcome ToOutcome(AttemptResult result) {
  switch (result) {
    case AttemptResult::kServed:
      return Outcome::kOk;
    case AttemptResult::kError:
      return Outcome::kError;
    case AttemptResult::kTurnedAway:
      return Outcome::kRejected;
    case AttemptResult::kTimedOut:
      return Outcome::kTimeout;
    case AttemptResult::kCouldNotConnect:
      return Outcome::kConnectFailed;
    case AttemptResult::kReset:
      return Outcome::kReset;
    case AttemptResult::kAbandoned:
      return Outcome::kCancelled;
  }
  return Outcome::kReset;
}

postspread::CounterResult ToResult(CounterResult result) {
  switch (result) {
    case CounterResult::kAdded:
      return postspread::CounterResult::kOk;
    case CounterResult::kTurnedAway:
      return postspread::CounterResult::kRefused;
    case CounterResult::kUnreachable:
      return postspread::CounterResult::kUnreachable;
    case CounterResult::kNoAnswer:
      return postspread::CounterResult::kTimeout;
  }
  return postspread::CounterResult::kTimeout;
}

ServerState ToState(UpstreamState state) {
  switch (state) {
    case UpstreamState::kReady:
      return ServerState::kUp;
    case UpstreamState::kDraining:
      return ServerState::kDraining;
    case UpstreamState::kRemoved:
      return ServerState::kGone;
  }
  return ServerState::kGone;
}

LoadReport ToLoad(const UpstreamLoad& load) {
  return LoadReport{.outstanding = load.outstanding,
                    .queue = load.queue,
                    .utilization = load.utilization,
                    .latency_ms = load.latency_ms,
                    .per_second = load.per_second,
                    .errors_per_second = load.errors_per_second};
}

}  // namespace

Planner::Planner(Settings settings, std::uint64_t seed, std::chrono::microseconds wall, Clock::time_point now,
                 const Extras& extras)
    : wall_(wall),
      start_(now),
      last_(wall),
      settings_(std::move(settings)),
      controller_(settings_, seed, wall),
      subsetting_(extras.subsetting) {
  if (extras.usage.broadcast && extras.has_peers && settings_.can_message_peers) {
    usage_table_.emplace(usage::UsageOptions{settings_.group_size, settings_.peer_messages_per_second, seed},
                         wall);
  }
  if (extras.membership.enabled) {
    const auto incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    membership_.emplace(
        membership::Membership::Self{extras.name, extras.peer, static_cast<std::uint64_t>(incarnation),
                                     extras.may_be_succeeded},
        extras.seeds, extras.membership, seed, wall, extras.disabled);
  }
  if (!extras.keys.enabled) return;
  replica_.emplace(
      extras.keys,
      idempotency::IdempotencyReplica::Identity{.rank = settings_.rank,
                                                .group_size = settings_.group_size,
                                                .has_peers = extras.has_peers,
                                                .incarnation = static_cast<std::uint64_t>(wall.count())},
      wall);
}

bool Planner::Reconfigure(Settings settings) {
  const bool same_plans =
      std::equal(settings.plans.begin(), settings.plans.end(), settings_.plans.begin(), settings_.plans.end(),
                 [](const auto& a, const auto& b) { return a.name == b.name; });
  if (!same_plans) settings.plans = settings_.plans;
  // Places are what requests under way are known by, here, in the module and in the store of keys.
  const auto named = [](std::vector<ClassSettings>& in, const std::string& name) {
    return std::find_if(in.begin(), in.end(), [&](const ClassSettings& c) { return c.name == name; });
  };
  std::vector<ClassSettings> places = std::move(settings_.classes);
  for (ClassSettings& peer : places) {
    if (named(settings.classes, peer.name) == settings.classes.end()) peer = ClassSettings{};
  }
  for (ClassSettings& cls : settings.classes) {
    auto peer = named(places, cls.name);
    if (peer == places.end()) peer = named(places, "");
    if (peer == places.end()) peer = places.emplace(peer);
    *peer = std::move(cls);
  }
  settings.classes = std::move(places);
  settings_ = std::move(settings);
  controller_.Reconfigure(settings_);
  return !same_plans;
}

void Planner::SetLimits(const idempotency::Limits& keys, const membership::Limits& membership) {
  if (replica_) replica_->SetLimits(keys);
  if (membership_) membership_->SetLimits(membership);
}

Actions Planner::Leave(Clock::time_point now) {
  actions_.clear();
  if (membership_) {
    membership_->Leave(At(now));
    ApplyMembership();
  }
  return actions_;
}

// This gateway's place among those that choose: by the membership view, or all of the settings' group.
subsetting::RingPosition Planner::RingPosition() const {
  if (!membership_)
    return {static_cast<std::size_t>(settings_.rank), static_cast<std::size_t>(settings_.group_size)};
  std::vector<std::string> members;
  for (const membership::Member& member : membership_->view().members) {
    if (membership::IsLive(member.update.state)) members.push_back(member.name);
  }
  return subsetting::RingPositionOf(membership_->name(), members);
}

// Upstreams that others use are told to the decisions as draining: what is under way there ends, nothing new
// begins. `report` comes to name all whose state changes by it.
void Planner::ApplySubset(EndpointListReport& report) {
  const bool by_pod =
      std::any_of(settings_.classes.begin(), settings_.classes.end(), [](const ClassSettings& c) {
        return c.retry_safety == RetrySafety::kIdempotencyKey && c.scope != KeyScope::kAll;
      });
  std::vector<subsetting::Node> nodes;
  for (const auto& [name, upstream] : upstreams_) {
    nodes.push_back(
        {name, upstream.zone, upstream.cell, upstream.weight, upstream.state == UpstreamState::kReady});
  }
  std::unordered_set<std::string> chosen;
  for (const subsetting::Assignment& assignment :
       subsetting::Subset(subsetting_, RingPosition(), settings_.zone, by_pod, nodes)) {
    chosen.insert(nodes[assignment.node].name);
  }
  if (report.scope == EndpointUpdateKind::kChanges) {
    std::unordered_set<std::string> named;
    for (const Upstream& upstream : report.upstreams) named.insert(upstream.name);
    for (const auto& [name, upstream] : upstreams_) {
      if (!named.contains(name) && chosen.contains(name) != chosen_.contains(name))
        report.upstreams.push_back(upstream);
    }
  }
  chosen_ = std::move(chosen);
  for (Upstream& upstream : report.upstreams) {
    if (upstream.state == UpstreamState::kReady && !chosen_.contains(upstream.name))
      upstream.state = UpstreamState::kDraining;
  }
}

// Who lives, to those that count on others. Where the view goes by addresses of its own, ranks are not known
// by it.
void Planner::ShareView() {
  if (subsetting_.subsets) {
    EndpointListReport moved{
        .scope = EndpointUpdateKind::kChanges, .index = endpoint_list_index_, .upstreams = {}};
    ApplySubset(moved);
    if (!moved.upstreams.empty()) Handle(ToEvent(std::move(moved)), last_);
  }
  if (membership_->by_address()) return;
  if (usage_table_) usage_table_->SetGroup(static_cast<int>(membership_->living()));
  if (!replica_) return;
  std::vector<idempotency::Peers::Seen> seen(static_cast<std::size_t>(settings_.group_size));
  for (const membership::Member& member : membership_->view().members) {
    if (member.peer >= seen.size() || member.update.incarnation <= seen[member.peer].incarnation) continue;
    seen[member.peer] = {!membership::IsLive(member.update.state), member.update.incarnation};
  }
  replica_->SetView(std::move(seen));
}

// Each change of a member is a line, and so is what somebody ought to look at.
void Planner::ApplyMembership() {
  for (membership::Membership::Datagram& d : membership_->TakeDatagrams()) {
    actions_.emplace_back(SendMembershipDatagram{d.to, std::move(d.bytes)});
  }
  const std::vector<membership::Change> changes = membership_->TakeChanges();
  if (!changes.empty()) ShareView();
  for (const membership::Change& change : changes) {
    std::string line = "fleet: " + change.name + " is " + std::string(Name(change.to));
    if (!change.is_new) line += ", was " + std::string(Name(change.from));
    line += change.by_self ? ", seen here" : ", heard";
    actions_.emplace_back(LogEvent{line + ", life " + std::to_string(change.incarnation)});
  }
  for (std::string& note : membership_->TakeNotes())
    actions_.emplace_back(LogEvent{"fleet: " + std::move(note)});
}

TimePoint Planner::At(Clock::time_point now) {
  last_ = std::max(last_, wall_ + std::chrono::duration_cast<std::chrono::microseconds>(now - start_));
  return last_;
}

void Planner::Handle(const Event& event, TimePoint now) {
  decisions_.clear();
  controller_.Handle(event, now, decisions_);
  for (postspread::Action& action : decisions_) {
    std::visit([this, now](auto& a) { Translate(std::move(a), now); }, action);
  }
}

Planner::PickResult Planner::Pick(const Request& request, Clock::time_point now) {
  actions_.clear();
  const RequestId number = next_number_++;
  if (const std::optional<idempotency::Ask> ask = ToAsk(request, number, At(now))) {
    RefreshPods(last_);
    ApplyIdempotency(replica_->Begin(*ask, last_), last_);
    FinishKeyedRequests(last_);
    return {number, actions_};
  }
  open_.emplace(number, 0);
  RequestEvent event;
  event.id = number;
  event.class_name = request.class_name;
  event.plan = request.plan;
  event.customer = request.customer;
  event.time_left = std::max(std::chrono::milliseconds(1), request.timeout - kOnTheWay);
  event.units = request.units;
  event.spread = request.spread;
  event.first_gateway = request.first;
  event.retry = request.is_retry;
  event.write = request.is_write;
  if (usage_table_)
    event.demand = usage_table_->Demand(idempotency::DigestCustomer(request.customer), At(now));
  Handle(std::move(event), At(now));
  return {number, actions_};
}

Actions Planner::Report(ReportValue report, Clock::time_point now) {
  actions_.clear();
  const TimePoint at = At(now);
  if (const auto* peer = std::get_if<PeerReport>(&report)) {
    if (usage_table_ && usage_table_->Received(peer->bytes, at)) return actions_;
    if (membership_ && membership_->Received(static_cast<membership::PeerId>(peer->rank), peer->bytes, at)) {
      ApplyMembership();
      return actions_;
    }
    if (replica_) ApplyIdempotency(replica_->Received(peer->rank, peer->bytes, at), at);
  } else if (const auto* member = std::get_if<MembershipReport>(&report)) {
    if (membership_ && membership_->Received(member->peer, member->bytes, at)) ApplyMembership();
    return actions_;
  } else if (const auto* gone = std::get_if<ClientDisconnected>(&report);
             gone != nullptr && OutlivesClient(gone->request)) {
    ApplyIdempotency(replica_->OnClientDisconnect(gone->request, at), at);
  } else {
    if (auto* endpoint_list = std::get_if<EndpointListReport>(&report)) {
      start_times_.Apply(*endpoint_list, at);
      if (replica_ || subsetting_.subsets) ApplyEndpointList(*endpoint_list);
      if (subsetting_.subsets) ApplySubset(*endpoint_list);
      if (replica_) RefreshPods(at);
    }
    auto* attempt = std::get_if<AttemptReport>(&report);
    if (attempt != nullptr && attempt->result == AttemptResult::kServed && NeedsAnswer(attempt->request)) {
      finished_.push_back({attempt->request, idempotency::End::kServed, std::move(attempt->value)});
    }
    Handle(std::visit([this](auto& r) { return ToEvent(std::move(r)); }, report), at);
  }
  FinishKeyedRequests(at);
  return actions_;
}

Actions Planner::Tick(Clock::time_point now) {
  actions_.clear();
  const TimePoint at = At(now);
  // A timer that is set by a timer waits for the next call, however soon it is due: this call always ends.
  const std::uint64_t known = next_order_;
  while (!timers_.empty() && timers_.top().due <= at && timers_.top().order < known) {
    const TimerEvent event{timers_.top().token};
    timers_.pop();
    Handle(event, at);
  }
  FinishKeyedRequests(at);
  if (usage_table_) {
    if (std::optional<std::string> bytes = usage_table_->Next(at))
      actions_.emplace_back(SendDatagram{SendDatagram::kAll, std::move(*bytes)});
  }
  if (replica_) {
    ApplyIdempotency(replica_->Tick(at), at);
    FinishKeyedRequests(at);
  }
  if (membership_) {
    membership_->Tick(at);
    ApplyMembership();
  }
  return actions_;
}

std::optional<Clock::time_point> Planner::NextTick() {
  std::optional<TimePoint> next;
  if (!timers_.empty()) next = timers_.top().due;
  if (replica_) {
    const std::optional<TimePoint> keys = replica_->NextTick();
    if (keys && (!next || *keys < *next)) next = keys;
  }
  if (usage_table_) {
    const std::optional<TimePoint> broadcast = usage_table_->NextTick();
    if (broadcast && (!next || *broadcast < *next)) next = broadcast;
  }
  if (membership_ && (!next || membership_->NextTick() < *next)) next = membership_->NextTick();
  if (!next) return std::nullopt;
  return start_ + (*next - wall_);
}

// ---- The store of keys ----

std::optional<idempotency::Ask> Planner::ToAsk(const Request& request, RequestId number,
                                               TimePoint now) const {
  if (!replica_ || request.key.empty()) return std::nullopt;
  const auto cls = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                [&](const ClassSettings& c) { return c.name == request.class_name; });
  const auto plan = std::find_if(settings_.plans.begin(), settings_.plans.end(),
                                 [&](const PlanSettings& p) { return p.name == request.plan; });
  if (cls == settings_.classes.end() || plan == settings_.plans.end()) return std::nullopt;
  idempotency::Ask out;
  out.waiter = number;
  out.key = idempotency::DigestKey(request.customer, request.class_name, request.key);
  out.fingerprint = idempotency::DigestRequest(request.customer, request.class_name, request.key,
                                               request.units, request.body);
  out.customer = idempotency::DigestCustomer(request.customer);
  out.deadline = now + std::max(std::chrono::milliseconds(1), request.timeout - kOnTheWay);
  out.window = cls->key_ttl;
  out.pinned = cls->scope != KeyScope::kAll;
  std::copy_n(request.customer.begin(), std::min(request.customer.size(), out.work.customer.size()),
              out.work.customer.begin());
  out.work.class_index = static_cast<std::int16_t>(cls - settings_.classes.begin());
  out.work.plan_index = static_cast<std::int16_t>(plan - settings_.plans.begin());
  out.work.spread = static_cast<std::int16_t>(request.spread);
  out.work.first = static_cast<std::int16_t>(request.first);
  out.work.units = static_cast<float>(request.units);
  out.work.is_retry = request.is_retry;
  return out;
}

RequestEvent Planner::ToRequest(const idempotency::Work& work, RequestId number, Duration time_left) {
  open_.emplace(number, 0);
  RequestEvent out;
  out.id = number;
  out.class_name = settings_.classes[static_cast<std::size_t>(work.class_index)].name;
  out.plan = settings_.plans[static_cast<std::size_t>(work.plan_index)].name;
  out.customer.assign(work.customer.begin(), std::find(work.customer.begin(), work.customer.end(), '\0'));
  out.time_left = std::max<Duration>(std::chrono::milliseconds(1), time_left);
  out.units = work.units;
  out.spread = work.spread;
  out.first_gateway = work.first;
  out.retry = work.is_retry;
  out.write = true;
  if (usage_table_) out.demand = usage_table_->Demand(idempotency::DigestCustomer(out.customer), last_);
  return out;
}

void Planner::ApplyIdempotency(idempotency::Actions actions, TimePoint now) {
  // A Start may end at once, and its end is another call of the replica's: the list is taken over first.
  for (idempotency::Action& action : std::vector<idempotency::Action>(actions.begin(), actions.end())) {
    if (auto* start = std::get_if<idempotency::StartRequest>(&action)) {
      RequestEvent event = ToRequest(start->work, start->waiter, start->deadline - now);
      KeyPin& pin = event.pin.emplace();
      pin.may_have_run = start->pin.may_have_run;
      pin.age = start->pin.age;
      if (const auto pod = pods_.find(start->pin.pod); start->pin.has_pod) {
        // A pod that no upstream belongs to any more: its number alone tells that nothing may go elsewhere.
        pin.bound = true;
        pin.cell = start->pin.pod;
        if (pod != pods_.end()) pin.zone = pod->second.zone;
      }
      Handle(std::move(event), now);
    } else if (const auto* pass = std::get_if<idempotency::StartUnprotected>(&action)) {
      Handle(ToRequest(pass->work, pass->waiter, pass->deadline - now), now);
    } else if (const auto* serve = std::get_if<idempotency::CompleteRequest>(&action)) {
      actions_.emplace_back(CompleteRequest{serve->waiter, serve->value});
    } else if (const auto* defer = std::get_if<idempotency::RejectWithRetryAfter>(&action)) {
      Duration advice = settings_.retry_after ? defer->retry_after : Duration(0);
      if (settings_.max_retry_after.count() > 0) advice = std::min(advice, settings_.max_retry_after);
      actions_.emplace_back(RejectWithRetryAfter{defer->waiter, advice});
    } else if (const auto* fail = std::get_if<idempotency::FailRequest>(&action)) {
      actions_.emplace_back(planner::FailRequest{fail->waiter, ToReason(fail->reason)});
    } else if (const auto* forget = std::get_if<idempotency::ReleaseRequest>(&action)) {
      actions_.emplace_back(ReleaseRequest{forget->waiter});
    } else if (auto* broadcast = std::get_if<idempotency::SendDatagram>(&action)) {
      actions_.emplace_back(SendDatagram{broadcast->rank, std::move(broadcast->bytes)});
    } else if (auto* note = std::get_if<idempotency::LogEvent>(&action)) {
      actions_.emplace_back(LogEvent{std::move(note->line)});
    }
  }
}

// Tells the replica what ended meanwhile; that may begin work that ends at once in its turn. It comes to an
// end: each round uses up a request that waited.
void Planner::FinishKeyedRequests(TimePoint now) {
  while (!finished_.empty()) {
    std::vector<FinishedWork> ended;
    ended.swap(finished_);
    for (FinishedWork& e : ended) {
      ApplyIdempotency(replica_->OnWorkFinished(e.number, e.end, std::move(e.value), e.retry_after, now),
                       now);
    }
  }
}

void Planner::ApplyEndpointList(const EndpointListReport& report) {
  if (report.scope != EndpointUpdateKind::kChanges) upstreams_.clear();
  for (const Upstream& upstream : report.upstreams) {
    if (upstream.state == UpstreamState::kRemoved) {
      upstreams_.erase(upstream.name);
    } else {
      upstreams_[upstream.name] = upstream;
    }
  }
  endpoint_list_index_ = report.index;
  pods_at_ = TimePoint(0);
}

// Upstreams get warm with time, so the pods are looked at again now and then.
void Planner::RefreshPods(TimePoint now) {
  if (pods_at_.count() != 0 && now - pods_at_ < kPodsFresh) return;
  pods_at_ = now;
  pods_.clear();
  std::map<std::int64_t, std::size_t> warm, ready;
  for (const auto& [name, upstream] : upstreams_) {
    pods_.emplace(upstream.cell, upstream);
    ready.try_emplace(upstream.cell, 0);
    if (upstream.state != UpstreamState::kReady) continue;
    ++ready[upstream.cell];
    if (now - upstream.started >= settings_.slow_start_duration) ++warm[upstream.cell];
  }
  // Keys go to pods that are warm: a cold one would have to turn most of them away.
  std::vector<idempotency::Pod> pods;
  for (const auto& [id, count] : warm.empty() ? ready : warm) pods.push_back({id, count});
  replica_->SetPods(std::move(pods));
}

Event Planner::ToEvent(AttemptReport&& report) {
  OutcomeEvent out;
  out.id = report.request;
  out.attempt = report.attempt;
  out.server = std::move(report.upstream);
  out.outcome = ToOutcome(report.result);
  out.elapsed = report.elapsed;
  out.load = ToLoad(report.load);
  // No request has more units than the settings say: what tells of more is as good as unreadable.
  if (settings_.settles_after_response && report.use.units <= settings_.max_units)
    out.true_units = report.use.units;
  if (report.result == AttemptResult::kServed) open_.erase(report.request);
  out.final = !open_.contains(report.request);
  return out;
}

Event Planner::ToEvent(CounterReport&& report) {
  return CounterEvent{std::move(report.name), ToResult(report.result), report.total, report.elapsed};
}

Event Planner::ToEvent(EndpointListReport&& report) {
  auto servers = std::make_shared<std::vector<ServerInfo>>();
  servers->reserve(report.upstreams.size());
  for (Upstream& upstream : report.upstreams) {
    servers->push_back(ServerInfo{.id = std::move(upstream.name),
                                  .zone = std::move(upstream.zone),
                                  .kind = std::move(upstream.kind),
                                  .cell = upstream.cell,
                                  .state = ToState(upstream.state),
                                  .weight = upstream.weight,
                                  .started = upstream.started});
  }
  EndpointListEvent out;
  out.kind = report.scope == EndpointUpdateKind::kSnapshot  ? EndpointListKind::kComplete
             : report.scope == EndpointUpdateKind::kChanges ? EndpointListKind::kPartial
                                                            : EndpointListKind::kPersisted;
  out.version = report.index;
  out.servers = std::move(servers);
  return out;
}

Event Planner::ToEvent(ProbeReport&& report) {
  return ProbeEvent{std::move(report.upstream), ToOutcome(report.result), report.elapsed,
                    ToLoad(report.load)};
}

Event Planner::ToEvent(PeerReport&&) { return TimerEvent{}; }        // not the module's
Event Planner::ToEvent(MembershipReport&&) { return TimerEvent{}; }  // nor these

Event Planner::ToEvent(ClientDisconnected&& report) {
  open_.erase(report.request);
  return ClientGoneEvent{report.request};
}

void Planner::Translate(postspread::Send&& action, TimePoint) {
  const auto found = open_.find(action.id);
  const int attempt = found == open_.end() ? 0 : found->second++;
  actions_.emplace_back(
      StartAttempt{action.id, attempt, std::move(action.server), action.timeout, action.begin_within});
}

void Planner::Translate(postspread::Reject&& action, TimePoint) {
  open_.erase(action.id);
  if (NeedsAnswer(action.id)) {
    finished_.push_back({action.id, idempotency::End::kRefused, {}, action.retry_after});
    return;
  }
  actions_.emplace_back(RejectWithRetryAfter{action.id, action.retry_after});
}

void Planner::Translate(postspread::Fail&& action, TimePoint) {
  open_.erase(action.id);
  if (NeedsAnswer(action.id)) return finished_.push_back({action.id, idempotency::End::kFailed, {}});
  actions_.emplace_back(planner::FailRequest{action.id});
}

void Planner::Translate(postspread::Cancel&& action, TimePoint) {
  actions_.emplace_back(CancelAttempt{action.id, action.attempt});
}

void Planner::Translate(postspread::SetTimer&& action, TimePoint now) {
  timers_.push(Timer{now + std::max(Duration(0), action.after), next_order_++, action.token});
}

void Planner::Translate(postspread::CounterAdd&& action, TimePoint) {
  actions_.emplace_back(CallCounter{std::move(action.name), action.amount, action.ttl});
}

void Planner::Translate(postspread::Probe&& action, TimePoint) {
  actions_.emplace_back(ProbeUpstream{std::move(action.server)});
}

void Planner::Translate(postspread::Subscribe&&, TimePoint) {}  // the watch runs from the start in any case

void Planner::Translate(postspread::ObservedUsage&& action, TimePoint now) {
  if (usage_table_) usage_table_->Observe(idempotency::DigestCustomer(action.customer), action.demand, now);
}

void Planner::Translate(postspread::Log&& action, TimePoint) {
  actions_.emplace_back(LogEvent{std::move(action.line)});
}

}  // namespace postspread::planner
