#include "flow/byte_budget.h"

#include <algorithm>

namespace postspread::flow {

bool ByteBudget::Take(std::size_t bytes) {
  if (used_ > total_ || bytes > total_ - used_) return false;
  used_ += bytes;
  return true;
}

bool ByteBudget::TakeOrQueue(Waiter& waiter, std::size_t bytes) {
  if (line_.empty() && Take(bytes)) return true;
  line_.push_back({&waiter, bytes});
  return false;
}

void ByteBudget::Leave(Waiter& waiter) {
  std::erase_if(line_, [&waiter](const QueueEntry& entry) { return entry.waiter == &waiter; });
  Grant();
}

void ByteBudget::Give(std::size_t bytes) { used_ -= std::min(used_, bytes); }

void ByteBudget::Grant() {
  while (!line_.empty() && Take(line_.front().bytes)) {
    Waiter* waiter = line_.front().waiter;
    line_.pop_front();
    waiter->OnGranted();  // may call this budget
  }
}

}  // namespace postspread::flow
