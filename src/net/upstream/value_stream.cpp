#include "net/upstream/value_stream.h"

#include <algorithm>
#include <new>
#include <string_view>

namespace postspread::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
// The end of a value that is held back: its line end and one byte, so that a client that does not wait for
// the line end can tell, too.
constexpr std::size_t kEndSize = kLineEnd.size() + 1;

}  // namespace

void ValueStream::Begin(const resp::LargeValue& value) {
  if (!end_) end_.reset(evbuffer_new());
  if (!end_) throw std::bad_alloc();
  body_size_ = value.size - kEndSize;
  body_left_ = body_size_;
  end_left_ = kEndSize;
  trailing_parts_ = resp::TrailingParts(value.rest);
}

ValueStream::Progress ValueStream::Forward(bufferevent* connection, RequestId request,
                                           AttemptListener& listener) {
  evbuffer* input = bufferevent_get_input(connection);
  Progress progress = ForwardFrom(input, body_left_, request, listener);
  if (progress == Progress::kComplete) progress = ReadEnd(connection);
  if (progress == Progress::kComplete) progress = ReadTrailingParts(connection);
  if (progress == Progress::kComplete) progress = ForwardFrom(end_.get(), end_left_, request, listener);
  return progress;
}

ValueStream::Progress ValueStream::ForwardFrom(evbuffer* from, std::size_t& size, RequestId request,
                                               AttemptListener& listener) {
  while (size > 0) {
    const std::size_t available = evbuffer_get_length(from);
    if (available == 0) return Progress::kNeedsInput;
    const std::size_t forwarded = std::min({size, available, listener.StreamCapacity(request)});
    if (forwarded == 0) return Progress::kClientFull;
    size -= forwarded;
    listener.StreamValue(request, from, forwarded);
  }
  return Progress::kComplete;
}

// Takes the end of the value from the read buffer, once it has arrived.
ValueStream::Progress ValueStream::ReadEnd(bufferevent* connection) {
  if (evbuffer_get_length(end_.get()) > 0 || end_left_ < kEndSize) return Progress::kComplete;
  if (ReadSize(connection) < kEndSize) return Progress::kNeedsInput;
  if (!Peek(connection, kEndSize).substr(0, kEndSize).ends_with(kLineEnd)) return Progress::kMalformed;
  evbuffer_remove_buffer(bufferevent_get_input(connection), end_.get(), kEndSize);
  return Progress::kComplete;
}

ValueStream::Progress ValueStream::ReadTrailingParts(bufferevent* connection) {
  for (;;) {
    const std::size_t peeked = std::min(ReadSize(connection), resp::TrailingParts::kMaxLineSize);
    const resp::Progress progress = trailing_parts_.Read(Peek(connection, peeked));
    const std::size_t bytes_read = trailing_parts_.bytes_read();
    Consume(connection, bytes_read);
    if (progress == resp::Progress::kMalformed) return Progress::kMalformed;
    if (progress == resp::Progress::kComplete) return Progress::kComplete;
    if (bytes_read == 0) return Progress::kNeedsInput;
  }
}

}  // namespace postspread::net
