// The interfaces between client connections and the request path of the gateway.
#ifndef POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_
#define POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "model/request.h"
#include "net/loop.h"
#include "ops/metrics.h"
#include "planner/types.h"
#include "resp/request.h"

namespace postspread::net {

// Writes the final response of each request. A further client protocol would add its own ResponseWriter.
class ResponseWriter {
 public:
  using Slot = std::uint64_t;  // identifies a request within its writer

  // Writes a response. `value` is a complete RESP bulk string, as the upstream sent it.
  virtual void Complete(Slot slot, std::string_view value) = 0;
  // Writes a rejection. It contains `retry_after` unless that is 0.
  virtual void RejectWithRetryAfter(Slot slot, std::chrono::milliseconds retry_after) = 0;
  virtual void Fail(Slot slot, planner::FailureReason reason) = 0;
  // Begins a streamed value, in place of Complete. `window` bounds the bytes buffered for the client.
  virtual void BeginStream(Slot slot, std::size_t window) = 0;
  // Returns how many bytes WriteStream accepts now; 0 until all earlier responses are written. After 0 the
  // writer calls RequestHandler::ResumeStream once it has capacity.
  virtual std::size_t StreamCapacity(Slot slot) = 0;
  // Moves `size` bytes, at most the capacity, from the front of `from`.
  virtual void WriteStream(Slot slot, evbuffer* from, std::size_t size) = 0;
  virtual void EndStream(Slot slot) = 0;
  // Ends a value whose rest can't be delivered. If no byte of it has left, the response is that the request
  // has failed; otherwise the client sees that the value is incomplete.
  virtual void AbortStream(Slot slot) = 0;
  // Checks the socket, because the event loop may not have read a disconnect yet.
  virtual bool IsClientConnected() = 0;

 protected:
  ~ResponseWriter() = default;
};

// Receives the requests of client connections.
class RequestHandler {
 public:
  // Returns whether requests are admitted and served.
  virtual bool Ready() = 0;
  // Starts a request. `writer` receives the final response, possibly within this call.
  virtual RequestId HandleRequest(const Request& request, resp::EncodedRequest encoded,
                                  ResponseWriter& writer, ResponseWriter::Slot slot) = 0;
  // Rejects a request that is not dispatched, or not even read, for lack of capacity.
  virtual void RejectUnread(const Request& request, ops::RejectReason reason, ResponseWriter& writer,
                            ResponseWriter::Slot slot) = 0;
  // The client no longer waits for the response. The handler does not call the writer again.
  virtual void OnClientDisconnect(RequestId request) = 0;
  // The writer has capacity again for the request's streamed value.
  virtual void ResumeStream(RequestId request) = 0;

 protected:
  ~RequestHandler() = default;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_
