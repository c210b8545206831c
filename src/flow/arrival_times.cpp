#include "flow/arrival_times.h"

#include <algorithm>

namespace postspread::flow {

void ArrivalTimes::Append(std::size_t size, TimePoint when) {
  if (size == 0) return;
  size_ += size;
  if (chunks_.size() == kMaxChunks) {
    chunks_.back().size += size;
  } else {
    chunks_.push_back({.size = size, .when = when});
  }
}

void ArrivalTimes::AppendToRequest(std::size_t size, TimePoint when) {
  chunks_.clear();
  const std::size_t total = size_ + size;
  size_ = 0;
  Append(total, when);
}

void ArrivalTimes::Consume(std::size_t size) {
  size_ -= std::min(size_, size);
  while (size > 0 && !chunks_.empty()) {
    const std::size_t taken = std::min(size, chunks_.front().size);
    chunks_.front().size -= taken;
    size -= taken;
    if (chunks_.front().size == 0) chunks_.pop_front();
  }
}

ArrivalTimes::TimePoint ArrivalTimes::ArrivalOfFirst(std::size_t size) const {
  std::size_t covered = 0;
  for (const Chunk& chunk : chunks_) {
    covered += chunk.size;
    if (covered >= size) return chunk.when;
  }
  return chunks_.empty() ? TimePoint() : chunks_.back().when;
}

}  // namespace postspread::flow
