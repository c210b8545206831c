#include "flow/byte_budget.h"

#include <algorithm>

namespace postspread::flow {

std::size_t ByteBudget::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(readers_.begin(), readers_.end(), [](const Entry& entry) { return entry.waits(); }));
}

bool ByteBudget::TryReserve(std::size_t bytes) {
  if (used_ > total_ || bytes > total_ - used_) return false;
  used_ += bytes;
  return true;
}

void ByteBudget::Release(std::size_t bytes) { used_ -= std::min(used_, bytes); }

bool ByteBudget::GrowOrWait(Reader& reader, const Growth& growth) {
  auto entry = std::find_if(readers_.begin(), readers_.end(),
                            [&reader](const Entry& each) { return each.reader == &reader; });
  if (entry == readers_.end()) entry = readers_.insert(entry, {.reader = &reader});
  entry->requested = growth.reserved;
  entry->message_size = growth.message_size;
  return TryGrow(*entry);
}

void ByteBudget::Withdraw(Reader& reader) {
  const auto entry = std::find_if(readers_.begin(), readers_.end(),
                                  [&reader](const Entry& each) { return each.reader == &reader; });
  if (entry == readers_.end()) return;
  Release(entry->reserved);
  readers_.erase(entry);
}

void ByteBudget::GrantWaiting() {
  for (;;) {
    Entry* next = nullptr;
    for (Entry& entry : readers_) {
      if (entry.waits() && (next == nullptr || entry.missing() < next->missing())) next = &entry;
    }
    if (next == nullptr || !TryGrow(*next)) return;
    next->reader->OnGranted();  // The reader may call this budget from within.
  }
}

bool ByteBudget::TryGrow(Entry& entry) {
  const std::size_t before = entry.reserved;
  if (!TryReserve(entry.requested - before)) return false;
  entry.reserved = entry.requested;
  if (CanAllFinish()) return true;
  entry.reserved = before;
  Release(entry.requested - before);
  return false;
}

// What TryReserve has reserved is released some time without needing more.
bool ByteBudget::CanAllFinish() const {
  std::vector<const Entry*> order;
  std::size_t free = total_;
  for (const Entry& entry : readers_) {
    order.push_back(&entry);
    free -= std::min(free, entry.reserved);
  }
  std::sort(order.begin(), order.end(),
            [](const Entry* left, const Entry* right) { return left->missing() < right->missing(); });
  for (const Entry* entry : order) {
    if (entry->missing() > free) return false;
    free += entry->reserved;
  }
  return true;
}

}  // namespace postspread::flow
