#include "net/downstream/response_sender.h"

#include <sys/socket.h>

#include <algorithm>
#include <deque>

namespace postspread::net {
namespace {

// Of repeated responses, this many bytes are written at a time.
constexpr std::size_t kMaxRepeatedBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxUnsentBytes = std::size_t{128} * 1024;
// A connection may use this fraction of the memory that is left for responses.
constexpr std::size_t kMaxUnsentDivisor = 8;
constexpr int kStreamSendBufferBytes = 64 * 1024;  // size of the kernel's send buffer

}  // namespace

ResponseSender::~ResponseSender() {
  queue_.Clear();
  UpdateActivity();
  context_.memory.responses.Release(reserved_bytes_);
}

ResponseSender::Slot ResponseSender::Add(std::size_t id_hash) {
  const Slot slot = queue_.Add(id_hash);
  UpdateActivity();
  return slot;
}

void ResponseSender::UpdateActivity() {
  if (is_active_ == !queue_.empty()) return;
  is_active_ = !is_active_;
  is_active_ ? ++context_.active_connections : --context_.active_connections;
}

std::size_t ResponseSender::MaxUnsentBytes() const {
  return std::min(kMaxUnsentBytes, context_.memory.responses.available() / kMaxUnsentDivisor);
}

void ResponseSender::UpdateReservation() {
  const std::size_t needed = queue_.buffered_bytes() + (stream_bytes_ > 0 ? 0 : Unwritten(connection_));
  flow::ByteBudget& budget = context_.memory.responses;
  if (needed > reserved_bytes_) {
    // The response is pending. It is the reply of an upstream, whose reservation has been released, or short.
    budget.Reserve(needed - reserved_bytes_);
  } else {
    budget.Release(reserved_bytes_ - needed);
  }
  reserved_bytes_ = needed;
}

void ResponseSender::SetRequest(Slot slot, RequestId request) {
  if (PendingResponse* response = queue_.Find(slot)) response->request = request;
}

ResponseSender::Result ResponseSender::Send(Slot slot, std::string_view text) {
  PendingResponse* response = queue_.FindUnready(slot);
  if (response == nullptr) return Result::kNothing;
  if (response->id_hash != 0) context_.pending_ids.erase(response->id_hash);
  if (!queue_.IsFirst(slot)) {
    queue_.Buffer(*response, text);
    UpdateReservation();
    return Result::kNothing;
  }
  Write(connection_, text);
  queue_.Pop();
  WriteReady();
  return Result::kWritten;
}

void ResponseSender::WriteReady() {
  while (!queue_.empty() && queue_.front().is_ready) {
    if (Unwritten(connection_) >= kMaxRepeatedBytes) break;  // goes on once the socket has accepted bytes
    Write(connection_, queue_.TakeRepeats(kMaxRepeatedBytes));
    if (queue_.front().repeats == 0) queue_.Pop();
  }
  UpdateReservation();
  UpdateActivity();
  ResumeFirstStream();
}

void ResponseSender::BeginStream(Slot slot, std::size_t window) {
  PendingResponse* response = queue_.FindUnready(slot);
  if (response == nullptr) return;
  response->is_streamed = true;
  stream_window_ = window;
  SetKernelBufferSize(connection_, SO_SNDBUF, kStreamSendBufferBytes);
}

std::size_t ResponseSender::StreamCapacity(Slot slot) {
  if (!queue_.IsFirst(slot) || queue_.FindUnready(slot) == nullptr) return 0;
  const std::size_t unwritten = Unwritten(connection_);
  if (stream_bytes_ == 0 && unwritten > 0) return 0;  // of earlier responses
  return stream_window_ - std::min(stream_window_, unwritten);
}

void ResponseSender::WriteStream(Slot slot, evbuffer* from, std::size_t size) {
  if (queue_.IsFirst(slot) && queue_.FindUnready(slot) != nullptr) {
    if (stream_bytes_ == 0) bufferevent_setwatermark(connection_, EV_WRITE, stream_window_ / 2, 0);
    evbuffer_remove_buffer(from, bufferevent_get_output(connection_), size);
    stream_bytes_ += size;
  } else {
    evbuffer_drain(from, size);
  }
}

ResponseSender::Result ResponseSender::EndStream(Slot slot) {
  const PendingResponse* response = queue_.FindUnready(slot);
  if (response == nullptr || !queue_.IsFirst(slot)) return Result::kNothing;
  context_.pending_ids.erase(response->id_hash);
  FinishStreaming();
  queue_.Pop();
  WriteReady();
  return Result::kWritten;
}

void ResponseSender::FinishStreaming() {
  stream_bytes_ = 0;
  bufferevent_setwatermark(connection_, EV_WRITE, 0, 0);
}

ResponseSender::Abort ResponseSender::AbortStream(Slot slot) {
  PendingResponse* response = queue_.FindUnready(slot);
  if (response == nullptr) return Abort::kNothing;
  response->request.reset();
  response->is_streamed = false;
  if (!queue_.IsFirst(slot) || stream_bytes_ == 0) return Abort::kWithdrawn;
  const bool has_left = Unwritten(connection_) < stream_bytes_;
  DiscardUnwritten(connection_);
  FinishStreaming();
  if (!has_left) return Abort::kWithdrawn;
  context_.pending_ids.erase(response->id_hash);
  return Abort::kCutOff;
}

void ResponseSender::OnWritten() { WriteReady(); }

void ResponseSender::ResumeFirstStream() {
  if (queue_.empty() || !queue_.front().is_streamed || !queue_.front().request) return;
  context_.handler.ResumeStream(*queue_.front().request);
}

void ResponseSender::CancelAll() {
  const std::deque<PendingResponse> pending = queue_.Clear();
  UpdateActivity();
  for (const PendingResponse& response : pending) {
    if (response.is_ready) continue;
    context_.pending_ids.erase(response.id_hash);
    if (response.request) context_.handler.OnClientDisconnect(*response.request);
  }
}

}  // namespace postspread::net
