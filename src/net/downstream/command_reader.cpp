#include "net/downstream/command_reader.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace postspread::net {
namespace {

constexpr std::size_t kReadAheadBytes = std::size_t{80} * 1024;  // holds any command but a large one

}  // namespace

CommandReader::CommandReader(bufferevent* connection, flow::ByteBudget& large_requests)
    : connection_(connection), budget_(large_requests) {
  bufferevent_setwatermark(connection_, EV_READ, 0, kReadAheadBytes);
}

CommandReader::Result CommandReader::Next() {
  if (skip_bytes_ > 0) return Skip();
  while (ReadSize(connection_) >= std::max<std::size_t>(1, needed_bytes_)) {
    const std::string_view bytes =
        needed_bytes_ > 1 ? Peek(connection_, needed_bytes_) : PeekFirst(connection_);
    const resp::Progress progress = resp::ParseCommand(bytes, command_);
    if (progress == resp::Progress::kPartial) {
      needed_bytes_ = command_.bytes_needed;
      if (!partial_since_) partial_since_ = Clock::now();
      continue;
    }
    needed_bytes_ = 0;
    waited_ = {};
    if (progress == resp::Progress::kMalformed) return Result::kMalformed;
    // The request in flight may reserve these bytes again. Consume grants the rest to other connections.
    if (std::exchange(reserved_bytes_, 0) > 0) budget_.Withdraw(*this);
    return Result::kComplete;
  }
  GrowIfFull();
  return Result::kIncomplete;
}

CommandReader::Result CommandReader::Skip() {
  skipped_ = std::min(ReadSize(connection_), skip_bytes_);
  if (skipped_ == 0) return Result::kIncomplete;
  net::Consume(connection_, skipped_);
  arrivals_.Consume(skipped_);
  skip_bytes_ -= skipped_;
  if (skip_bytes_ == 0) partial_since_.reset();
  return Result::kSkipped;
}

void CommandReader::SkipCommand() {
  skip_bytes_ = std::exchange(needed_bytes_, 0);
  waited_ = {};
  CancelReservation();
  bufferevent_setwatermark(connection_, EV_READ, 0, kReadAheadBytes);
}

resp::Command CommandReader::PeekHead() {
  resp::Command head;
  resp::ParseCommand(Peek(connection_, std::min(ReadSize(connection_), resp::kMaxHead)), head);
  return head;
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
  last_arrival_at_ = arrival.arrived_at;
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

void CommandReader::GrowIfFull() {
  const std::size_t capacity = std::max(reserved_bytes_, kReadAheadBytes);
  if (needed_bytes_ <= capacity || waiting_since_ || ReadSize(connection_) < capacity) return;
  requested_bytes_ = std::min(needed_bytes_, 2 * capacity);
  if (budget_.GrowOrWait(*this, {.reserved = requested_bytes_, .message_size = needed_bytes_})) {
    OnGrown();
  } else {
    waiting_since_ = Clock::now();
  }
}

void CommandReader::OnGrown() {
  reserved_bytes_ = requested_bytes_;
  bufferevent_setwatermark(connection_, EV_READ, 0, std::max(reserved_bytes_, kReadAheadBytes));
}

void CommandReader::OnGranted() {
  granted_at_ = Clock::now();
  waited_ += granted_at_ - *waiting_since_;
  waiting_since_.reset();
  OnGrown();
}

void CommandReader::CancelReservation() {
  waiting_since_.reset();
  reserved_bytes_ = 0;
  budget_.Withdraw(*this);
  budget_.GrantWaiting();
}

flow::PartialCommand CommandReader::PartialState() const {
  return {.began_at = partial_since_.value_or(last_read_at_),
          .has_head = command_.count >= resp::kBodyIndex,
          .last_arrival_at = last_arrival_at_,
          .last_read_at = std::max(last_read_at_, granted_at_),
          .is_contended = HoldsMemory() && budget_.waiting() > 0,
          .waited = waited_,
          .waiting_since = waiting_since_,
          .has_arrived = waiting_since_ && ReadSize(connection_) + UnreadBytes(connection_) >= needed_bytes_,
          .request_timeout = std::chrono::milliseconds::max()};
}

bool CommandReader::IsReadAheadFull() const { return ReadSize(connection_) >= kReadAheadBytes; }

}  // namespace postspread::net
