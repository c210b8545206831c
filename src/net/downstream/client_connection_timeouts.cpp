// Bounds the time that a client connection may be idle, leave a command incomplete or wait for memory, and
// states how much of that time has passed for the choice of a connection to evict.
#include <string>

#include "flow/eviction.h"
#include "net/downstream/client_connection.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

// Bounds the idle time of a connection before its first request, and of any connection when many are open.
constexpr milliseconds kIdleTimeout{2'000};
// Bounds the wait for pending responses before the response to a protocol error.
constexpr milliseconds kErrorDelayTimeout{1'000};

milliseconds Between(Clock::time_point earlier, Clock::time_point later) {
  return std::chrono::duration_cast<milliseconds>(later - earlier);
}

}  // namespace

void ClientConnection::CheckTimeouts(Clock::time_point now, const IdlePolicy& idle) {
  responses_.UpdateReservation();
  // The system may have refused to watch the socket, also when reading went on after a pause, which the event
  // library does not report. To watch it again has no effect if it is watched.
  if (state_ != State::kAborted) is_watched_ = Watch(connection_.get());
  if (write_timeout_.HasExpired(Unwritten(connection_.get()), now)) {
    close_reason_ = ops::CloseReason::kWriteTimeout;
    return owner_.Remove(this);
  }
  if (state_ == State::kClosing && !responses_.empty() && has_protocol_error_ &&
      now - last_used_at_ >= kErrorDelayTimeout) {
    // Pending requests are failed, so that the client receives the protocol error soon.
    return responses_.FailAll([this](Slot slot) { Fail(slot, planner::FailureReason::kFailed); });
  }
  if (state_ != State::kOpen) return;
  if (reader_.IsWaitingForMemory()) return CheckMemoryWait(now);
  // A client with pending responses need not send anything, but it may not hold memory that others need.
  if (!responses_.empty() && !reader_.HoldsMemory()) return;
  const bool is_overdue =
      reader_.partial_since() && flow::StatusAt(reader_.PartialState(), now) == flow::CommandStatus::kOverdue;
  if (is_overdue) {
    OnCommandOverdue();
  } else if (IsIdleTimeout(now, idle) && IsIdle()) {
    StopReading(ops::CloseReason::kIdle);
    ShutDownIfAllowed();
  }
}

void ClientConnection::OnCommandOverdue() {
  if (reader_.IsSkipping()) {
    StopReading(ops::CloseReason::kProtocolError);  // the command has its response
  } else {
    OnProtocolError("command not finished in time");
  }
  ShutDownIfAllowed();
}

// Rejects the request whose body waits for memory, once it has waited too long.
void ClientConnection::CheckMemoryWait(Clock::time_point now) {
  const flow::ByteBudget& budget = reader_.budget();
  context_.memory_wait_log("command waits for memory", std::to_string(budget.waiting()) + " wait, reserved " +
                                                           std::to_string(budget.used()) + " of " +
                                                           std::to_string(budget.total()) + " bytes");
  flow::PartialCommand command = reader_.PartialState();
  resp::DecodedRequest decoded;
  if (!command.has_head) {
    command.has_arrived = false;  // the time of its request is not known
  } else if (resp::DecodeHead(reader_.PeekHead(), context_.vocabulary, decoded) == nullptr) {
    command.request_timeout = decoded.request.timeout;
  }
  if (flow::StatusAt(command, now) == flow::CommandStatus::kNoMemory) RejectWaitingCommand();
}

void ClientConnection::RejectWaitingCommand() {
  if (!reader_.PartialState().has_head) {
    // Without its head, the rest of the command can't be distinguished from the next command.
    OnProtocolError("no memory for a command of this length");
    return ShutDownIfAllowed();
  }
  resp::DecodedRequest decoded;
  const char* error = resp::DecodeHead(reader_.PeekHead(), context_.vocabulary, decoded);
  if (error != nullptr) {
    RespondAtOnce(std::string("-ERR ") + error + "\r\n");
  } else {
    context_.handler.RejectUnread(decoded.request, ops::RejectReason::kNoMemory, *this,
                                  responses_.Add(/*id_hash=*/0));
  }
  reader_.SkipCommand();
  OnRead();
}

bool ClientConnection::IsIdleTimeout(Clock::time_point now, const IdlePolicy& idle) const {
  const bool is_short_timeout = !has_requested_ || idle.many_open;
  if (is_short_timeout && now - last_used_at_ >= kIdleTimeout) return true;
  return has_requested_ && last_used_at_ <= idle.unused_cutoff;
}

flow::ConnectionState ClientConnection::EvictionState(Clock::time_point now) const {
  // An eviction may reset the connection, which discards response bytes that a slowly reading client has not
  // acknowledged.
  const bool is_acknowledged = Unacknowledged(connection_.get()) == 0;
  const auto& partial_since = reader_.partial_since();
  return {.is_delivered = state_ == State::kLingering && is_acknowledged,
          .is_pending = state_ == State::kAborted || state_ == State::kClosing || !responses_.empty() ||
                        Unwritten(connection_.get()) > 0 || !is_acknowledged,
          .has_requested = has_requested_,
          .has_partial = partial_since.has_value(),
          .since_command = Between(last_used_at_, now),
          .since_partial = partial_since ? Between(*partial_since, now) : milliseconds(0),
          .since_byte = Between(reader_.last_read_at(), now)};
}

}  // namespace postspread::net
