// The interfaces between client connections and the request path.
#ifndef POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_
#define POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "model/request.h"
#include "net/loop.h"
#include "planner/types.h"
#include "resp/request.h"

namespace postspread::net {

// Writes the final response of each request. A second protocol would bring its own ResponseWriter.
class ResponseWriter {
 public:
  using Slot = std::uint64_t;  // identifies the request among the writer's

  // `value` is a complete RESP bulk string, as the upstream sent it.
  virtual void Complete(Slot slot, std::string_view value) = 0;
  virtual void RejectWithRetryAfter(Slot slot, std::chrono::milliseconds retry_after) = 0;  // 0: no advice
  virtual void Fail(Slot slot, planner::FailureReason reason) = 0;
  // A streamed value, in place of Complete. `window`: bytes that may be buffered for the client.
  virtual void BeginStream(Slot slot, std::size_t window) = 0;
  // How many bytes are taken now: none before the responses ahead are written. Where it is none,
  // RequestHandler::ResumeStream follows.
  virtual std::size_t StreamCapacity(Slot slot) = 0;
  // Moves `size` bytes, at most the capacity, from the front of `from`.
  virtual void WriteStream(Slot slot, evbuffer* from, std::size_t size) = 0;
  virtual void EndStream(Slot slot) = 0;
  // The rest of the value never comes, and the client is to see that.
  virtual void AbortStream(Slot slot) = 0;
  // Checked at the socket: the client may have disconnected and the event loop not have read that yet.
  virtual bool IsClientConnected() = 0;

 protected:
  ~ResponseWriter() = default;
};

// Takes the requests of client connections.
class RequestHandler {
 public:
  // Whether requests are admitted and served.
  virtual bool Ready() = 0;
  // `writer` gets the final response, possibly within the call.
  virtual RequestId HandleRequest(const Request& request, resp::EncodedRequest encoded,
                                  ResponseWriter& writer, ResponseWriter::Slot slot) = 0;
  // Nobody waits for the response any more: the writer is not called again.
  virtual void OnClientDisconnect(RequestId request) = 0;
  // The writer has capacity again for the request's value.
  virtual void ResumeStream(RequestId request) = 0;

 protected:
  ~RequestHandler() = default;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_
