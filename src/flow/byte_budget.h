// This module bounds reserved memory. It has no clock and does no I/O.
#ifndef POSTSPREAD_FLOW_BYTE_BUDGET_H_
#define POSTSPREAD_FLOW_BYTE_BUDGET_H_

#include <cstddef>
#include <deque>

namespace postspread::flow {

// Bounds the bytes that are reserved at one time. Large reservations wait in a queue.
class ByteBudget {
 public:
  class Waiter {
   public:
    // Called when the bytes that this waiter queued for are reserved; it is no longer in the queue.
    virtual void OnGranted() = 0;

   protected:
    ~Waiter() = default;
  };

  explicit ByteBudget(std::size_t total) : total_(total) {}

  [[nodiscard]] std::size_t total() const { return total_; }
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

  // Reserves `bytes` at once, ahead of the queue; this is for what is small or already in memory. Returns
  // false and reserves nothing where the budget does not allow it.
  bool TryReserve(std::size_t bytes);
  // Reserves `bytes` and returns true, or adds `waiter` to the end of the queue and returns false. The queue
  // is first come, first served, whatever the size. `bytes` must not exceed the total, and a waiter must not
  // be in the queue already.
  bool ReserveOrQueue(Waiter& waiter, std::size_t bytes);
  // Removes `waiter` from the queue, if it is there, and grants the reservations that this makes possible.
  void RemoveWaiter(Waiter& waiter);
  // Releases reserved bytes. It grants nothing, so the caller can reserve them for another purpose first.
  void Release(std::size_t bytes);
  // Grants reservations from the front of the queue for as long as the budget allows.
  void GrantWaiting();

 private:
  struct QueueEntry {
    Waiter* waiter;
    std::size_t bytes;
  };
  std::size_t total_;
  std::size_t used_ = 0;
  std::deque<QueueEntry> queue_;
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_BYTE_BUDGET_H_
