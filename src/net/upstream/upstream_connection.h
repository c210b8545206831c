// One connection to an upstream, and the attempt or health check on it. It owns what it carries: each ends
// exactly once, by a reply, a timeout, a broken rule or the end of the connection.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_CONNECTION_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/log.h"
#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "net/upstream/late_duplicate_detector.h"
#include "net/upstream/stall_timeout.h"
#include "net/upstream/upstream_attempt.h"
#include "net/upstream/upstream_reply.h"
#include "net/upstream/value_stream.h"
#include "resp/frame.h"

namespace postspread::net {

class UpstreamConnection;
struct PooledUpstream;

// What all connections of a pool share.
struct UpstreamConnectionContext {
  event_base* base = nullptr;
  std::chrono::microseconds connect_timeout{0};
  std::string health_check_command;
  AttemptListener& listener;
  LateDuplicateDetector late_duplicates{};
  StallTimeout stall_timeout{};
  std::string write_buffer{};  // scratch space
  RareLog malformed_log{};
};

// Holds the connections and the index of attempts.
class UpstreamConnectionOwner {
 public:
  // Hands the connection over, so that it lives until its caller returns.
  virtual std::unique_ptr<UpstreamConnection> Remove(UpstreamConnection& connection) = 0;
  // The attempt takes no more calls.
  virtual void RemoveAttempt(const AttemptKey& key) = 0;
  virtual void CloseIdleConnections(PooledUpstream& upstream) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

class UpstreamConnection {
 public:
  // The references outlive this.
  UpstreamConnection(UpstreamConnectionContext& context, UpstreamConnectionOwner& owner,
                     PooledUpstream& upstream);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Called once, before all else. False: the connection can't be opened.
  bool Connect();

  // Starts an attempt or health check: at once where idle, else when the connection is up.
  void Begin(UpstreamAttempt attempt);

  // Ends what is in flight by closing the connection, which is destroyed.
  void Close(planner::AttemptResult result);
  // Does so where nothing of it has been sent: it can go to another upstream.
  void CloseIfUnsent();

  // The client has capacity again for the value that is streamed.
  void Resume();

  [[nodiscard]] bool is_idle() const { return state_ == State::kIdle; }
  [[nodiscard]] Clock::time_point idle_since() const { return idle_since_; }
  // Whether something has arrived at the idle connection that the loop has not seen yet, so that it can't be
  // reused: its end would reset the next request, a late duplicate would be taken for its reply.
  [[nodiscard]] bool IsStale() const { return HasNews(connection_.get()); }
  [[nodiscard]] bool HasUnsolicitedBytes() const { return HasBytes(connection_.get()); }

  [[nodiscard]] PooledUpstream& upstream() const { return upstream_; }

 private:
  enum class State {
    kConnecting,      // an attempt waits for the connection to come up
    kAwaitingSend,    // up; no byte of the attempt has been sent
    kAwaitingReply,   // the attempt's first byte has been sent, nothing has arrived
    kReadingReply,    // a reply has begun and is incomplete
    kStreamingValue,  // the attempt is reported; its value is being forwarded
    kDrainingReply,   // the attempt is reported; what is left of the reply is being read
    kIdle,
    kClosed,  // removed from its owner
  };

  static bool IsTransition(State from, State to);
  void Transition(State to);
  [[nodiscard]] bool IsUnsent() const {
    return state_ == State::kConnecting || state_ == State::kAwaitingSend;
  }
  [[nodiscard]] bool IsReported() const {
    return state_ == State::kStreamingValue || state_ == State::kDrainingReply;
  }
  [[nodiscard]] bool LeadsToCurrentProcess() const;
  [[nodiscard]] bool IsUpstreamReady() const;

  void OnConnected();
  void OnDisconnected();
  void OnEvent(short what);
  void OnReadable();
  void OnWritten();
  void OnTimeout();

  void SendIfAllowed();
  bool StartWriting();

  [[nodiscard]] std::string_view PeekNeeded() const;
  void ReadReply();
  bool OnPartialReply(std::string_view bytes);
  void OnReply(const resp::Reply& reply);
  bool BeginStream(const resp::LargeValue& large);
  void ForwardValue();
  void OnValueForwarded();
  void DrainReply();
  void Release(std::size_t reply_size);
  void ArmStallTimer();
  void CloseMalformed();
  void Report(const UpstreamReply& outcome);

  UpstreamConnectionContext& context_;
  UpstreamConnectionOwner& owner_;
  PooledUpstream& upstream_;
  const int incarnation_;  // of the upstream, when this was opened
  BufferEvent connection_;
  Timer timer_;
  State state_ = State::kConnecting;
  UpstreamAttempt attempt_;
  ValueStream stream_;
  bool is_stream_paused_ = false;    // the client has no capacity
  bool is_upstream_closed_ = false;  // while the attempt is reported: all that will arrive has arrived
  std::size_t bytes_needed_ = 0;     // for the next step of parsing; 0: unknown
  Clock::time_point connect_started_at_;
  std::chrono::microseconds delay_bound_{0};  // longest way of a byte to the upstream; known once connected
  Clock::time_point last_read_at_;            // within a reply
  Clock::time_point idle_since_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_CONNECTION_H_
