// Decides how long a client may take for a command that has begun to arrive, and how long such a command may
// wait for memory. This module reads no clock and does no I/O.
#ifndef POSTSPREAD_FLOW_COMMAND_TIMEOUTS_H_
#define POSTSPREAD_FLOW_COMMAND_TIMEOUTS_H_

#include <chrono>
#include <optional>

namespace postspread::flow {

// Describes a command whose last byte has not been read.
struct PartialCommand {
  using TimePoint = std::chrono::steady_clock::time_point;
  TimePoint began_at;         // its first byte was read
  bool has_head = false;      // only bytes of its body are missing
  TimePoint last_arrival_at;  // its last byte so far arrived at the socket
  TimePoint last_read_at;     // bytes were last read, or memory for more of them was granted
  bool is_contended = false;  // it holds memory, and other commands wait for memory
  std::chrono::steady_clock::duration waited{0};  // how long it has waited for memory before
  std::optional<TimePoint> waiting_since{};       // it waits for memory now
  // Both are set if it waits for memory. The time of a request runs from its last byte.
  bool has_arrived = false;                      // all of it has arrived at the socket
  std::chrono::milliseconds request_timeout{0};  // unlimited if its head is invalid
};

enum class CommandStatus {
  kOnTime,
  kOverdue,   // the client has not sent enough in time
  kNoMemory,  // the command has waited for memory for too long
};
// Bounds the time until a client that stops in a command has its response, whatever the memory: a client that
// stops while its command waits for memory can't be distinguished from one that can't send more.
CommandStatus StatusAt(const PartialCommand& command, PartialCommand::TimePoint now);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_COMMAND_TIMEOUTS_H_
