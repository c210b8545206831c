// Reads commands from a client connection: parses their framing, records arrival times, and reserves memory
// for commands that are longer than the read-ahead.
#ifndef POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_
#define POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "flow/arrival_times.h"
#include "flow/byte_budget.h"
#include "flow/command_timeouts.h"
#include "flow/memory_budgets.h"
#include "net/loop.h"
#include "resp/request.h"

namespace postspread::net {

// A command is a slice of the connection's read buffer, or of the message buffer if it is large, until it is
// consumed. Of a command that is longer than the read-ahead, more is read only after the bytes are reserved.
// The reservation grows with the bytes that have arrived, so a client that stops does not hold memory for the
// bytes that it announced.
class CommandReader final : private flow::ByteBudget::Reader {
 public:
  CommandReader(bufferevent* connection, flow::MemoryBudgets& memory);
  ~CommandReader() { CancelReservation(); }
  CommandReader(const CommandReader&) = delete;
  CommandReader& operator=(const CommandReader&) = delete;

  enum class Result {
    kComplete,    // the next command is in command()
    kIncomplete,  // more bytes must arrive or be reserved
    kSkipped,     // skipped() bytes of a command that SkipCommand has ended are removed
    kMalformed,   // the framing is lost; command().error holds the reason
  };
  Result Next();
  [[nodiscard]] const resp::Command& command() const { return command_; }
  // Returns when the complete command arrived.
  [[nodiscard]] Clock::time_point arrived_at() const { return arrivals_.ArrivalOfFirst(command_.size); }
  // Returns the complete command as a message that outlives Consume. The parts of command() stay valid as
  // long as both the message and the command.
  std::shared_ptr<const std::string> TakeMessage();
  // Removes the complete command.
  void Consume();

  // Returns the number of bytes that have been read and not consumed.
  [[nodiscard]] std::size_t BufferedBytes() const { return message_.size() + ReadSize(connection_); }
  // Returns the number of bytes that have been read and whose arrival is not recorded yet.
  [[nodiscard]] std::size_t UnrecordedBytes() const;
  struct Arrival {
    Clock::time_point read_at;
    Clock::time_point arrived_at;     // arrival time at the socket
    bool was_reading_paused = false;  // if true, complete commands may precede these bytes
  };
  void RecordArrival(const Arrival& arrival);

  // Reads the bytes available at the socket, up to the size of the read-ahead or of the reservation.
  void ReadAvailable();
  // Removes all bytes that have been read, and releases their memory. No command follows.
  void DiscardAll();
  // Releases the reservation, or leaves the budget's queue.
  void CancelReservation();

  // Returns when the current command was first found incomplete, or nullopt if no command is incomplete.
  [[nodiscard]] const std::optional<Clock::time_point>& partial_since() const { return partial_since_; }
  [[nodiscard]] Clock::time_point last_read_at() const { return last_read_at_; }
  // Describes the incomplete command, but for its request's timeout.
  [[nodiscard]] flow::PartialCommand PartialState() const;
  [[nodiscard]] bool IsWaitingForMemory() const { return waiting_since_.has_value(); }
  [[nodiscard]] bool HoldsMemory() const { return reserved_bytes_ > 0; }
  // Returns the budget that the current command reserves from.
  [[nodiscard]] const flow::ByteBudget& budget() const { return IsLarge() ? large_budget_ : budget_; }
  // Parses the head of the incomplete command again. The result is valid until more bytes are read.
  resp::Command PeekHead();
  // Ends the incomplete command: releases its memory, and removes its bytes, those that are to come, too.
  void SkipCommand();
  [[nodiscard]] bool IsSkipping() const { return skip_bytes_ > 0; }
  [[nodiscard]] std::size_t skipped() const { return skipped_; }
  // Returns whether the read buffer holds as many bytes as may be read now.
  [[nodiscard]] bool IsReadAheadFull() const { return ReadSize(connection_) >= capacity_; }

 private:
  // Whether the current command is collected in the message buffer. It then grows in place, while a read
  // buffer would be copied to become contiguous.
  [[nodiscard]] bool IsLarge() const { return needed_bytes_ > resp::kMaxHead; }
  flow::ByteBudget& mutable_budget() { return IsLarge() ? large_budget_ : budget_; }
  resp::Progress Parse();
  [[nodiscard]] bool HasNeededBytes() const;
  void CollectMessage();
  void ReleaseReadBuffer();
  [[nodiscard]] bool IsFull() const;
  void GrowIfFull();
  void SetCapacity(std::size_t capacity);
  void OnGrown();
  void OnGranted() override;
  Result Skip();

  bufferevent* connection_;
  flow::ByteBudget& budget_;
  flow::ByteBudget& large_budget_;
  const std::size_t read_ahead_;
  std::size_t capacity_;  // of the read buffer
  resp::Command command_;
  std::string message_;           // the beginning of a large command
  std::size_t needed_bytes_ = 0;  // minimum number of bytes for the next parsing step; 0: any
  std::size_t skip_bytes_ = 0;    // bytes of a skipped command that are still to be removed
  std::size_t skipped_ = 0;
  std::optional<Clock::time_point> partial_since_;
  Clock::time_point last_read_at_ = Clock::now();
  Clock::time_point last_arrival_at_ = last_read_at_;
  flow::ArrivalTimes arrivals_;
  std::optional<Clock::time_point> waiting_since_;
  Clock::duration waited_{0};  // for the memory of the current command, before waiting_since_
  Clock::time_point granted_at_;
  std::size_t requested_bytes_ = 0;
  std::size_t reserved_bytes_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_COMMAND_READER_H_
