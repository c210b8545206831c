// Forwards a large value from an upstream's connection to the client as it arrives. The client can tell that
// the value is complete only once the whole reply has been read and is valid: the value's last bytes are held
// back until then.
#ifndef POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_
#define POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_

#include <cstddef>
#include <memory>

#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "resp/frame.h"

namespace postspread::net {

class ValueStream {
 public:
  enum class Progress {
    kNeedsInput,  // all bytes that have arrived are forwarded, except for the last of the value
    kClientFull,  // the client has no capacity for more bytes
    kComplete,    // the reply has been read, and its value is forwarded
    kMalformed,   // the value does not end where its length says, or the parts behind it can't be read
  };

  // Starts a stream. The value's own framing must be at the front of the read buffer. Throws std::bad_alloc.
  void Begin(const resp::LargeValue& value);

  // Reads the bytes that have arrived, and forwards those of the value as far as the client has capacity.
  Progress Forward(bufferevent* connection, RequestId request, AttemptListener& listener);

  // Returns whether bytes of the value have been forwarded.
  [[nodiscard]] bool HasBegun() const { return body_left_ < body_size_; }

 private:
  using Buffer = std::unique_ptr<evbuffer, HandleDeleter<evbuffer_free>>;

  // Forwards the first `size` bytes of `from`, or as many as it has, and reduces `size` by their number.
  static Progress ForwardFrom(evbuffer* from, std::size_t& size, RequestId request,
                              AttemptListener& listener);
  Progress ReadEnd(bufferevent* connection);
  Progress ReadTrailingParts(bufferevent* connection);

  std::size_t body_size_ = 0;
  std::size_t body_left_ = 0;  // bytes that are still to be forwarded before the end of the value
  std::size_t end_left_ = 0;   // bytes of the value's end that are still to be forwarded
  Buffer end_;                 // the end of the value once it has arrived; it is held back
  resp::TrailingParts trailing_parts_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_
