#include "net/downstream/client_connection.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "flow/memory_costs.h"
#include "statistics/random.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxPendingResponses = 128;
// A connection may use this fraction of the memory that is left for requests.
constexpr std::size_t kMaxPendingDivisor = 8;
constexpr int kMaxCommandsPerTurn = 32;  // of one connection, before the event loop serves others
constexpr std::size_t kMaxShedBytes = std::size_t{128} * 1024;  // of one connection, in one turn
constexpr std::size_t kMaxShedResponses = 4'096;  // pending ones that differ from their neighbors
constexpr milliseconds kLingerCheckInterval{100};

}  // namespace

ClientConnection::ClientConnection(ConnectionContext& context, Owner& owner, evutil_socket_t fd)
    : context_(context),
      owner_(owner),
      connection_(AdoptSocket(context.base, fd)),
      reader_(connection_.get(), context.memory),
      responses_(connection_.get(), context),
      lingering_close_(connection_.get()),
      timer_(context.base, [this] { OnTimer(); }) {
  SetCallbacks<&ClientConnection::OnRead, &ClientConnection::OnWritten, &ClientConnection::OnEvent>(
      connection_.get(), this);
  is_watched_ = Watch(connection_.get());
  const milliseconds waited = MaxAcceptDelay(connection_.get());
  if (!is_watched_ || waited.count() > 0) unwatched_since_ = accepted_at_ - waited;
}

ClientConnection::~ClientConnection() { context_.metrics.CountClosed(close_reason_); }

void ClientConnection::TransitionTo(State next) {
  state_ = next;
  switch (next) {
    case State::kOpen:
      break;
    case State::kClosing:
      reader_.DiscardAll();
      break;
    case State::kLingering:
      is_watched_ = lingering_close_.Begin();
      timer_.Arm(kLingerCheckInterval);
      break;
    case State::kAborted:
      // The timer cancels the pending requests, because the caller may be ending one of them.
      timer_.Arm(milliseconds(0));
      break;
  }
}

// ---- Reading

void ClientConnection::OnRead() {
  if (state_ == State::kLingering) return lingering_close_.Discard();
  if (is_dispatching_ || state_ == State::kAborted) return;
  if (state_ == State::kClosing) {
    reader_.DiscardAll();
    return ShutDownIfAllowed();
  }
  const auto now = Clock::now();
  // OnRead is also called after writes. Bytes that were read earlier keep their recorded arrival time.
  if (reader_.UnrecordedBytes() > 0) RecordArrival(now);
  is_dispatching_ = true;
  DispatchCommands(now);
  is_dispatching_ = false;
  if (state_ == State::kOpen && scheduled_close_.StopsReading(reader_, now)) {
    StopReading(scheduled_close_.reason());
  }
  UpdatePaused();
  ShutDownIfAllowed();
}

void ClientConnection::DispatchCommands(Clock::time_point now) {
  for (int count = 0; state_ == State::kOpen && MayProcessCommand(now); ++count) {
    if (count >= kMaxCommandsPerTurn && !is_shedding_) return ContinueLater();
    const CommandReader::Result result = reader_.Next();
    if (result == CommandReader::Result::kIncomplete) return;
    if (result == CommandReader::Result::kMalformed) return OnProtocolError(reader_.command().error);
    if (result == CommandReader::Result::kSkipped) {
      scheduled_close_.OnBytesProcessed(reader_.skipped());
      continue;
    }
    Dispatch(reader_.command());
    scheduled_close_.OnBytesProcessed(reader_.command().size);
    reader_.Consume();
    last_used_at_ = Clock::now();
  }
}

void ClientConnection::RecordArrival(Clock::time_point now) {
  Clock::time_point arrived_at = now - TimeSinceArrival(connection_.get());
  if (unwatched_since_) arrived_at = std::min(arrived_at, *unwatched_since_);
  const std::size_t size = reader_.UnrecordedBytes();
  reader_.RecordArrival({.read_at = now, .arrived_at = arrived_at, .was_reading_paused = is_paused_});
  if (is_watched_ && unwatched_since_) UpdateUnwatched(size, now);
}

// `size` bytes have been read of those that may have arrived unnoticed. What is left at the socket has
// arrived since the last look at it, once all that lay there then is read.
void ClientConnection::UpdateUnwatched(std::size_t size, Clock::time_point now) {
  unread_bytes_ -= std::min(unread_bytes_, size);
  if (unread_bytes_ > 0) return;
  unread_bytes_ = UnreadBytes(connection_.get());
  if (unread_bytes_ == 0) {
    unwatched_since_.reset();
    unread_seen_at_.reset();
    return;
  }
  if (unread_seen_at_) unwatched_since_ = unread_seen_at_;
  unread_seen_at_ = now;
}

