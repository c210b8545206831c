// Writes the responses of a client connection, including streamed ones, in the order of its commands.
#ifndef POSTSPREAD_NET_DOWNSTREAM_RESPONSE_SENDER_H_
#define POSTSPREAD_NET_DOWNSTREAM_RESPONSE_SENDER_H_

#include <cstddef>
#include <string_view>

#include "net/downstream/connection_context.h"
#include "net/downstream/response_queue.h"
#include "net/loop.h"

namespace postspread::net {

// A function on a slot does nothing if the slot's response is ready, written or dropped.
class ResponseSender {
 public:
  using Slot = ResponseQueue::Slot;

  ResponseSender(bufferevent* connection, ConnectionContext& context)
      : connection_(connection), context_(context) {}
  ~ResponseSender();
  ResponseSender(const ResponseSender&) = delete;
  ResponseSender& operator=(const ResponseSender&) = delete;

  // Adds a pending response and returns its slot. `id_hash` is as in PendingResponse.
  Slot Add(std::size_t id_hash);
  // Stores the request of a slot after its dispatch. Does nothing if its response was already written during
  // the dispatch.
  void SetRequest(Slot slot, RequestId request);
  [[nodiscard]] bool empty() const { return queue_.empty(); }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  // Returns the bytes of responses that the socket has not accepted or that wait for earlier responses.
  [[nodiscard]] std::size_t UnsentBytes() const { return queue_.buffered_bytes() + Unwritten(connection_); }

  // Returns how many bytes of responses may be unsent before no further command is taken. It falls as the
  // memory for responses is used up.
  [[nodiscard]] std::size_t MaxUnsentBytes() const;
  // Adapts the reservation for unsent responses to what the socket has accepted.
  void UpdateReservation();

  enum class Result { kNothing, kWritten };
  // Writes the response once all earlier ones are written. Returns kWritten if it was written now, followed
  // by the ready responses after it.
  Result Send(Slot slot, std::string_view text);

  // These functions correspond to those of ResponseWriter. A streamed response begins only once the socket
  // has accepted all earlier ones, so what is unwritten then belongs to it alone.
  void BeginStream(Slot slot, std::size_t window);
  [[nodiscard]] std::size_t StreamCapacity(Slot slot);
  void WriteStream(Slot slot, evbuffer* from, std::size_t size);
  Result EndStream(Slot slot);

  enum class Abort {
    kNothing,    // the response was not pending
    kWithdrawn,  // no byte of it has left; it is pending again, and Send can write another response
    kCutOff,     // the caller must write nothing more, and close once the client has what was written before
  };
  // Ends a streamed response whose rest can't be delivered, and drops what is unwritten of it.
  Abort AbortStream(Slot slot);
  // Continues with the ready responses, or the streamed one, that are first. The caller calls it after the
  // socket has accepted bytes.
  void OnWritten();

  // Cancels every request whose response is pending, as the connection ends.
  void CancelAll();
  // Cancels the request of each pending response and calls `fail` with its slot. A streamed response that is
  // being written continues, because an error response inside it would become part of its value.
  template <typename Fail>
  void FailAll(const Fail& fail);

 private:
  void WriteReady();
  void ResumeFirstStream();
  void FinishStreaming();
  // Counts the connection as active while responses are pending.
  void UpdateActivity();

  bufferevent* connection_;
  ConnectionContext& context_;
  ResponseQueue queue_;
  std::size_t stream_window_ = 0;  // maximum unwritten bytes of a streamed response
  std::size_t stream_bytes_ = 0;   // bytes of the first response, which is streamed, that WriteStream has got
  bool is_active_ = false;         // counted in ConnectionContext::active_connections
  std::size_t reserved_bytes_ = 0;  // for unsent responses, without a streamed one
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
