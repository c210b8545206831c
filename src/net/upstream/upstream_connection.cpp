#include "net/upstream/upstream_connection.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <string>
#include <utility>

#include "net/upstream/pooled_upstream.h"

namespace postspread::net {
namespace {

using planner::AttemptResult;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kWatchRetryInterval{20};
constexpr milliseconds kSendRetryInterval{5};  // while the socket's send buffer is full

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamConnectionContext& context, UpstreamConnectionOwner& owner,
                                       PooledUpstream& upstream)
    : context_(context),
      owner_(owner),
      upstream_(upstream),
      incarnation_(upstream.incarnation),
      writer_(context.base, [this] { ContinueWriting(); }),
      timer_(context.base, [this] { OnTimeout(); }) {}

UpstreamConnection::~UpstreamConnection() {
  context_.memory.responses.Release(reserved_bytes_);
  if (!connection_) return;
  const bool is_delivered = Unacknowledged(connection_.get()) == 0;
  SetOnClose(connection_.get(), is_delivered ? OnClose::kDeliver : OnClose::kReset);
}

bool UpstreamConnection::Connect() {
  connect_started_at_ = Clock::now();
  connection_ = Dial(
      context_.base, upstream_.address,
      [](bufferevent*, void* self) { static_cast<UpstreamConnection*>(self)->OnReadable(); },
      /*on_written=*/nullptr,
      [](bufferevent*, short what, void* self) { static_cast<UpstreamConnection*>(self)->OnEvent(what); },
      this);
  if (!connection_) return false;
  // After a plain close the system would deliver what the socket holds later, when no rule is checked any
  // more. This includes the close at the end of the process, also if a signal kills it.
  SetOnClose(connection_.get(), OnClose::kReset);
  bufferevent_setwatermark(connection_.get(), EV_READ, 0, context_.memory.partition.upstream_read_ahead);
  return Watch(connection_.get());
}

// ---- State

bool UpstreamConnection::IsTransition(State from, State to) {
  if (to == State::kClosed) return from != State::kClosed;
  switch (from) {
    case State::kConnecting:
    case State::kIdle:
      return to == State::kAwaitingSend;
    case State::kAwaitingSend:
      return to == State::kAwaitingReply;
    case State::kAwaitingReply:
      return to == State::kReadingReply || to == State::kReplyComplete;
    case State::kReadingReply:
      return to == State::kStreamingValue || to == State::kReplyComplete;
    case State::kStreamingValue:
      return to == State::kReplyComplete;
    case State::kReplyComplete:
      return to == State::kIdle;
    case State::kClosed:
      return false;
  }
  return false;
}

void UpstreamConnection::Transition(State to) {
  assert(IsTransition(state_, to));
  state_ = to;
}

bool UpstreamConnection::LeadsToCurrentProcess() const { return incarnation_ == upstream_.incarnation; }

bool UpstreamConnection::IsUpstreamReady() const { return upstream_.state == UpstreamState::kReady; }

void UpstreamConnection::Close(AttemptResult result) {
  const State last_state = state_;
  const bool was_reported = IsReported();
  if (last_state == State::kAwaitingReply) LogIfUndelivered(result);
  const std::unique_ptr<UpstreamConnection> self = owner_.Remove(*this);
  Transition(State::kClosed);
  if (last_state == State::kIdle) return;
  if (!was_reported) {
    UpstreamReply outcome;
    outcome.result = result;
    return Report(outcome);
  }
  owner_.RemoveAttempt(attempt_.key);
  if (last_state == State::kStreamingValue) {
    context_.listener.OnStreamFinished(attempt_.key.request, StreamEnd::kAborted);
  }
}

// Logs an attempt that ends before the upstream's machine has acknowledged its last byte.
void UpstreamConnection::LogIfUndelivered(AttemptResult result) const {
  const std::size_t unwritten = writer_.remaining();
  const std::size_t unacknowledged = Unacknowledged(connection_.get());
  if (unwritten == 0 && unacknowledged == 0) return;
  context_.undelivered_log("attempt ended undelivered",
                           upstream_.name + " " + std::string(planner::Name(result)) +
                               ", unwritten=" + std::to_string(unwritten) +
                               " unacknowledged=" + std::to_string(unacknowledged));
}

void UpstreamConnection::CloseIfUnsent() {
  if (IsUnsent()) Close(AttemptResult::kConnectFailed);
}

void UpstreamConnection::CloseIfPartlySent() {
  if (state_ != State::kAwaitingReply || DeliveryFacts().unsent == 0) return;
  Close(writer_.remaining() > 0 ? AttemptResult::kConnectFailed : AttemptResult::kCancelled);
}

void UpstreamConnection::DiscardMessage() {
  attempt_.message = {};
  writer_.DiscardRest();
}

// Neither the reply nor the connection can be used. The upstream has executed the request.
void UpstreamConnection::CloseMalformed() {
  context_.malformed_log("upstream response is malformed", upstream_.name);
  Close(AttemptResult::kReset);
}

void UpstreamConnection::Report(const UpstreamReply& outcome) {
  const microseconds elapsed = attempt_.Elapsed();
  if (attempt_.is_health_check()) {
    return context_.listener.OnHealthCheckFinished(
        {.upstream = upstream_.name, .result = outcome.result, .elapsed = elapsed, .load = outcome.load});
  }
  owner_.RemoveAttempt(attempt_.key);
  context_.listener.OnAttemptFinished({.request = attempt_.key.request,
                                       .attempt = attempt_.key.attempt,
                                       .upstream = upstream_.name,
                                       .result = outcome.result,
                                       .elapsed = elapsed,
                                       .load = outcome.load,
                                       .use = outcome.use},
                                      outcome.value);
}

// The upstream has executed the request.
void UpstreamConnection::CloseForLackOfMemory() {
  context_.no_memory_log("reply dropped for lack of memory", upstream_.name);
  Close(AttemptResult::kReset);
}

// ---- Sending

void UpstreamConnection::Begin(UpstreamAttempt attempt) {
  bytes_needed_ = 0;
  // The message stays in the attempt until the rules allow sending it. From the connection's buffer it would
  // be sent even if a rule forbids it at that time.
  attempt_ = std::move(attempt);
  if (state_ == State::kConnecting) {
    const auto timeout = duration_cast<microseconds>(attempt_.deadline - attempt_.started_at);
    return timer_.Arm(std::min(timeout, context_.dial_timeout));
  }
  Transition(State::kAwaitingSend);
  SendIfAllowed();
}

// Checks the rules again right before the first byte is sent, and with each retry while the socket's send
// buffer is full, since the decision to start the attempt may be outdated.
void UpstreamConnection::SendIfAllowed() {
  const std::optional<safety::Rule> rule =
      attempt_.FindBrokenRule({.upstream_ready = IsUpstreamReady(),
                               .connection_current = LeadsToCurrentProcess(),
                               .max_transit_time = delay_bound_,
                               .arrive_by = {},
                               .deadline = {}},
                              context_.listener, Clock::now());
  if (rule) {
    context_.listener.OnRulePrevented(*rule);
    return Close(AttemptResult::kConnectFailed);
  }
  const MessageWriter::Progress progress = BeginWriting();
  if (progress == MessageWriter::Progress::kNothing) return timer_.Arm(kSendRetryInterval);
  Transition(State::kAwaitingReply);
  attempt_.message = {};
  OnProgress(progress);
}

MessageWriter::Progress UpstreamConnection::BeginWriting() {
  const evutil_socket_t fd = bufferevent_getfd(connection_.get());
  if (attempt_.is_health_check()) return writer_.Begin(fd, {.head = context_.health_check_command});
  return attempt_.BeginWriting(writer_, fd, context_.write_buffer);
}

// The socket accepts bytes again, after a time in which the decision to send them may have become outdated.
void UpstreamConnection::ContinueWriting() {
  if (writer_.remaining() == 0) return;
  const std::optional<safety::Rule> rule = safety::MayDeliver(DeliveryFacts(), Clock::now());
  if (rule) {
    context_.listener.OnRulePrevented(*rule);
    return Close(AttemptResult::kConnectFailed);
  }
  OnProgress(writer_.Continue());
}

void UpstreamConnection::OnProgress(MessageWriter::Progress progress) {
  if (progress == MessageWriter::Progress::kBroken) return OnDisconnected();
  if (progress == MessageWriter::Progress::kWritten) OnWritten();
  if (state_ == State::kAwaitingReply) ArmDeliveryTimer();
}

void UpstreamConnection::OnWritten() {
  if (std::exchange(attempt_.is_fully_written, true)) return;
  context_.listener.OnAttemptWritten();
  const auto late = duration_cast<milliseconds>(Clock::now() - attempt_.arrive_by);
  if (late.count() <= 0) return;
  // The system has suspended the process between the last check and the write.
  context_.late_log("attempt written after its retry window",
                    upstream_.name + ", " + std::to_string(late.count()) + " ms late");
}

safety::DeliveryFacts UpstreamConnection::DeliveryFacts() const {
  safety::DeliveryFacts facts =
      attempt_.DeliveryFactsOn(connection_.get(), writer_.remaining(), context_.listener);
  facts.max_transit_time = delay_bound_;
  return facts;
}

void UpstreamConnection::ArmDeliveryTimer() {
  const auto now = Clock::now();
  safety::DeliveryFacts facts = attempt_.UnsentFacts();
  facts.max_transit_time = delay_bound_;
  // Most replies come before the first check, so only then the system is asked what has left.
  auto check_at = safety::NextDeliveryCheck(facts, now);
  if (check_at <= now) check_at = safety::NextDeliveryCheck(DeliveryFacts(), now);
  timer_.Arm(duration_cast<microseconds>(check_at - now));
}

void UpstreamConnection::LimitArrival(Clock::time_point arrive_by) {
  attempt_.arrive_by = std::min(attempt_.arrive_by, arrive_by);
  if (state_ == State::kAwaitingReply) ArmDeliveryTimer();
}

// Ends the attempt if its time is over or a rule forbids delivering the rest of it.
void UpstreamConnection::CheckDelivery() {
  const auto now = Clock::now();
  const std::optional<safety::Rule> rule = safety::MayDeliver(DeliveryFacts(), now);
  if (!rule && now < attempt_.deadline) return ArmDeliveryTimer();
  if (rule && now < attempt_.deadline) context_.listener.OnRulePrevented(*rule);
  Close(writer_.remaining() > 0 ? AttemptResult::kConnectFailed : AttemptResult::kTimedOut);
}

// ---- Events of the connection

void UpstreamConnection::OnEvent(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return OnConnected();
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  const bool is_connected = state_ != State::kConnecting;
  if (is_connected && IsTransientError(what) && Watch(connection_.get())) return;
  OnDisconnected();
}

void UpstreamConnection::OnConnected() {
  Transition(State::kAwaitingSend);
  const auto connect_time = duration_cast<microseconds>(Clock::now() - connect_started_at_);
  delay_bound_ = std::min(connect_time, context_.dial_timeout);
  SendIfAllowed();
}

void UpstreamConnection::OnDisconnected() {
  if (is_idle()) return Close(AttemptResult::kReset);
  if (IsReported()) {
    // The rest of the reply may have arrived before.
    is_upstream_closed_ = true;
    if (!is_stream_paused_) ForwardValue();
    return;
  }
  // The upstream can't have executed a request before its last byte was sent; after that it may have.
  const bool never_ran = IsUnsent() || writer_.remaining() > 0;
  // The same fault has probably broken the idle connections to this upstream. An attempt on one of them would
  // fail and would then count as possibly executed.
  owner_.CloseIdleConnections(upstream_);
  Close(never_ran ? AttemptResult::kConnectFailed : AttemptResult::kReset);
}

void UpstreamConnection::OnTimeout() {
  switch (state_) {
    case State::kIdle:
    case State::kReplyComplete:
    case State::kClosed:
      return;
    case State::kConnecting:
      return Close(AttemptResult::kConnectFailed);
    case State::kAwaitingSend:
      return SendIfAllowed();
    case State::kAwaitingReply:
      return CheckDelivery();
    case State::kStreamingValue:
    case State::kReadingReply:
      return OnReplyStalled();
  }
}

void UpstreamConnection::EnsureWatched() {
  if (!is_stream_paused_) Watch(connection_.get());
}

// The upstream has sent nothing, or the system does not watch the socket and its bytes are unread.
void UpstreamConnection::OnReplyStalled() {
  const bool is_overdue = state_ == State::kReadingReply && Clock::now() >= attempt_.deadline;
  if (is_overdue || !HasUnreadBytes(connection_.get())) return CloseMalformed();
  Watch(connection_.get());
  timer_.Arm(kWatchRetryInterval);
}

// Returns whether the bytes that have arrived belong to no attempt. An upstream can reject a request before
// it has the last byte, but it can't return a value.
bool UpstreamConnection::IsUnsolicited() const {
  if (is_idle() || IsUnsent()) return true;
  return state_ == State::kAwaitingReply && writer_.remaining() > 0 &&
         PeekFirst(connection_.get()).starts_with('*');
}

void UpstreamConnection::OnReadable() {
  if (IsUnsolicited()) {
    context_.late_duplicates.Record(Clock::now());
    return Close(is_idle() ? AttemptResult::kReset : AttemptResult::kConnectFailed);
  }
  if (state_ == State::kStreamingValue) return ForwardValue();
  const auto now = Clock::now();
  if (state_ == State::kReadingReply) {
    context_.stall_timeout.RecordGap(duration_cast<microseconds>(now - last_read_at_));
  }
  last_read_at_ = now;
  ReadReply();
}

}  // namespace postspread::net
