#include "net/downstream/command_reader.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "flow/memory_costs.h"
#include "model/release_storage.h"

namespace postspread::net {
namespace {

// A line end may follow the bytes that a large command is known to need.
constexpr std::size_t kMessageSlack = 64;
// The first reservation for a large command.
constexpr std::size_t kFirstLargeBytes = std::size_t{64} * 1024;

}  // namespace

CommandReader::CommandReader(bufferevent* connection, flow::MemoryBudgets& memory)
    : connection_(connection),
      budget_(memory.commands),
      large_budget_(memory.large_requests),
      read_ahead_(memory.partition.client_read_ahead),
      capacity_(read_ahead_) {
  SetCapacity(read_ahead_);
}

void CommandReader::SetCapacity(std::size_t capacity) {
  capacity_ = capacity;
  bufferevent_setwatermark(connection_, EV_READ, 0, capacity);
}

CommandReader::Result CommandReader::Next() {
  if (skip_bytes_ > 0) return Skip();
  CollectMessage();
  while (HasNeededBytes()) {
    const resp::Progress progress = Parse();
    if (progress == resp::Progress::kPartial) {
      const bool was_large = IsLarge();
      needed_bytes_ = command_.bytes_needed;
      if (IsLarge() && !was_large) reserved_bytes_ = 0;  // of the budget of large requests
      if (!partial_since_) partial_since_ = Clock::now();
      CollectMessage();
      continue;
    }
    needed_bytes_ = 0;
    waited_ = {};
    if (progress == resp::Progress::kMalformed) return Result::kMalformed;
    // The request in flight may reserve these bytes again. Consume grants the rest to other connections.
    if (std::exchange(reserved_bytes_, 0) > 0) {
      large_budget_.Withdraw(*this);
      budget_.Withdraw(*this);
    }
    return Result::kComplete;
  }
  GrowIfFull();
  return Result::kIncomplete;
}

resp::Progress CommandReader::Parse() {
  if (!message_.empty()) return resp::ParseCommand(message_, command_);
  return resp::ParseCommand(needed_bytes_ > 1 ? Peek(connection_, needed_bytes_) : PeekFirst(connection_),
                            command_);
}

bool CommandReader::HasNeededBytes() const {
  if (IsLarge()) return message_.size() >= needed_bytes_;
  return ReadSize(connection_) >= std::max<std::size_t>(1, needed_bytes_);
}

// Moves what has arrived of a large command to the message buffer, as far as its memory is reserved.
void CommandReader::CollectMessage() {
  if (!IsLarge()) return;
  const std::size_t limit = std::min(needed_bytes_, reserved_bytes_);
  const std::size_t size = std::min(ReadSize(connection_), limit - std::min(limit, message_.size()));
  if (size == 0) return;
  message_.reserve(needed_bytes_ + kMessageSlack);
  for (std::size_t left = size; left > 0;) {
    const std::string_view chunk = PeekFirst(connection_).substr(0, left);
    message_ += chunk;
    left -= chunk.size();
    net::Consume(connection_, chunk.size());
  }
  if (capacity_ != read_ahead_) ReleaseReadBuffer();
}

// Releases what was reserved for the read buffer before the command turned out to be large.
void CommandReader::ReleaseReadBuffer() {
  SetCapacity(read_ahead_);
  budget_.Withdraw(*this);
  budget_.GrantWaiting();
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
  const std::size_t collected = message_.size();
  skip_bytes_ = std::exchange(needed_bytes_, 0) - collected;
  arrivals_.Consume(collected);
  ReleaseStorage(message_);
  waited_ = {};
  CancelReservation();
  SetCapacity(read_ahead_);
}

resp::Command CommandReader::PeekHead() {
  resp::Command head;
  const std::size_t buffered = std::min(ReadSize(connection_), resp::kMaxHead);
  resp::ParseCommand(message_.empty() ? Peek(connection_, buffered) : std::string_view(message_), head);
  return head;
}

std::shared_ptr<const std::string> CommandReader::TakeMessage() {
  if (message_.empty()) return std::make_shared<const std::string>(command_.message());
  return std::make_shared<const std::string>(std::exchange(message_, {}));
}

void CommandReader::Consume() {
  const bool is_large = command_.size > resp::kMaxHead;
  if (is_large) {
    ReleaseStorage(message_);
  } else {
    net::Consume(connection_, command_.size);
  }
  arrivals_.Consume(command_.size);
  if (capacity_ != read_ahead_) SetCapacity(read_ahead_);
  (is_large ? large_budget_ : budget_).GrantWaiting();
  partial_since_.reset();
}

std::size_t CommandReader::UnrecordedBytes() const { return BufferedBytes() - arrivals_.size(); }

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
  const std::size_t size = ReadSize(connection_);
  if (size < capacity_) ReadNow(connection_, capacity_ - size);
}

