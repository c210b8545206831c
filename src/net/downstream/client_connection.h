// One client connection: dispatches its commands, writes their responses in order, and closes when the rules
// in src/safety/ allow it. docs/design.md describes its states.
#ifndef POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_
#define POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "flow/eviction.h"
#include "net/downstream/command_reader.h"
#include "net/downstream/connection_context.h"
#include "net/downstream/lingering_close.h"
#include "net/downstream/request_handler.h"
#include "net/downstream/response_sender.h"
#include "net/downstream/scheduled_close.h"
#include "net/downstream/write_timeout.h"
#include "net/log.h"
#include "net/loop.h"
#include "ops/metrics.h"
#include "resp/request.h"
#include "safety/connection_rules.h"

namespace postspread::net {

// Decides when a connection without pending responses is closed as idle.
struct IdlePolicy {
  bool many_open = false;           // if true, a short idle time suffices for any connection
  Clock::time_point unused_cutoff;  // a connection last used at this time or before is closed
};

class ClientConnection final : public ResponseWriter {
 public:
  class Owner {
   public:
    // Destroys the connection.
    virtual void Remove(ClientConnection* connection) = 0;
    // The connection has paused reading with bytes left to read, so it notices a disconnect only if the owner
    // checks for it.
    virtual void WatchForDisconnect() = 0;

   protected:
    ~Owner() = default;
  };

  // Takes ownership of the descriptor. Throws std::bad_alloc.
  ClientConnection(ConnectionContext& context, Owner& owner, evutil_socket_t fd);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Cancels every request whose response is pending. The owner calls it before it destroys the connection.
  void CancelPendingRequests() { responses_.CancelAll(); }
  // Counts the rule that closing the connection now would violate, if any.
  void CountViolationByClose() const;
  [[nodiscard]] bool ViolatesDrainDeadline(Clock::time_point now) const;
  // Returns whether the client has acknowledged all responses and only has to close the connection.
  [[nodiscard]] bool IsDelivered() const {
    return state_ == State::kLingering && Unacknowledged(connection_.get()) == 0;
  }
  // Describes the state and what keeps the connection open, for the log.
  [[nodiscard]] std::string Describe() const;
  void SetCloseReason(ops::CloseReason reason) { close_reason_ = reason; }
  // Returns whether the connection has carried a valid request.
  [[nodiscard]] bool has_requested() const { return has_requested_; }
  // Returns when the last command was processed, or the connect time before the first command.
  [[nodiscard]] Clock::time_point last_used_at() const { return last_used_at_; }

  // Closes the connection if its client reads no responses, does not complete a command, or is idle. May
  // destroy the connection.
  void CheckTimeouts(Clock::time_point now, const IdlePolicy& idle);
  [[nodiscard]] flow::ConnectionState EvictionState(Clock::time_point now) const;
  // Returns whether bytes, an end of stream or an error are unread at the socket.
  [[nodiscard]] bool HasUnread() const { return state_ == State::kOpen && HasUnreadInput(connection_.get()); }

  void ScheduleClose(const CloseSchedule& schedule) { scheduled_close_.Schedule(schedule); }
  void CancelScheduledClose() { scheduled_close_.Cancel(); }
  // Closes the connection if its scheduled time has come. Bytes that have arrived by that time are processed;
  // later ones are not, because a client that always has another request in transit would keep the connection
  // open forever. Once the client sees the close it sends the unread requests again elsewhere. May destroy
  // the connection.
  void CloseIfDue(Clock::time_point now);

  // Returns whether the read-ahead is full while responses are pending, so that a disconnect goes unnoticed.
  [[nodiscard]] bool IsReadingPaused() const;
  // Returns whether the client has sent so much behind the pending responses that the system would not report
  // a disconnect either.
  [[nodiscard]] bool IsDisconnectHidden() const;
  // Reads commands that would otherwise wait behind the pending responses, and rejects them.
  void ShedCommands();
  [[nodiscard]] bool HungUp() const { return net::HungUp(connection_.get()); }
  // Handles a disconnect of the client. Destroys the connection.
  void OnDisconnect();

