// Forwards a large value from an upstream's connection to the client as it arrives.
#ifndef POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_
#define POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_

#include <cstddef>

#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "resp/frame.h"

namespace postspread::net {

class ValueStream {
 public:
  enum class Progress {
    kNeedsInput,  // all bytes that have arrived are forwarded
    kClientFull,  // the client has no capacity for more bytes
    kComplete,
    kMalformed,  // the value does not end where its length says
  };

  // Starts a stream. The value's own framing must be at the front of the read buffer.
  void Begin(const resp::LargeValue& value);

  // Forwards the bytes that have arrived, as far as the client has capacity.
  Progress Forward(bufferevent* connection, RequestId request, AttemptListener& listener);

  // Returns the number of bytes that are still to be forwarded, including the framing.
  [[nodiscard]] std::size_t remaining() const { return remaining_; }
  // Returns the number of parts that follow the value in its reply.
  [[nodiscard]] std::size_t trailing_parts() const { return trailing_parts_; }

 private:
  [[nodiscard]] bool EndsWithLineEnd(bufferevent* connection) const;

  std::size_t remaining_ = 0;
  std::size_t trailing_parts_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_
