// Reads commands from a client connection: parses their framing, records arrival times, and reserves memory
// for large commands.
#ifndef POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_
#define POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_

#include <cstddef>
#include <optional>

#include "flow/arrival_times.h"
#include "flow/byte_budget.h"
#include "net/loop.h"
#include "resp/request.h"

namespace postspread::net {

// A command is a slice of the connection's read buffer until it is consumed. A command larger than the
// read-ahead is read further only after its bytes are reserved in the byte budget.
class CommandReader final : private flow::ByteBudget::Waiter {
 public:
  CommandReader(bufferevent* connection, flow::ByteBudget& large_requests);
  ~CommandReader() { CancelReservation(); }
  CommandReader(const CommandReader&) = delete;
  CommandReader& operator=(const CommandReader&) = delete;

  enum class Result {
    kComplete,    // the next command is in command()
    kIncomplete,  // more bytes must arrive or be reserved
    kMalformed,   // the framing is lost; command().error holds the reason
  };
  Result Next();
  [[nodiscard]] const resp::Command& command() const { return command_; }
  // Returns when the complete command arrived.
  [[nodiscard]] Clock::time_point arrived_at() const { return arrivals_.ArrivalOfFirst(command_.size); }
  // Removes the complete command from the read buffer.
  void Consume();

  // Returns the number of bytes in the read buffer whose arrival is not recorded yet.
  [[nodiscard]] std::size_t UnrecordedBytes() const;
  struct Arrival {
    Clock::time_point read_at;
    Clock::time_point arrived_at;     // arrival time at the socket
    bool was_reading_paused = false;  // if true, complete commands may precede these bytes
  };
  void RecordArrival(const Arrival& arrival);

  // Reads the bytes available at the socket, up to the size of the read-ahead or of the reservation.
  void ReadAvailable();
  // Releases the reservation, or leaves the budget's queue.
  void CancelReservation();

  // Returns when the current command was first found incomplete, or nullopt if no command is incomplete.
  [[nodiscard]] const std::optional<Clock::time_point>& partial_since() const { return partial_since_; }
  [[nodiscard]] Clock::time_point last_read_at() const { return last_read_at_; }
  // Returns whether the incomplete command is overdue. The time since its first byte bounds the head and the
  // body; the time since the last byte also bounds the body. The wait for a reservation does not count.
  [[nodiscard]] bool IsOverdue(Clock::time_point now) const;
  // Returns whether more of the command is read only once memory is granted.
  [[nodiscard]] bool IsWaitingForMemory() const { return is_queued_; }
  // Returns whether the read buffer holds as many bytes as are read ahead.
  [[nodiscard]] bool IsReadAheadFull() const;

 private:
  bool Reserve();
  void OnReserved();
  void OnGranted() override;

  bufferevent* connection_;
  flow::ByteBudget& budget_;
  resp::Command command_;
  std::size_t needed_bytes_ = 0;  // minimum size of the read buffer for the next parsing step; 0: any
  std::optional<Clock::time_point> partial_since_;
  Clock::time_point last_read_at_ = Clock::now();
  flow::ArrivalTimes arrivals_;
  bool is_queued_ = false;  // waits for a reservation
  std::size_t requested_bytes_ = 0;
  std::size_t reserved_bytes_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_