// Returns whether no more of the current command can be read without a further reservation.
bool CommandReader::IsFull() const {
  if (!IsLarge()) return IsReadAheadFull();
  if (message_.size() < reserved_bytes_) return false;
  return IsReadAheadFull() || capacity_ != read_ahead_ || BufferedBytes() >= needed_bytes_;
}

void CommandReader::GrowIfFull() {
  const std::size_t available = IsLarge() ? reserved_bytes_ : capacity_;
  if (needed_bytes_ <= available || waiting_since_ || !IsFull()) return;
  std::size_t message_size = needed_bytes_;
  if (IsLarge()) {
    requested_bytes_ = std::min(needed_bytes_, std::max(kFirstLargeBytes, 2 * reserved_bytes_));
  } else {
    requested_bytes_ = 2 * flow::BufferAllocation(capacity_);
    message_size = std::max(requested_bytes_, flow::BufferAllocation(needed_bytes_));
  }
  const bool can_fit = message_size <= budget().total();
  if (can_fit &&
      mutable_budget().GrowOrWait(*this, {.reserved = requested_bytes_, .message_size = message_size})) {
    OnGrown();
  } else {
    waiting_since_ = Clock::now();
  }
}

void CommandReader::OnGrown() {
  reserved_bytes_ = requested_bytes_;
  if (!IsLarge()) return SetCapacity(flow::BufferCapacity(reserved_bytes_));
  // Reading resumes once the bytes that have been read are collected.
  bufferevent_trigger(connection_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void CommandReader::OnGranted() {
  granted_at_ = Clock::now();
  waited_ += granted_at_ - *waiting_since_;
  waiting_since_.reset();
  OnGrown();
}

void CommandReader::DiscardAll() {
  net::Consume(connection_, ReadSize(connection_));
  ReleaseStorage(message_);
  needed_bytes_ = 0;
  skip_bytes_ = 0;
  arrivals_.Consume(arrivals_.size());
  partial_since_.reset();
  CancelReservation();
  if (capacity_ != read_ahead_) SetCapacity(read_ahead_);
}

void CommandReader::CancelReservation() {
  waiting_since_.reset();
  reserved_bytes_ = 0;
  for (flow::ByteBudget* budget : {&budget_, &large_budget_}) {
    budget->Withdraw(*this);
    budget->GrantWaiting();
  }
}

flow::PartialCommand CommandReader::PartialState() const {
  return {.began_at = partial_since_.value_or(last_read_at_),
          .has_head = command_.count >= resp::kBodyIndex,
          .last_arrival_at = last_arrival_at_,
          .last_read_at = std::max(last_read_at_, granted_at_),
          .is_contended = HoldsMemory() && budget().waiting() > 0,
          .waited = waited_,
          .waiting_since = waiting_since_,
          .has_arrived = waiting_since_ && BufferedBytes() + UnreadBytes(connection_) >= needed_bytes_,
          .request_timeout = std::chrono::milliseconds::max()};
}

}  // namespace postspread::net
