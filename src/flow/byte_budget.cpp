#include "flow/byte_budget.h"

#include <algorithm>

namespace postspread::flow {

bool ByteBudget::TryReserve(std::size_t bytes) {
  if (used_ > total_ || bytes > total_ - used_) return false;
  used_ += bytes;
  return true;
}

bool ByteBudget::ReserveOrQueue(Waiter& waiter, std::size_t bytes) {
  if (queue_.empty() && TryReserve(bytes)) return true;
  queue_.push_back({&waiter, bytes});
  return false;
}

void ByteBudget::RemoveWaiter(Waiter& waiter) {
  std::erase_if(queue_, [&waiter](const QueueEntry& entry) { return entry.waiter == &waiter; });
  GrantWaiting();
}

void ByteBudget::Release(std::size_t bytes) { used_ -= std::min(used_, bytes); }

void ByteBudget::GrantWaiting() {
  while (!queue_.empty() && TryReserve(queue_.front().bytes)) {
    Waiter* waiter = queue_.front().waiter;
    queue_.pop_front();
    waiter->OnGranted();  // The waiter may call this budget from within.
  }
}

}  // namespace postspread::flow
