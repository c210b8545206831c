#include "net/downstream/response_queue.h"

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
