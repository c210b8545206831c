// Reads the replies of an upstream connection, and forwards large values.
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "net/upstream/pooled_upstream.h"
#include "net/upstream/upstream_connection.h"

namespace postspread::net {
namespace {

using planner::AttemptResult;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Bounds the time without a new byte within a large value past its request's deadline.
constexpr milliseconds kValueStallTimeout{3'000};
// The kernel's receive buffer of a connection that streams a large value.
constexpr int kStreamKernelBytes = 64 * 1024;
// The parts of a reply beside its value, and its framing.
constexpr std::size_t kReplyOverheadBytes = std::size_t{8} * 1024;
// A part of a reply has at least its type and a line end.
constexpr std::size_t kMinPartBytes = 3;

}  // namespace

// ---- Reading a reply

std::string_view UpstreamConnection::PeekNeeded() const {
  return bytes_needed_ > 1 ? Peek(connection_.get(), bytes_needed_) : PeekFirst(connection_.get());
}

void UpstreamConnection::ReadReply() {
  resp::Reply reply;
  for (;;) {
    const std::size_t available = ReadSize(connection_.get());
    if (available < std::max<std::size_t>(1, bytes_needed_)) return ArmStallTimer();
    const std::string_view bytes = PeekNeeded();
    const resp::Progress progress = resp::ParseReply(bytes, reply);
    if (progress == resp::Progress::kMalformed) return CloseMalformed();
    if (progress == resp::Progress::kComplete) return OnReply(reply);
    const bool is_first = bytes_needed_ == 0;
    bytes_needed_ = reply.bytes_needed;
    if (!OnPartialReply(bytes)) return;
    if (is_first) ArmStallTimer();
  }
}

// Returns whether to continue buffering the reply. Otherwise its value is streamed or the connection is
// closed.
bool UpstreamConnection::OnPartialReply(std::string_view bytes) {
  if (state_ == State::kAwaitingReply) Transition(State::kReadingReply);
  resp::LargeValue large;
  if (!attempt_.is_health_check() && resp::BeginsWithLargeValue(bytes, large) && BeginStream(large))
    return false;
  if (ReserveReply(bytes_needed_)) return true;
  // Without memory for the whole value it is forwarded as it arrives.
  const bool is_value = !attempt_.is_health_check() && resp::BeginsWithLargeValue(bytes, large, 0);
  if (!is_value || !BeginStream(large)) CloseForLackOfMemory();
  return false;
}

bool UpstreamConnection::ReserveReply(std::size_t size) {
  const std::size_t read_ahead = context_.memory.partition.upstream_read_ahead;
  if (size <= std::max(read_ahead, reserved_bytes_)) return true;
  if (!context_.memory.responses.TryReserve(size - reserved_bytes_)) return false;
  reserved_bytes_ = size;
  bufferevent_setwatermark(connection_.get(), EV_READ, 0, size);
  return true;
}

void UpstreamConnection::ReleaseReply() {
  if (reserved_bytes_ == 0) return;
  context_.memory.responses.Release(std::exchange(reserved_bytes_, 0));
  bufferevent_setwatermark(connection_.get(), EV_READ, 0, context_.memory.partition.upstream_read_ahead);
}

// Most replies that stall never continue, and the attempt's own timeout would leave no time for a retry.
void UpstreamConnection::ArmStallTimer() {
  if (state_ != State::kReadingReply) return;
  const bool is_large = bytes_needed_ > resp::kMaxSmallValueBytes + kReplyOverheadBytes;
  const microseconds typical = is_large ? microseconds(kValueStallTimeout) : context_.stall_timeout.value();
  timer_.Arm(attempt_.StallTimeout(typical));
}

void UpstreamConnection::OnReply(const resp::Reply& reply) {
  const std::optional<UpstreamReply> outcome = DecodeReply(reply, attempt_.kind);
  if (!outcome) return CloseMalformed();
  timer_.Disarm();
  // The value is a slice of the read buffer, so the buffer is consumed and the connection released only after
  // the report.
  Transition(State::kReplyComplete);
  ReleaseReply();  // the client's connection reserves what it has to keep
  Report(*outcome);
  Release(reply.size);
}

// Makes the connection available for another attempt once its reply has been read.
void UpstreamConnection::Release(std::size_t reply_size) {
  Consume(connection_.get(), reply_size);
  ReleaseReply();
  Transition(State::kIdle);
  idle_since_ = Clock::now();
  const bool has_duplicate = ReadSize(connection_.get()) > 0;
  if (has_duplicate) context_.late_duplicates.Record(Clock::now());
  // The upstream may reply to a part of the request. The next one would wait behind the rest of it.
  const bool is_written = writer_.remaining() == 0 && UnsentBySystem(connection_.get()) == 0;
  if (has_duplicate || !is_written || !IsUpstreamReady() || !LeadsToCurrentProcess()) {
    Close(AttemptResult::kReset);
  }
}

// ---- Streaming a large value

bool UpstreamConnection::IsCutOff(const resp::LargeValue& large, std::size_t skipped) const {
  if (!is_upstream_closed_ && !HungUp(connection_.get())) return false;
  const std::size_t needed = large.at + large.size + large.rest * kMinPartBytes;
  return skipped + ReadSize(connection_.get()) + UnreadBytes(connection_.get()) < needed;
}

// Returns whether the value is streamed or the connection is closed. Otherwise the value is buffered.
bool UpstreamConnection::BeginStream(const resp::LargeValue& large) {
  if (IsCutOff(large, /*skipped=*/0)) {
    OnDisconnected();  // reported as a reset, so that the request can be retried
    return true;
  }
  const auto handling = context_.listener.OnLargeValue({.request = attempt_.key.request,
                                                        .attempt = attempt_.key.attempt,
                                                        .upstream = upstream_.name,
                                                        .result = AttemptResult::kSucceeded,
                                                        .elapsed = attempt_.Elapsed()});
  if (handling == AttemptListener::Value::kBuffer) return false;
  if (handling == AttemptListener::Value::kDiscard) {
    Close(AttemptResult::kCancelled);
    return true;
  }
  ReleaseReply();
  SetKernelBufferSize(connection_.get(), SO_RCVBUF, kStreamKernelBytes);
  Consume(connection_.get(), large.at);
  large_value_ = large;
  stream_.Begin(large);
  Transition(State::kStreamingValue);
  ForwardValue();
  return true;
}

void UpstreamConnection::ForwardValue() {
  // The upstream may have broken off while the value waited behind other responses. Once a byte of it has
  // left, the client could not get another response in its place.
  if (!stream_.HasBegun() && IsCutOff(large_value_, /*skipped=*/large_value_.at)) {
    return Close(AttemptResult::kReset);
  }
  switch (stream_.Forward(connection_.get(), attempt_.key.request, context_.listener)) {
    case ValueStream::Progress::kNeedsInput:
      if (is_upstream_closed_) return Close(AttemptResult::kReset);
      return timer_.Arm(std::max(microseconds(kValueStallTimeout), attempt_.TimeLeft()));
    case ValueStream::Progress::kClientFull:
      // Reads nothing from the upstream and runs no timeout until the client has capacity again.
      is_stream_paused_ = true;
      bufferevent_disable(connection_.get(), EV_READ);
      return timer_.Disarm();
    case ValueStream::Progress::kMalformed:
      return CloseMalformed();
    case ValueStream::Progress::kComplete:
      return OnValueForwarded();
  }
}

void UpstreamConnection::Resume() {
  if (state_ != State::kStreamingValue || !std::exchange(is_stream_paused_, false)) return;
  if (!is_upstream_closed_) Watch(connection_.get());  // if this fails, EnsureWatched retries it
  ForwardValue();
}

void UpstreamConnection::OnValueForwarded() {
  timer_.Disarm();
  Transition(State::kReplyComplete);
  owner_.RemoveAttempt(attempt_.key);
  context_.listener.OnStreamFinished(attempt_.key.request, StreamEnd::kComplete);
  if (is_upstream_closed_) return Close(AttemptResult::kReset);
  Release(/*reply_size=*/0);
}

}  // namespace postspread::net
