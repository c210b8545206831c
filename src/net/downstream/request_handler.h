// What clients' connections hand their requests to, and where the answers go.
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

// Where the final answer of one request goes. A second protocol brings a ResponseWriter of its own.
class ResponseWriter {
 public:
  using Slot = std::uint64_t;  // which of the writer's questions is answered

  // `value` is a whole RESP bulk string, as the upstream gave it.
  virtual void Complete(Slot slot, std::string_view value) = 0;
  virtual void RejectWithRetryAfter(Slot slot, std::chrono::milliseconds retry_after) = 0;  // 0: no advice
  virtual void Fail(Slot slot, planner::FailureReason reason) = 0;
  // A value that comes in pieces, in place of Serve. Room: how many bytes are taken now, none before the
  // answers ahead are out; where none, RequestHandler::ResumeStream follows. Pass moves `size` bytes, no more
  // than that, from the front of `from`. Then End, or Break: the rest never comes, and the client is to see
  // that.
  virtual void BeginStream(Slot slot, std::size_t window) = 0;
  virtual std::size_t StreamCapacity(Slot slot) = 0;
  virtual void WriteStream(Slot slot, evbuffer* from, std::size_t size) = 0;
  virtual void EndStream(Slot slot) = 0;
  virtual void AbortStream(Slot slot) = 0;
  // Whether the client is still there, looked at now: it may have closed and the loop not have seen it yet.
  virtual bool IsClientConnected() = 0;

 protected:
  ~ResponseWriter() = default;
};

// What clients' connections hand their requests to.
class RequestHandler {
 public:
  // Whether requests can be taken in and served.
  virtual bool Ready() = 0;
  // Takes a request; `writer` gets its final answer, at once or later. Returns the request's number.
  virtual RequestId HandleRequest(const Request& request, resp::EncodedRequest encoded,
                                  ResponseWriter& writer, ResponseWriter::Slot slot) = 0;
  // The sender has gone: nobody waits for the answer any more, and the writer is not called again.
  virtual void OnClientDisconnect(RequestId number) = 0;
  // The writer has room again for the request's value.
  virtual void ResumeStream(RequestId number) = 0;

 protected:
  ~RequestHandler() = default;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_REQUEST_HANDLER_H_
