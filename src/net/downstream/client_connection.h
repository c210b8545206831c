// One client connection: dispatches its commands, writes their responses in order, and closes when the rules
// of src/safety/ allow it. Its states: docs/design.md.
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

// When a connection without pending responses is closed as idle.
struct IdlePolicy {
  bool many_open = false;          // then a short idle time suffices for any connection
  Clock::time_point unused_since;  // one last used at this time or before is closed
};

class ClientConnection final : public ResponseWriter {
 public:
  class Owner {
   public:
    // Destroys the connection.
    virtual void Remove(ClientConnection* connection) = 0;
    // Reading is paused with more bytes to read: a disconnect is not seen unless it is checked for.
    virtual void WatchForDisconnect() = 0;

   protected:
    ~Owner() = default;
  };

  // Takes the descriptor over. Throws std::bad_alloc.
  ClientConnection(ConnectionContext& context, Owner& owner, evutil_socket_t fd);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Cancels every request whose response is pending. Before the connection is destroyed.
  void CancelPendingRequests() { responses_.CancelAll(); }
  // Counts the rule that closing the connection now violates, if there is one.
  void CountViolationByClose() const;
  [[nodiscard]] bool ViolatesDrainDeadline(Clock::time_point now) const;
  // The client has acknowledged all responses, and is waited for to close.
  [[nodiscard]] bool IsDelivered() const {
    return state_ == State::kLingering && Unacknowledged(connection_.get()) == 0;
  }
  // Its state and what keeps it open, for the log.
  [[nodiscard]] std::string Describe() const;
  void SetCloseReason(ops::CloseReason reason) { close_reason_ = reason; }
  // A valid request has come over it.
  [[nodiscard]] bool has_requested() const { return has_requested_; }
  // When its last command was taken, or when it connected.
  [[nodiscard]] Clock::time_point last_used_at() const { return last_used_at_; }

  // Closes the connection where its client stalls: reads no responses, does not complete a command, or is
  // idle. May destroy it.
  void CheckTimeouts(Clock::time_point now, const IdlePolicy& idle);
  [[nodiscard]] flow::ConnectionState EvictionState(Clock::time_point now) const;
  // Bytes have arrived that are not read yet.
  [[nodiscard]] bool HasUnread() const { return state_ == State::kOpen && HasNews(connection_.get()); }

  void ScheduleClose(const CloseSchedule& schedule) { scheduled_close_.Schedule(schedule); }
  void CancelScheduledClose() { scheduled_close_.Cancel(); }
  // Where the scheduled time has come: takes what has arrived by then, and nothing after it, as a client that
  // always has another request on its way would keep the connection open for good. The client sends what was
  // not read again elsewhere once it sees the close. May destroy the connection.
  void CloseIfDue(Clock::time_point now);

  // The read-ahead is full while responses are pending: a disconnect behind it is not seen.
  [[nodiscard]] bool IsReadingPaused() const;
  [[nodiscard]] bool HungUp() const { return net::HungUp(connection_.get()); }
  // Destroys the connection.
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
    kClosing,    // takes no more commands; shuts its side down once all responses are written
    kLingering,  // waits for the client to close
    kAborted,    // a streamed response broke off: nothing is written or read any more
  };
  // The only place where the state changes: open to closing, closing to lingering, both first to aborted.
  void TransitionTo(State next);

  void OnRead();
  void OnWritten();
  void OnEvent(short what);
  void OnCloseTimer();

  // Reading
  void DispatchCommands(Clock::time_point now);
  void RecordArrival(Clock::time_point now);
  [[nodiscard]] bool MayTakeCommand(Clock::time_point now) const;
  void Dispatch(const resp::Command& command);
  void DispatchPing(const resp::Command& command);
  void DispatchRequest(const resp::Command& command);
  // Back-pressure: no command is taken while this holds. Up to the read-ahead more is read, so that a
  // disconnect is seen.
  [[nodiscard]] bool IsFull() const;
  void UpdatePaused();
  // The system did not watch the socket for a moment: what is read next may have arrived meanwhile.
  void OnUnwatched();

  // Responses
  // To a command that is not dispatched.
  void RespondAtOnce(std::string_view text);
  void Respond(Slot slot, std::string_view text);
  // Commands may be taken again, or the connection closed.
  void OnResponseWritten();

  // Closing
  [[nodiscard]] safety::ConnectionFacts Facts() const;
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] bool IsIdleTimeout(Clock::time_point now, const IdlePolicy& idle) const;
  // The framing is lost: responds so after what is pending, and closes.
  void OnProtocolError(const std::string& what);
  void StopReading(ops::CloseReason reason);
  void ShutDownIfAllowed();

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
  Timer close_timer_;
  State state_ = State::kOpen;
  ops::CloseReason close_reason_ = ops::CloseReason::kClientClosed;
  bool has_requested_ = false;
  bool has_protocol_error_ = false;
  bool is_client_disconnected_ = false;
  bool is_dispatching_ = false;
  bool is_paused_ = false;
  bool is_watched_ = false;                           // the system reports what arrives
  std::optional<Clock::time_point> unwatched_since_;  // bytes may have arrived unreported since then
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_
