// A large value on its way from an upstream's connection to the client, forwarded as it arrives.
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
    kNeedsInput,  // all that has arrived is forwarded
    kClientFull,  // the client has no capacity
    kComplete,
    kMalformed,  // the value does not end where its length says
  };

  // Begins with the value's own framing at the front of what was read.
  void Begin(const resp::LargeValue& value);

  // Forwards what has arrived, as far as the client has capacity.
  Progress Forward(bufferevent* connection, RequestId request, AttemptListener& listener);

  // Bytes that are still to be forwarded, framing included.
  [[nodiscard]] std::size_t remaining() const { return remaining_; }
  // Parts of the reply that follow the value.
  [[nodiscard]] std::size_t trailing_parts() const { return trailing_parts_; }

 private:
  [[nodiscard]] bool EndsWithLineEnd(bufferevent* connection) const;

  std::size_t remaining_ = 0;
  std::size_t trailing_parts_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_VALUE_STREAM_H_
