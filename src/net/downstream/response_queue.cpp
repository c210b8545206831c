#include "net/downstream/response_queue.h"

#include <algorithm>
#include <utility>

namespace postspread::net {

ResponseQueue::Slot ResponseQueue::Add(std::size_t id_hash) {
  pending_.push_back({.id_hash = id_hash});
  return first_slot_ + pending_.size() - 1;
}

PendingResponse* ResponseQueue::Find(Slot slot) {
  if (slot < first_slot_ || slot - first_slot_ >= pending_.size()) return nullptr;
  return &pending_[slot - first_slot_];
}

PendingResponse* ResponseQueue::FindUnready(Slot slot) {
  PendingResponse* response = Find(slot);
  return response == nullptr || response->is_ready ? nullptr : response;
}

void ResponseQueue::Buffer(PendingResponse& response, std::string_view text) {
  response.is_ready = true;
  response.text = text;
  buffered_bytes_ += text.size();
  JoinLast();
}

void ResponseQueue::JoinLast() {
  if (pending_.size() < 2) return;
  PendingResponse& previous = pending_[pending_.size() - 2];
  const PendingResponse& last = pending_.back();
  if (!previous.is_ready || !last.is_ready || previous.text != last.text) return;
  previous.repeats += last.repeats;
  buffered_bytes_ -= last.text.size();
  pending_.pop_back();
}

std::string ResponseQueue::TakeRepeats(std::size_t max_bytes) {
  PendingResponse& response = pending_.front();
  const std::size_t fitting = max_bytes / std::max<std::size_t>(1, response.text.size());
  std::size_t count = std::min(response.repeats, std::max<std::size_t>(1, fitting));
  response.repeats -= count;
  std::string out;
  for (; count > 0; --count) out += response.text;
  return out;
}

void ResponseQueue::Pop() {
  buffered_bytes_ -= pending_.front().text.size();
  pending_.pop_front();
  ++first_slot_;
}

std::deque<PendingResponse> ResponseQueue::Clear() {
  std::deque<PendingResponse> cleared = std::exchange(pending_, {});
  first_slot_ += cleared.size();
  buffered_bytes_ = 0;
  return cleared;
}

}  // namespace postspread::net
