// Detects a client that reads nothing of its responses.
#ifndef POSTSPREAD_NET_DOWNSTREAM_WRITE_TIMEOUT_H_
#define POSTSPREAD_NET_DOWNSTREAM_WRITE_TIMEOUT_H_

#include <chrono>
#include <cstddef>

#include "net/loop.h"

namespace postspread::net {

inline constexpr std::chrono::seconds kWriteTimeout{10};  // without progress

class WriteTimeout {
 public:
  // `unwritten`: bytes that the socket has not taken now. Returns whether none has been taken for too long.
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