bool ClientConnection::MayProcessCommand(Clock::time_point now) const {
  if (is_shedding_) return true;
  if (!scheduled_close_.HasBegun()) return !IsFull();
  return scheduled_close_.HasBytesToProcess() && (!IsFull() || scheduled_close_.MustProcessNow(now));
}

void ClientConnection::Dispatch(const resp::Command& command) {
  if (command.count == 0) return RespondAtOnce("-ERR empty command\r\n");
  if (command.parts[0] == "PING") return DispatchPing(command);
  DispatchRequest(command);
}

void ClientConnection::DispatchPing(const resp::Command& command) {
  if (command.count == 1) {
    return RespondAtOnce(context_.handler.Ready() ? "+PONG\r\n" : "-LOADING not serving\r\n");
  }
  if (command.count > 2) return RespondAtOnce("-ERR wrong number of arguments\r\n");
  if (command.size > responses_.MaxUnsentBytes()) return RespondAtOnce("-BUSY\r\n");
  std::string echo;
  resp::AppendBulk(command.parts[1], echo);
  RespondAtOnce(echo);
}

void ClientConnection::DispatchRequest(const resp::Command& command) {
  resp::DecodedRequest decoded;
  if (const char* error = resp::DecodeRequest(command, context_.vocabulary, decoded)) {
    context_.rejected_command_log("command rejected", error);
    return RespondAtOnce(std::string("-ERR ") + error + "\r\n");
  }
  if (is_shedding_) {
    return context_.handler.RejectUnread(decoded.request, ops::RejectReason::kTooManyInFlight, *this,
                                         responses_.Add(/*id_hash=*/0));
  }
  const std::size_t id_hash = std::hash<std::string_view>()(decoded.id);
  if (!context_.pending_ids.insert(id_hash).second) {
    return RespondAtOnce("-ERR a request with this id is open\r\n");
  }
  has_requested_ = true;
  decoded.request.id_hash = statistics::HashText(std::string(decoded.id));
  // The time that the request waited in the read buffer counts towards its timeout.
  const auto waited = std::chrono::floor<milliseconds>(Clock::now() - reader_.arrived_at());
  decoded.request.timeout -= std::max(waited, milliseconds(0));
  const Slot slot = responses_.Add(id_hash);
  resp::EncodedRequest encoded(reader_.TakeMessage(), command.message(), decoded.fields, decoded.timeout);
  const RequestId request = context_.handler.HandleRequest(decoded.request, std::move(encoded), *this, slot);
  responses_.SetRequest(slot, request);
}

bool ClientConnection::IsFull() const {
  return responses_.size() >= MaxPendingResponses() || responses_.UnsentBytes() > responses_.MaxUnsentBytes();
}

std::size_t ClientConnection::MaxPendingResponses() const {
  const std::size_t affordable =
      context_.memory.requests.available() / flow::kRequestBytes / kMaxPendingDivisor;
  const std::size_t even_part =
      context_.memory.partition.upstream_connections / std::max<std::size_t>(1, context_.active_connections);
  return std::clamp<std::size_t>(std::min(affordable, even_part), 1, kMaxPendingResponses);
}

void ClientConnection::UpdatePaused() {
  if (state_ != State::kLingering) is_paused_ = state_ == State::kOpen && IsFull();
  // What arrives while the read buffer is full stays at the socket. After a stall of the event loop it may be
  // there since the stall began.
  if (reader_.IsReadAheadFull() && !unwatched_since_) {
    const auto now = Clock::now();
    unwatched_since_ = now - context_.loop_monitor.TimeSinceStallBegan(now);
  }
  if (IsReadingPaused()) owner_.WatchForDisconnect();
}

bool ClientConnection::IsReadingPaused() const {
  const bool is_reading = state_ == State::kOpen || state_ == State::kClosing;
  return is_reading && !responses_.empty() && reader_.IsReadAheadFull();
}

bool ClientConnection::IsDisconnectHidden() const {
  const bool is_stuck = is_paused_ || reader_.IsWaitingForMemory();
  return state_ == State::kOpen && is_stuck && !scheduled_close_.HasBegun() && IsReadingPaused() &&
         HasUnreadBytes(connection_.get());
}

