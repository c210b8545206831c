// The lingering close of a connection: our side is shut down, and what still arrives is discarded until the
// other end closes. Closed with bytes unread the socket would be reset, and responses on their way lost.
#ifndef POSTSPREAD_NET_DOWNSTREAM_LINGERING_CLOSE_H_
#define POSTSPREAD_NET_DOWNSTREAM_LINGERING_CLOSE_H_

#include <cstddef>

#include "net/loop.h"

namespace postspread::net {

class LingeringClose {
 public:
  explicit LingeringClose(bufferevent* connection) : connection_(connection) {}

  // Shuts our side down. Returns whether the socket is watched, as Watch does.
  bool Begin();
  // Bytes have arrived.
  void Discard();

  enum class Status {
    kWaiting,
    kDelivered,  // the socket may be closed: the client has all responses
    kTimedOut,   // the socket may be closed: the client reads none of them
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
