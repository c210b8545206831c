#include "flow/command_timeouts.h"

#include <algorithm>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeadTimeout{2'300};       // exceeds the 2 s that a client may take
constexpr milliseconds kBodyStallTimeout{2'300};  // since the last byte
// The stall timeout of a client that holds memory for which others wait.
constexpr milliseconds kContendedStallTimeout{1'000};
// A client whose bytes could not be read gets at least this time to send more.
constexpr milliseconds kResumeTimeout{300};
constexpr std::chrono::seconds kBodyTimeout{30};
constexpr milliseconds kMaxMemoryWait{2'000};  // of a command that has not arrived completely

// A later rejection would leave the client no time for another attempt.
milliseconds MaxMemoryWait(const PartialCommand& command) {
  const milliseconds half_timeout = command.request_timeout / 2;
  return command.has_arrived ? half_timeout : std::min(half_timeout, kMaxMemoryWait);
}

}  // namespace

CommandStatus StatusAt(const PartialCommand& command, PartialCommand::TimePoint now) {
  if (command.waiting_since) {
    const bool is_over = command.waited + (now - *command.waiting_since) >= MaxMemoryWait(command);
    return is_over ? CommandStatus::kNoMemory : CommandStatus::kOnTime;
  }
  if (!command.has_head) {
    return now - command.began_at >= kHeadTimeout ? CommandStatus::kOverdue : CommandStatus::kOnTime;
  }
  // The client may have stopped before the wait, and only bytes that the systems held have arrived since.
  const auto stall_timeout =
      (command.is_contended ? kContendedStallTimeout : kBodyStallTimeout) - command.waited;
  const auto stalls_at =
      std::max(command.last_arrival_at + stall_timeout, command.last_read_at + kResumeTimeout);
  const bool is_overdue = now >= stalls_at || now - command.began_at >= kBodyTimeout;
  return is_overdue ? CommandStatus::kOverdue : CommandStatus::kOnTime;
}

}  // namespace postspread::flow