// The client may have disconnected, and its close would wait behind bytes that the system does not take. The
// system may take more only after all that it has is read.
void ClientConnection::ShedCommands() {
  is_shedding_ = true;
  for (std::size_t shed = 0; shed < kMaxShedBytes && IsDisconnectHidden();) {
    shed += reader_.BufferedBytes();
    if (reader_.IsWaitingForMemory()) RejectWaitingCommand();
    OnRead();
    reader_.ReadAvailable();
    if (responses_.size() > kMaxShedResponses) OnProtocolError("too many commands at once");
  }
  is_shedding_ = false;
  ShutDownIfAllowed();
}

void ClientConnection::OnUnwatched() {
  Watch(connection_.get());
  is_watched_ = false;  // the system may have refused; CheckTimeouts retries
  if (!unwatched_since_) unwatched_since_ = Clock::now();
}

void ClientConnection::OnEvent(short what) {
  if (IsTransientError(what)) return OnUnwatched();
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) OnDisconnect();
}

void ClientConnection::OnDisconnect() {
  is_client_disconnected_ = true;
  owner_.Remove(this);
}

// ---- Closing

safety::ConnectionFacts ClientConnection::Facts() const {
  return {.pending = responses_.size(),
          .unwritten = Unwritten(connection_.get()),
          .unacknowledged = Unacknowledged(connection_.get()),
          .partial_command = reader_.partial_since().has_value(),
          .unread = reader_.BufferedBytes() > 0 || HasUnreadInput(connection_.get())};
}

bool ClientConnection::IsIdle() const {
  // The cheap conditions come first, as Facts makes system calls.
  return state_ == State::kOpen && responses_.empty() && safety::MayCloseIdle(Facts());
}

void ClientConnection::CountViolationByClose() const {
  using Reason = ops::CloseReason;
  if (is_client_disconnected_ || close_reason_ == Reason::kStreamAborted ||
      close_reason_ == Reason::kWriteTimeout) {
    return;
  }
  if (const auto rule = safety::RuleViolatedByClose(Facts())) context_.metrics.rules.Violated(*rule);
}

bool ClientConnection::ViolatesDrainDeadline(Clock::time_point now) const {
  if (state_ == State::kLingering || state_ == State::kAborted ||
      now - accepted_at_ < kLateRequestGrace + kLateCommandGrace) {
    return false;
  }
  return safety::ViolatesDrainDeadline(
      {.pending = responses_.size(),
       .since_request = std::chrono::duration_cast<milliseconds>(now - last_used_at_)});
}

std::string ClientConnection::Describe() const {
  constexpr std::string_view kStates[] = {"open", "closing", "lingering", "aborted"};
  std::string text(kStates[static_cast<std::size_t>(state_)]);
  const auto append = [&text](std::string_view name, std::size_t value) {
    if (value > 0) text.append(" ").append(name).append("=").append(std::to_string(value));
  };
  append("pending", responses_.size());
  append("unwritten", Unwritten(connection_.get()));
  if (reader_.partial_since()) text += " partial-command";
  append("read", reader_.BufferedBytes());
  if (HasUnreadInput(connection_.get())) text += " unread-at-socket";
  return text;
}

void ClientConnection::CloseIfDue(Clock::time_point now) {
  if (state_ != State::kOpen || !scheduled_close_.IsDue(now)) return;
  if (!scheduled_close_.HasBegun()) {
    reader_.ReadAvailable();
    scheduled_close_.Begin(reader_.BufferedBytes() + UnreadBytes(connection_.get()));
  }
  OnRead();
}

void ClientConnection::OnProtocolError(const std::string& what) {
  context_.rejected_command_log("command rejected", what);
  RespondAtOnce("-ERR Protocol error: " + what + "\r\n");
  has_protocol_error_ = true;
  last_used_at_ = Clock::now();
  StopReading(ops::CloseReason::kProtocolError);
}

void ClientConnection::StopReading(ops::CloseReason reason) {
  close_reason_ = reason;
  TransitionTo(State::kClosing);
}

void ClientConnection::ShutDownIfAllowed() {
  if (state_ != State::kClosing) return;
  if (!safety::MayShutDown({.pending = responses_.size(), .unwritten = Unwritten(connection_.get())})) return;
  TransitionTo(State::kLingering);
}

void ClientConnection::OnTimer() {
  if (state_ == State::kOpen || state_ == State::kClosing) return OnRead();
  if (state_ == State::kAborted) return ShutDownAborted();
  const LingeringClose::Status status = lingering_close_.Check();
  if (status == LingeringClose::Status::kWaiting) return timer_.Arm(kLingerCheckInterval);
  if (status == LingeringClose::Status::kTimedOut) close_reason_ = ops::CloseReason::kWriteTimeout;
  owner_.Remove(this);
}

}  // namespace postspread::net
