// Reads commands from a client connection: framing, arrival times, and the reservation of large ones.
#ifndef POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_
#define POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_

#include <cstddef>
#include <optional>

#include "flow/arrival_times.h"
#include "flow/byte_budget.h"
#include "net/loop.h"
#include "resp/request.h"

namespace postspread::net {

// A command is a slice of the connection's read buffer until it is consumed. One that is larger than the
// read-ahead is read on only once its bytes are reserved.
class CommandReader final : private flow::ByteBudget::Waiter {
 public:
  CommandReader(bufferevent* connection, flow::ByteBudget& large_requests);
  ~CommandReader() { CancelReservation(); }
  CommandReader(const CommandReader&) = delete;
  CommandReader& operator=(const CommandReader&) = delete;

  enum class Result {
    kComplete,    // the next command is in command()
    kIncomplete,  // more bytes have to come, or to be reserved
    kMalformed,   // the framing is lost; why is in command().error
  };
  Result Next();
  [[nodiscard]] const resp::Command& command() const { return command_; }
  // When the complete command arrived.
  [[nodiscard]] Clock::time_point arrived_at() const { return arrivals_.Of(command_.size); }
  // Removes the complete command from the read buffer.
  void Consume();

  // Bytes in the read buffer whose arrival is not recorded yet.
  [[nodiscard]] std::size_t UnrecordedBytes() const;
  struct Arrival {
    Clock::time_point read_at;
    Clock::time_point arrived_at;     // at the socket
    bool was_reading_paused = false;  // complete commands may lie before these bytes
  };
  void RecordArrival(const Arrival& arrival);

  // Reads what waits at the socket, up to the read-ahead or the reservation.
  void ReadWaiting();
  // Gives the reservation back, or leaves the line for it.
  void CancelReservation();

  // Since when a command has been incomplete.
  [[nodiscard]] const std::optional<Clock::time_point>& partial_since() const { return partial_since_; }
  [[nodiscard]] Clock::time_point last_read_at() const { return last_read_at_; }
  // The command that has begun is overdue: its head by the time since its first byte, its body also by the
  // time without a byte. The wait for a reservation does not count.
  [[nodiscard]] bool IsOverdue(Clock::time_point now) const;
  // The read buffer holds the whole read-ahead.
  [[nodiscard]] bool IsReadAheadFull() const;

 private:
  bool Reserve();
  void OnReserved();
  void OnGranted() override;

  bufferevent* connection_;
  flow::ByteBudget& budget_;
  resp::Command command_;
  std::size_t needed_bytes_ = 0;  // in the read buffer, for the next step of parsing; 0: any
  std::optional<Clock::time_point> partial_since_;
  Clock::time_point last_read_at_ = Clock::now();
  flow::ArrivalTimes arrivals_;
  bool is_queued_ = false;  // for a reservation
  std::size_t requested_bytes_ = 0;
  std::size_t reserved_bytes_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_
