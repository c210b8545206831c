// The close of a client connection at a given time: what has arrived by then is taken, and nothing after it.
#ifndef POSTSPREAD_NET_DOWNSTREAM_SCHEDULED_CLOSE_H_
#define POSTSPREAD_NET_DOWNSTREAM_SCHEDULED_CLOSE_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "net/downstream/command_reader.h"
#include "net/loop.h"
#include "ops/metrics.h"

namespace postspread::net {

// A connection that is accepted late in a drain is given so long to send a request, ...
inline constexpr std::chrono::milliseconds kLateRequestGrace{100};
// ... and then so long to complete it.
inline constexpr std::chrono::milliseconds kLateCommandGrace{400};

struct CloseSchedule {
  Clock::time_point at;
  Clock::time_point commands_until;  // by then a command that has begun must be complete
  ops::CloseReason reason = ops::CloseReason::kDrained;
};

class ScheduledClose {
 public:
  // Replaces an earlier schedule; a close that has begun goes on.
  void Schedule(const CloseSchedule& schedule) { schedule_ = schedule; }
  // Nothing where the close has begun.
  void Cancel();

  [[nodiscard]] bool IsDue(Clock::time_point now) const { return schedule_ && now >= schedule_->at; }
  [[nodiscard]] bool HasBegun() const { return bytes_to_take_.has_value(); }
  // So many bytes have arrived, and are still taken.
  void Begin(std::size_t bytes) { bytes_to_take_ = bytes; }
  void OnCommandTaken(std::size_t size);

  // Once it has begun: whether some of these bytes are not taken yet, and whether they must be now.
  [[nodiscard]] bool HasBytesToTake() const { return *bytes_to_take_ > 0; }
  [[nodiscard]] bool MustTakeNow(Clock::time_point now) const { return now >= schedule_->commands_until; }
  // Whether it has begun, and reading stops now.
  [[nodiscard]] bool StopsReading(const CommandReader& reader, Clock::time_point now) const;
  [[nodiscard]] ops::CloseReason reason() const { return schedule_->reason; }

 private:
  std::optional<CloseSchedule> schedule_;
  std::optional<std::size_t> bytes_to_take_;  // once it has begun
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_SCHEDULED_CLOSE_H_
