// Writes one message to a socket, as much at a time as the socket accepts. The rest stays here and not in the
// connection's buffer, which the event loop would write without asking: the owner checks the rules on
// attempts before each further piece.
#ifndef POSTSPREAD_NET_UPSTREAM_MESSAGE_WRITER_H_
#define POSTSPREAD_NET_UPSTREAM_MESSAGE_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace postspread::net {

// Writes one message after another, and owns what is left of the current one. Used on the event loop's
// thread.
class MessageWriter {
 public:
  // Calls `on_writable` when the socket accepts bytes again after Begin or Continue returned kBlocked.
  MessageWriter(event_base* base, std::function<void()> on_writable);

  struct Message {
    std::string_view head;    // copied if a part of it is left
    std::string_view tail{};  // a slice of `owner`, or empty
    std::shared_ptr<const std::string> owner{};
    // A copy of both in one piece, to be written at once, or empty. Nothing of it is kept.
    std::string_view joined{};
  };
  enum class Progress {
    kNothing,  // the socket accepts no byte now, and nothing of the message is kept
    kBlocked,  // the rest is kept until on_writable
    kWritten,  // the socket has accepted the last byte
    kBroken,   // the connection is broken
  };
  // Starts a message on `fd`, which is the same in each call.
  Progress Begin(evutil_socket_t fd, const Message& message);
  // Writes more of the message. May be called only after on_writable.
  Progress Continue();
  // Frees the rest of the message, which can't be written any more: Continue then returns kBroken.
  void DiscardRest();

  // Returns the number of bytes of the message that the socket has not accepted, discarded ones included.
  [[nodiscard]] std::size_t remaining() const { return head_.size() + tail_.size() + discarded_bytes_; }

 private:
  Progress Write();
  void AwaitWritable();

  event_base* base_;
  std::function<void()> on_writable_;
  evutil_socket_t fd_ = -1;
  std::string head_;
  std::string_view tail_;
  std::size_t discarded_bytes_ = 0;
  std::shared_ptr<const std::string> owner_;
  EventHandle writable_;  // created when a message first has to wait
  Timer retry_;           // in place of the event, where the system reports a shortage
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_MESSAGE_WRITER_H_
