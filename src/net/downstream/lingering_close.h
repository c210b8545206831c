// The lingering close of a connection: the gateway shuts down its sending side and discards what still
// arrives until the client closes. Closing a socket with unread bytes would reset it, and responses in
// transit would be lost.
#ifndef POSTSPREAD_NET_DOWNSTREAM_LINGERING_CLOSE_H_
#define POSTSPREAD_NET_DOWNSTREAM_LINGERING_CLOSE_H_

#include <cstddef>

#include "net/loop.h"

namespace postspread::net {

class LingeringClose {
 public:
  explicit LingeringClose(bufferevent* connection) : connection_(connection) {}

  // Shuts down the sending side. Returns whether the socket is watched, as net::Watch does.
  bool Begin();
  // Discards bytes that have arrived.
  void Discard();

  enum class Status {
    kWaiting,
    kDelivered,  // the client has acknowledged all responses; the socket may be closed
    kTimedOut,   // the client makes no progress in reading responses; the socket may be closed
  };
  [[nodiscard]] Status Check();

 private:
  bufferevent* connection_;
  Clock::time_point shut_down_at_;
  Clock::time_point progress_at_;
  std::size_t unacknowledged_ = 0;  // at the last check
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_LINGERING_CLOSE_H_
