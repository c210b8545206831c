// Detects a client that stops reading its responses.
#ifndef POSTSPREAD_NET_DOWNSTREAM_WRITE_TIMEOUT_H_
#define POSTSPREAD_NET_DOWNSTREAM_WRITE_TIMEOUT_H_

#include <chrono>
#include <cstddef>

#include "net/loop.h"

namespace postspread::net {

inline constexpr std::chrono::seconds kWriteTimeout{10};  // since the last progress

class WriteTimeout {
 public:
  // Returns whether the socket has accepted no bytes for kWriteTimeout. `unwritten` is the number of bytes
  // that the socket has not accepted at `now`.
  bool HasExpired(std::size_t unwritten, Clock::time_point now) {
    if (unwritten == 0 || unwritten != unwritten_) progress_at_ = now;
    unwritten_ = unwritten;
    return unwritten > 0 && now - progress_at_ >= kWriteTimeout;
  }

 private:
  std::size_t unwritten_ = 0;  // at the last check
  Clock::time_point progress_at_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_WRITE_TIMEOUT_H_
