#include "net/upstream/message_writer.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <optional>
#include <utility>

#include "model/release_storage.h"

namespace postspread::net {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{5};  // while the system is short of resources

}  // namespace

MessageWriter::MessageWriter(event_base* base, std::function<void()> on_writable)
    : base_(base), on_writable_(std::move(on_writable)), retry_(base, [this] { on_writable_(); }) {}

MessageWriter::Progress MessageWriter::Begin(evutil_socket_t fd, const Message& message) {
  fd_ = fd;
  head_.clear();
  tail_ = {};
  discarded_bytes_ = 0;
  const std::optional<std::size_t> written =
      WriteNow(fd, message.joined.empty() ? message.head : message.joined);
  if (written && *written == 0) return Progress::kNothing;
  const std::size_t head_written = std::min(written.value_or(0), message.head.size());
  const std::size_t tail_written = written.value_or(0) - head_written;
  if (head_written + tail_written == message.head.size() + message.tail.size()) return Progress::kWritten;
  head_ = message.head.substr(head_written);
  tail_ = message.tail.substr(tail_written);
  owner_ = message.owner;
  return written ? Write() : Progress::kBroken;
}

MessageWriter::Progress MessageWriter::Continue() { return Write(); }

void MessageWriter::DiscardRest() {
  discarded_bytes_ = remaining();
  ReleaseStorage(head_);
  tail_ = {};
  owner_.reset();
}

MessageWriter::Progress MessageWriter::Write() {
  if (discarded_bytes_ > 0) return Progress::kBroken;
  while (remaining() > 0) {
    const std::optional<std::size_t> written = WriteNow(fd_, head_.empty() ? tail_ : std::string_view(head_));
    if (!written) return Progress::kBroken;
    if (*written == 0) {
      AwaitWritable();
      return Progress::kBlocked;
    }
    if (head_.empty()) {
      tail_.remove_prefix(*written);
    } else {
      head_.erase(0, *written);
    }
  }
  ReleaseStorage(head_);
  owner_.reset();
  return Progress::kWritten;
}

void MessageWriter::AwaitWritable() {
  const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK;
  if (is_full && !writable_) {
    writable_.reset(event_new(
        base_, fd_, EV_WRITE,
        [](evutil_socket_t, short, void* self) { static_cast<MessageWriter*>(self)->on_writable_(); }, this));
  }
  const bool is_watched = is_full && writable_ && event_add(writable_.get(), nullptr) == 0;
  if (!is_watched) retry_.Arm(kRetryInterval);
}

}  // namespace postspread::net
