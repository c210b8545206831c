#include "net/downstream/lingering_close.h"

#include <sys/socket.h>

#include <chrono>

#include "net/downstream/write_timeout.h"
#include "safety/connection_rules.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

constexpr safety::LingerLimits kLimits{
    .linger = milliseconds(1'000), .timeout = kWriteTimeout, .max_linger = milliseconds(2'000)};

}  // namespace

bool LingeringClose::Begin() {
  shutdown(bufferevent_getfd(connection_), SHUT_WR);
  Consume(connection_, ReadSize(connection_));
  const bool is_watched = Watch(connection_);
  shut_down_at_ = Clock::now();
  progress_at_ = shut_down_at_;
  unacknowledged_ = Unacknowledged(connection_);
  return is_watched;
}

void LingeringClose::Discard() {
  progress_at_ = Clock::now();
  Consume(connection_, ReadSize(connection_));
}

LingeringClose::Status LingeringClose::Check() {
  const auto now = Clock::now();
  const std::size_t unacknowledged = Unacknowledged(connection_);
  if (unacknowledged != unacknowledged_) progress_at_ = now;
  unacknowledged_ = unacknowledged;
  const safety::LingerFacts facts{
      .unacknowledged = unacknowledged,
      .since_shutdown = std::chrono::duration_cast<milliseconds>(now - shut_down_at_),
      .since_progress = std::chrono::duration_cast<milliseconds>(now - progress_at_)};
  if (!safety::MayClose(facts, kLimits)) return Status::kWaiting;
  return unacknowledged > 0 ? Status::kTimedOut : Status::kDelivered;
}

}  // namespace postspread::net
