// This module bounds reserved memory. It has no clock and does no I/O.
#ifndef POSTSPREAD_FLOW_BYTE_BUDGET_H_
#define POSTSPREAD_FLOW_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace postspread::flow {

// Bounds the bytes that are reserved at one time. A reservation is either made as a whole, or grows with the
// bytes of a message that a reader receives.
//
// Growing reservations can't block each other: one grows only if all readers could still receive their
// messages one after another, the one with the fewest missing bytes first (the banker's algorithm). Readers
// that wait are granted in this order too, so a short message passes long ones. A reader that stops receiving
// holds what it has, and the caller must withdraw it after a time.
class ByteBudget {
 public:
  class Reader {
   public:
    // Called when the reservation that this reader waited for has grown; it no longer waits.
    virtual void OnGranted() = 0;

   protected:
    ~Reader() = default;
  };

  explicit ByteBudget(std::size_t total) : total_(total) {}

  [[nodiscard]] std::size_t total() const { return total_; }
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t available() const { return total_ - std::min(total_, used_); }
  // Returns the number of readers that wait.
  [[nodiscard]] std::size_t waiting() const;

  // Reserves `bytes` at once, ahead of readers that wait; this is for what is small or already in memory.
  // Returns false and reserves nothing where the budget does not allow it.
  bool TryReserve(std::size_t bytes);
  // Reserves `bytes` even beyond the total. This is for what is pending and bounded elsewhere.
  void Reserve(std::size_t bytes) { used_ += bytes; }
  // Releases bytes that TryReserve or Reserve has reserved. It grants nothing, so the caller can reserve them
  // for another purpose first.
  void Release(std::size_t bytes);

  struct Growth {
    std::size_t reserved = 0;      // what the reader wants to have reserved
    std::size_t message_size = 0;  // what it needs in the end: at least `reserved`, at most the total
  };
  // Extends the reservation of `reader` and returns true, or lets it wait and returns false. The reader must
  // not wait already.
  bool GrowOrWait(Reader& reader, const Growth& growth);
  // Releases all that `reader` has reserved and ends its wait, if it has any. It grants nothing.
  void Withdraw(Reader& reader);
  // Grants what the budget allows to the readers that wait.
  void GrantWaiting();

 private:
  struct Entry {
    Reader* reader;
    std::size_t reserved = 0;
    std::size_t requested = 0;  // more than `reserved` while the reader waits
    std::size_t message_size = 0;
    [[nodiscard]] bool waits() const { return requested > reserved; }
    [[nodiscard]] std::size_t missing() const { return message_size - reserved; }
  };
  bool TryGrow(Entry& entry);
  [[nodiscard]] bool CanAllFinish() const;

  std::size_t total_;
  std::size_t used_ = 0;
  std::vector<Entry> readers_;
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_BYTE_BUDGET_H_
