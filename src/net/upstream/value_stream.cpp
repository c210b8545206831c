#include "net/upstream/value_stream.h"

#include <algorithm>

namespace postspread::net {
namespace {

constexpr std::size_t kLineEndSize = 2;  // bytes

}  // namespace

void ValueStream::Begin(const resp::LargeValue& value) {
  remaining_ = value.size;
  trailing_parts_ = value.rest;
}

ValueStream::Progress ValueStream::Forward(bufferevent* connection, RequestId request,
                                           AttemptListener& listener) {
  while (remaining_ > 0) {
    const std::size_t available = ReadSize(connection);
    // The final line end is verified before any of it is forwarded, so that a value of the wrong length can
    // still be aborted.
    const bool is_complete = available >= remaining_;
    if (is_complete && !EndsWithLineEnd(connection)) return Progress::kMalformed;
    const std::size_t ready = is_complete ? remaining_ : std::min(available, remaining_ - kLineEndSize);
    const std::size_t capacity = listener.StreamCapacity(request);
    std::size_t size = std::min(ready, capacity);
    if (size < remaining_ && size > remaining_ - kLineEndSize) size = remaining_ - kLineEndSize;
    if (size == 0) return ready == 0 ? Progress::kNeedsInput : Progress::kClientFull;
    remaining_ -= size;
    listener.StreamValue(request, bufferevent_get_input(connection), size);
  }
  return Progress::kComplete;
}

bool ValueStream::EndsWithLineEnd(bufferevent* connection) const {
  evbuffer* input = bufferevent_get_input(connection);
  evbuffer_ptr position;
  char end[kLineEndSize] = {};
  return evbuffer_ptr_set(input, &position, remaining_ - kLineEndSize, EVBUFFER_PTR_SET) == 0 &&
         evbuffer_copyout_from(input, &position, end, sizeof end) == sizeof end && end[0] == '\r' &&
         end[1] == '\n';
}

}  // namespace postspread::net
