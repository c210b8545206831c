// Writes the responses of a client connection.
#include <string>

#include "net/downstream/client_connection.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

std::string_view ToErrorResponse(planner::FailureReason reason) {
  switch (reason) {
    case planner::FailureReason::kFailed:
      return "-ERR failed\r\n";
    case planner::FailureReason::kUnknown:
      return "-ERR outcome unknown: the change under this key may have been made\r\n";
    case planner::FailureReason::kKeyReused:
      return "-ERR this key was used for another request\r\n";
    case planner::FailureReason::kResponseDropped:
      return "-ERR the change under this key was made, its answer is held no longer\r\n";
  }
  return "-ERR failed\r\n";
}

}  // namespace

void ClientConnection::RespondAtOnce(std::string_view text) { Respond(responses_.Add(/*id_hash=*/0), text); }

void ClientConnection::Respond(Slot slot, std::string_view text) {
  if (state_ == State::kAborted) return;
  if (responses_.Send(slot, text) == ResponseSender::Result::kWritten) OnResponseWritten();
}

void ClientConnection::OnResponseWritten() {
  if (is_dispatching_) return;
  // Reading resumes from the event loop, because this response may be an action of the planner, which is not
  // reentrant.
  if (is_paused_) {
    return bufferevent_trigger(connection_.get(), EV_READ,
                               BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  ShutDownIfAllowed();
}

void ClientConnection::RejectWithRetryAfter(Slot slot, milliseconds retry_after) {
  if (retry_after.count() <= 0) return Respond(slot, "-BUSY\r\n");
  Respond(slot, "-BUSY " + std::to_string(retry_after.count()) + "\r\n");
}

void ClientConnection::Fail(Slot slot, planner::FailureReason reason) {
  Respond(slot, ToErrorResponse(reason));
}

void ClientConnection::BeginStream(Slot slot, std::size_t window) {
  if (state_ != State::kAborted) responses_.BeginStream(slot, window);
}

std::size_t ClientConnection::StreamCapacity(Slot slot) {
  return state_ == State::kAborted ? 0 : responses_.StreamCapacity(slot);
}

void ClientConnection::WriteStream(Slot slot, evbuffer* from, std::size_t size) {
  if (state_ == State::kAborted) {
    evbuffer_drain(from, size);
  } else {
    responses_.WriteStream(slot, from, size);
  }
}

void ClientConnection::EndStream(Slot slot) {
  if (state_ == State::kAborted) return;
  if (responses_.EndStream(slot) == ResponseSender::Result::kWritten) OnResponseWritten();
}

void ClientConnection::AbortStream(Slot slot) {
  if (state_ == State::kAborted) return;
  switch (responses_.AbortStream(slot)) {
    case ResponseSender::Abort::kNothing:
      return;
    case ResponseSender::Abort::kWithdrawn:
      return Fail(slot, planner::FailureReason::kFailed);
    case ResponseSender::Abort::kCutOff:
      // Nothing may follow the incomplete value, or the client would regard the value as complete.
      close_reason_ = ops::CloseReason::kStreamAborted;
      return TransitionTo(State::kAborted);
  }
}

// The responses before the incomplete one are complete, and the client may not have read them yet.
void ClientConnection::ShutDownAborted() {
  CancelPendingRequests();
  TransitionTo(State::kClosing);
  ShutDownIfAllowed();
}

void ClientConnection::OnWritten() {
  if (state_ == State::kAborted) return;
  responses_.OnWritten();
  if (state_ == State::kOpen && is_paused_) return OnRead();
  ShutDownIfAllowed();
}

}  // namespace postspread::net
