// Writes the responses of a client connection in the order of its commands, streamed ones among them.
#ifndef POSTSPREAD_NET_DOWNSTREAM_RESPONSE_SENDER_H_
#define POSTSPREAD_NET_DOWNSTREAM_RESPONSE_SENDER_H_

#include <cstddef>
#include <string_view>

#include "net/downstream/connection_context.h"
#include "net/downstream/response_queue.h"
#include "net/loop.h"

namespace postspread::net {

// Each function on a slot does nothing where its response is ready, written or given up.
class ResponseSender {
 public:
  using Slot = ResponseQueue::Slot;

  ResponseSender(bufferevent* connection, ConnectionContext& context)
      : connection_(connection), context_(context) {}

  // `id_hash` as in PendingResponse.
  Slot Add(std::size_t id_hash) { return queue_.Add(id_hash); }
  // The request of a slot was dispatched; nothing where its response has been written within that call.
  void SetRequest(Slot slot, RequestId request);
  [[nodiscard]] bool empty() const { return queue_.empty(); }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  // Bytes of responses that the socket has not taken, or whose turn has not come.
  [[nodiscard]] std::size_t UnreadBytes() const { return queue_.buffered_bytes() + Unwritten(connection_); }

  enum class Result { kNothing, kWritten };
  // Writes the response once those before it are written; kWritten: now, and those behind it that are ready.
  Result Send(Slot slot, std::string_view text);

  // As in ResponseWriter.
  void BeginStream(Slot slot, std::size_t window);
  [[nodiscard]] std::size_t StreamCapacity(Slot slot);
  void WriteStream(Slot slot, evbuffer* from, std::size_t size);
  Result EndStream(Slot slot);
  // Returns whether the response was pending: the connection has to be closed then, and nothing written.
  bool AbortStream(Slot slot);
  // The socket has taken bytes: the first response goes on where it is a streamed one.
  void ResumeFirstStream();

  // The connection ends: cancels every request whose response is pending.
  void CancelAll();
  // Calls `fail` with the slot of each pending response, its request cancelled. A streamed one that is being
  // written goes on: another response written into it would become part of its value.
  template <typename Fail>
  void FailAll(const Fail& fail);

 private:
  void WriteReady();

  bufferevent* connection_;
  ConnectionContext& context_;
  ResponseQueue queue_;
  std::size_t stream_window_ = 0;  // bytes of a streamed response that may be unwritten
};

template <typename Fail>
void ResponseSender::FailAll(const Fail& fail) {
  const Slot end = queue_.first_slot() + queue_.size();
  for (Slot slot = queue_.first_slot(); slot < end; ++slot) {
    const PendingResponse* response = queue_.FindUnready(slot);
    if (response == nullptr || (queue_.IsFirst(slot) && response->is_streamed)) continue;
    if (response->request) context_.handler.OnClientDisconnect(*response->request);
    fail(slot);
  }
}

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_RESPONSE_SENDER_H_
