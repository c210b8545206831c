// One connection to an upstream and the attempt or health check on it. The connection owns the attempt and
// reports it exactly once, after a reply, a timeout, a broken rule or the loss of the connection.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_CONNECTION_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "flow/memory_budgets.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "net/upstream/late_duplicate_detector.h"
#include "net/upstream/message_writer.h"
#include "net/upstream/stall_timeout.h"
#include "net/upstream/upstream_attempt.h"
#include "net/upstream/upstream_reply.h"
#include "net/upstream/value_stream.h"
#include "resp/frame.h"

namespace postspread::net {

class UpstreamConnection;
struct PooledUpstream;

// The state that all connections of a pool share.
struct UpstreamConnectionContext {
  event_base* base = nullptr;
  std::chrono::microseconds dial_timeout{0};
  std::string health_check_command;
  flow::MemoryBudgets& memory;
  AttemptListener& listener;
  LateDuplicateDetector late_duplicates{};
  StallTimeout stall_timeout{};
  std::string write_buffer{};  // scratch space
  RateLimitedLog malformed_log{};
  RateLimitedLog undelivered_log{};
  RateLimitedLog late_log{};
  RateLimitedLog no_memory_log{};
};

// Owns the connections and the index of attempts by key.
class UpstreamConnectionOwner {
 public:
  // Removes the connection and returns it, so that it lives until its caller, which may be the connection
  // itself, returns.
  virtual std::unique_ptr<UpstreamConnection> Remove(UpstreamConnection& connection) = 0;
  // Removes the attempt from the index, so that it receives no more calls.
  virtual void RemoveAttempt(const AttemptKey& key) = 0;
  virtual void CloseIdleConnections(PooledUpstream& upstream) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

class UpstreamConnection {
 public:
  // The referenced objects must outlive the connection.
  UpstreamConnection(UpstreamConnectionContext& context, UpstreamConnectionOwner& owner,
                     PooledUpstream& upstream);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;
  // Resets the connection if its socket still holds bytes for the upstream.
  ~UpstreamConnection();

  // Called once, before any other function. Returns false if the connection can't be opened.
  bool Connect();

  // Starts an attempt or health check: at once if the connection is idle, otherwise once it is established.
  void Begin(UpstreamAttempt attempt);

  // Closes and destroys the connection, and reports the attempt in flight with `result`.
  void Close(planner::AttemptResult result);
  // Closes the connection if no byte of its attempt has been sent, so that the attempt can be retried at
  // another upstream.
  void CloseIfUnsent();
  // Closes the connection if bytes of its attempt have not left this machine, so that the upstream never
  // executes the attempt.
  void CloseIfPartlySent();
  // Frees what is left to send of an attempt whose request has ended. The rules no longer allow sending it,
  // so the attempt ends at the next check.
  void DiscardMessage();
  // The last byte of the attempt must arrive before `arrive_by`, in addition to the earlier limit.
  void LimitArrival(Clock::time_point arrive_by);

  // Continues the streamed value after its client has capacity again.
  void Resume();
  // Watches the socket again, if it is to be read and the system has refused to watch it.
  void EnsureWatched();

  [[nodiscard]] bool is_idle() const { return state_ == State::kIdle; }
  [[nodiscard]] Clock::time_point idle_since() const { return idle_since_; }
  // Returns whether the socket of the idle connection has an event that the loop has not processed yet, so
  // that the connection can't be reused: a close would reset the next request, and a late duplicate would be
  // taken for its reply.
  [[nodiscard]] bool IsStale() const { return HasUnreadInput(connection_.get()); }
  [[nodiscard]] bool HasUnsolicitedBytes() const { return HasUnreadBytes(connection_.get()); }

  [[nodiscard]] PooledUpstream& upstream() const { return upstream_; }

 private:
  enum class State {
    kConnecting,      // an attempt waits for the connection to be established
    kAwaitingSend,    // the connection is established; no byte of the attempt has been sent
    kAwaitingReply,   // the attempt's first byte has been sent, no reply has begun
    kReadingReply,    // a reply has begun and is incomplete
    kStreamingValue,  // the attempt is reported; its reply is being read and its value forwarded
    kReplyComplete,   // the reply has been read; the connection is about to be released
    kIdle,
    kClosed,  // removed from its owner
  };

  static bool IsTransition(State from, State to);
  void Transition(State to);
  [[nodiscard]] bool IsUnsent() const {
    return state_ == State::kConnecting || state_ == State::kAwaitingSend;
  }
  [[nodiscard]] bool IsReported() const {
    return state_ == State::kStreamingValue || state_ == State::kReplyComplete;
  }
  [[nodiscard]] bool LeadsToCurrentProcess() const;
  [[nodiscard]] bool IsUpstreamReady() const;

  void OnConnected();
  void OnDisconnected();
  void OnEvent(short what);
  void OnReadable();
  void OnTimeout();
  void OnReplyStalled();

  void SendIfAllowed();
  MessageWriter::Progress BeginWriting();
  void ContinueWriting();
  void OnProgress(MessageWriter::Progress progress);
  void OnWritten();
  [[nodiscard]] safety::DeliveryFacts DeliveryFacts() const;
  void ArmDeliveryTimer();
  void CheckDelivery();
  [[nodiscard]] bool IsUnsolicited() const;

  [[nodiscard]] std::string_view PeekNeeded() const;
  void ReadReply();
  bool OnPartialReply(std::string_view bytes);
  void OnReply(const resp::Reply& reply);
  // Returns whether the upstream has ended the connection, and less than a reply with this value can still be
  // read. `skipped` bytes of the reply before the value have been read.
  [[nodiscard]] bool IsCutOff(const resp::LargeValue& large, std::size_t skipped) const;
  bool BeginStream(const resp::LargeValue& large);
  void ForwardValue();
  void OnValueForwarded();
  void Release(std::size_t reply_size);
  void ArmStallTimer();
  // Makes room for a reply of `size` bytes. Returns false if the memory is used up.
  bool ReserveReply(std::size_t size);
  void ReleaseReply();
  void CloseMalformed();
  void CloseForLackOfMemory();
  void Report(const UpstreamReply& outcome);
  void LogIfUndelivered(planner::AttemptResult result) const;

  UpstreamConnectionContext& context_;
  UpstreamConnectionOwner& owner_;
  PooledUpstream& upstream_;
  const int incarnation_;  // the upstream's incarnation when this connection was opened
  BufferEvent connection_;
  MessageWriter writer_;
  Timer timer_;
  State state_ = State::kConnecting;
  UpstreamAttempt attempt_;
  resp::LargeValue large_value_;  // the streamed value
  ValueStream stream_;
  bool is_stream_paused_ = false;    // the client has no capacity
  bool is_upstream_closed_ = false;  // the upstream has closed the connection that streams a value
  std::size_t bytes_needed_ = 0;     // bytes that the next parsing step needs; 0 if unknown
  std::size_t reserved_bytes_ = 0;   // for the reply, beyond the read-ahead
  Clock::time_point connect_started_at_;
  std::chrono::microseconds delay_bound_{0};  // maximum delay of a byte to the upstream; set once connected
  Clock::time_point last_read_at_;            // last read of the current reply
  Clock::time_point idle_since_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_CONNECTION_H_
