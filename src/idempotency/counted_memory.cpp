#include "idempotency/counted_memory.h"

#include <algorithm>

namespace postspread::idempotency {

void* CountedMemory::do_allocate(std::size_t bytes, std::size_t alignment) {
  void* const block = std::pmr::new_delete_resource()->allocate(bytes, alignment);
  used_ += bytes + kBlockOverheadBytes;
  peak_ = std::max(peak_, used_);
  return block;
}

void CountedMemory::do_deallocate(void* block, std::size_t bytes, std::size_t alignment) {
  used_ -= bytes + kBlockOverheadBytes;
  std::pmr::new_delete_resource()->deallocate(block, bytes, alignment);
}

}  // namespace postspread::idempotency