  // ResponseWriter
  void Complete(Slot slot, std::string_view value) override { Respond(slot, value); }
  void RejectWithRetryAfter(Slot slot, std::chrono::milliseconds retry_after) override;
  void Fail(Slot slot, planner::FailureReason reason) override;
  void BeginStream(Slot slot, std::size_t window) override;
  std::size_t StreamCapacity(Slot slot) override;
  void WriteStream(Slot slot, evbuffer* from, std::size_t size) override;
  void EndStream(Slot slot) override;
  void AbortStream(Slot slot) override;
  bool IsClientConnected() override { return state_ != State::kAborted && !HungUp(); }

 private:
  enum class State {
    kOpen,
    kClosing,    // processes no more commands; shuts down its sending side once all responses are written
    kLingering,  // waits for the client to close
    kAborted,  // a streamed response broke off; no response is written any more, and closing follows at once
  };
  // Changes the state; nothing else does. Allowed are open to closing, closing to lingering, open or closing
  // to aborted, and aborted to closing.
  void TransitionTo(State next);

  void OnRead();
  void OnWritten();
  void OnEvent(short what);
  void OnTimer();

  // Reading
  void DispatchCommands(Clock::time_point now);
  void RecordArrival(Clock::time_point now);
  void UpdateUnwatched(std::size_t size, Clock::time_point now);
  [[nodiscard]] bool MayProcessCommand(Clock::time_point now) const;
  // Continues with commands that have been read, after the event loop has served other connections.
  void ContinueLater() { timer_.Arm(std::chrono::microseconds(0)); }
  void Dispatch(const resp::Command& command);
  void DispatchPing(const resp::Command& command);
  void DispatchRequest(const resp::Command& command);
  // Returns how many responses may be pending before no further command is taken. It falls as the memory for
  // requests is used up and as more connections have pending responses, so that none takes what many need.
  [[nodiscard]] std::size_t MaxPendingResponses() const;
  // Applies back-pressure: no command is processed while this returns true. Reading goes on up to the
  // read-ahead, so that a disconnect is noticed.
  [[nodiscard]] bool IsFull() const;
  void UpdatePaused();
  // Handles a period in which the system did not watch the socket. The bytes that are read next may have
  // arrived during that period.
  void OnUnwatched();

  // Responses
  // Responds to a command that is not forwarded as a request.
  void RespondAtOnce(std::string_view text);
  void Respond(Slot slot, std::string_view text);
  // Resumes paused command processing, or closes the connection if that is due.
  void OnResponseWritten();

  // Closing
  [[nodiscard]] safety::ConnectionFacts Facts() const;
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] bool IsIdleTimeout(Clock::time_point now, const IdlePolicy& idle) const;
  // Handles lost framing: sends an error response after the pending responses, and closes.
  void OnProtocolError(const std::string& what);
  void StopReading(ops::CloseReason reason);
  void OnCommandOverdue();
  void CheckMemoryWait(Clock::time_point now);
  // Rejects the command that waits for memory, and skips the rest of it.
  void RejectWaitingCommand();
  void ShutDownIfAllowed();
  void ShutDownAborted();

  ConnectionContext& context_;
  Owner& owner_;
  const Clock::time_point accepted_at_ = Clock::now();
  Clock::time_point last_used_at_ = accepted_at_;
  BufferEvent connection_;
  CommandReader reader_;
  ResponseSender responses_;
  ScheduledClose scheduled_close_;
  LingeringClose lingering_close_;
  WriteTimeout write_timeout_;
  Timer timer_;  // continues with commands while open, and checks whether to close afterwards
  State state_ = State::kOpen;
  ops::CloseReason close_reason_ = ops::CloseReason::kClientClosed;
  bool has_requested_ = false;
  bool has_protocol_error_ = false;
  bool is_client_disconnected_ = false;
  bool is_dispatching_ = false;
  bool is_shedding_ = false;
  bool is_paused_ = false;
  bool is_watched_ = false;  // the system reports events of the socket
  // Bytes may have arrived unnoticed since then: the socket was not watched, or the read buffer was full.
  std::optional<Clock::time_point> unwatched_since_;
  // Of the bytes that have arrived since then: how many lay at the socket at the last look, and when that
  // was.
  std::size_t unread_bytes_ = 0;
  std::optional<Clock::time_point> unread_seen_at_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_
