// The scheduled close of a client connection: bytes that have arrived by the scheduled time and the rest of a
// partial command are processed, and later commands are not.
#ifndef POSTSPREAD_NET_DOWNSTREAM_SCHEDULED_CLOSE_H_
#define POSTSPREAD_NET_DOWNSTREAM_SCHEDULED_CLOSE_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "net/downstream/command_reader.h"
#include "net/loop.h"
#include "ops/metrics.h"

namespace postspread::net {

// The time in which a connection accepted late in a drain may send a request.
inline constexpr std::chrono::milliseconds kLateRequestGrace{100};
// The time in which such a connection may then complete its request.
inline constexpr std::chrono::milliseconds kLateCommandGrace{400};

// Commands that have arrived are processed regardless of back-pressure from this long before the command
// deadline on, as they take time where many connections have them.
inline constexpr std::chrono::milliseconds kForcedProcessingTime{300};

struct CloseSchedule {
  Clock::time_point at;
  Clock::time_point command_deadline;  // a command that has begun to arrive must be complete by this time
  ops::CloseReason reason = ops::CloseReason::kDrained;
};

class ScheduledClose {
 public:
  // Replaces an earlier schedule. A close that has begun continues.
  void Schedule(const CloseSchedule& schedule) { schedule_ = schedule; }
  // Cancels the schedule. Does nothing if the close has begun.
  void Cancel();

  [[nodiscard]] bool IsDue(Clock::time_point now) const { return schedule_ && now >= schedule_->at; }
  [[nodiscard]] bool HasBegun() const { return bytes_to_process_.has_value(); }
  // Begins the close. `bytes` is the number of bytes that have arrived and are still processed.
  void Begin(std::size_t bytes) { bytes_to_process_ = bytes; }
  void OnBytesProcessed(std::size_t size);

  // These may be called only after the close has begun. They return whether bytes are left to process, and
  // whether those must be processed now, regardless of back-pressure.
  [[nodiscard]] bool HasBytesToProcess() const { return *bytes_to_process_ > 0; }
  [[nodiscard]] bool MustProcessNow(Clock::time_point now) const {
    return now >= schedule_->command_deadline - kForcedProcessingTime;
  }
  // Returns whether the close has begun and reading stops now.
  [[nodiscard]] bool StopsReading(const CommandReader& reader, Clock::time_point now) const;
  [[nodiscard]] ops::CloseReason reason() const { return schedule_->reason; }

 private:
  std::optional<CloseSchedule> schedule_;
  std::optional<std::size_t> bytes_to_process_;  // set once the close has begun
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_SCHEDULED_CLOSE_H_
