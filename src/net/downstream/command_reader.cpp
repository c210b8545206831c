#include "net/downstream/command_reader.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace postspread::net {
namespace {

constexpr std::size_t kReadAheadBytes = std::size_t{80} * 1024;  // holds any command but a large one
constexpr std::chrono::milliseconds kHeadTimeout{2'300};         // exceeds the 2 s that a client may take
constexpr std::chrono::milliseconds kBodyStallTimeout{2'300};    // since the last byte
constexpr std::chrono::seconds kBodyTimeout{30};

}  // namespace

CommandReader::CommandReader(bufferevent* connection, flow::ByteBudget& large_requests)
    : connection_(connection), budget_(large_requests) {
  bufferevent_setwatermark(connection_, EV_READ, 0, kReadAheadBytes);
}

CommandReader::Result CommandReader::Next() {
  while (ReadSize(connection_) >= std::max<std::size_t>(1, needed_bytes_)) {
    const std::string_view bytes =
        needed_bytes_ > 1 ? Peek(connection_, needed_bytes_) : PeekFirst(connection_);
    const resp::Progress progress = resp::ParseCommand(bytes, command_);
    if (progress == resp::Progress::kPartial) {
      needed_bytes_ = command_.bytes_needed;
      if (!partial_since_) partial_since_ = Clock::now();
      const bool is_large = needed_bytes_ > kReadAheadBytes;
      if (is_large && reserved_bytes_ == 0 && !Reserve()) return Result::kIncomplete;
      continue;
    }
    needed_bytes_ = 0;
    if (progress == resp::Progress::kMalformed) return Result::kMalformed;
    // The request in flight may reserve these bytes again. Consume grants the rest to other connections.
    if (reserved_bytes_ > 0) budget_.Release(std::exchange(reserved_bytes_, 0));
    return Result::kComplete;
  }
  return Result::kIncomplete;
}

void CommandReader::Consume() {
  net::Consume(connection_, command_.size);
  arrivals_.Consume(command_.size);
  if (command_.size > kReadAheadBytes) {
    bufferevent_setwatermark(connection_, EV_READ, 0, kReadAheadBytes);
    budget_.GrantWaiting();
  }
  partial_since_.reset();
}

std::size_t CommandReader::UnrecordedBytes() const { return ReadSize(connection_) - arrivals_.size(); }

void CommandReader::RecordArrival(const Arrival& arrival) {
  last_read_at_ = arrival.read_at;
  const std::size_t size = UnrecordedBytes();
  const bool continues_command = partial_since_ && !arrival.was_reading_paused;
  if (continues_command) {
    arrivals_.AppendToRequest(size, arrival.arrived_at);
  } else {
    arrivals_.Append(size, arrival.arrived_at);
  }
}

void CommandReader::ReadAvailable() {
  const std::size_t capacity = std::max(reserved_bytes_, kReadAheadBytes);
  const std::size_t size = ReadSize(connection_);
  if (size < capacity) ReadNow(connection_, capacity - size);
}

bool CommandReader::Reserve() {
  requested_bytes_ = needed_bytes_;
  is_queued_ = !budget_.ReserveOrQueue(*this, requested_bytes_);
  if (!is_queued_) OnReserved();
  return !is_queued_;
}

void CommandReader::OnReserved() {
  reserved_bytes_ = requested_bytes_;
  bufferevent_setwatermark(connection_, EV_READ, 0, std::max(reserved_bytes_, kReadAheadBytes));
}

void CommandReader::OnGranted() {
  is_queued_ = false;
  last_read_at_ = Clock::now();
  OnReserved();
}

void CommandReader::CancelReservation() {
  budget_.RemoveWaiter(*this);
  if (reserved_bytes_ == 0) return;
  budget_.Release(std::exchange(reserved_bytes_, 0));
  budget_.GrantWaiting();
}

bool CommandReader::IsOverdue(Clock::time_point now) const {
  if (!partial_since_ || is_queued_) return false;
  if (command_.count < resp::kBodyIndex) return now - *partial_since_ >= kHeadTimeout;
  return now - last_read_at_ >= kBodyStallTimeout || now - *partial_since_ >= kBodyTimeout;
}

bool CommandReader::IsReadAheadFull() const { return ReadSize(connection_) >= kReadAheadBytes; }

}  // namespace postspread::net
