// Bounds the bytes that are held at once; large reservations wait in line. No clock, no I/O.
#ifndef POSTSPREAD_FLOW_BYTE_BUDGET_H_
#define POSTSPREAD_FLOW_BYTE_BUDGET_H_

#include <cstddef>
#include <deque>

namespace postspread::flow {

class ByteBudget {
 public:
  class Waiter {
   public:
    // The bytes that it queued for are reserved.
    virtual void OnGranted() = 0;

   protected:
    ~Waiter() = default;
  };

  explicit ByteBudget(std::size_t total) : total_(total) {}

  [[nodiscard]] std::size_t total() const { return total_; }
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t waiting() const { return line_.size(); }

  // Reserves at once, ahead of the line: for what is small or already in memory. False: over the budget.
  bool Take(std::size_t bytes);
  // Reserves now and returns true, or adds `waiter` to the end of the line: first come, first served,
  // whatever the size. `bytes` must not exceed the total; a waiter queues once at a time.
  bool TakeOrQueue(Waiter& waiter, std::size_t bytes);
  // Removes `waiter` from the line, if it is there, and grants what that makes possible.
  void Leave(Waiter& waiter);
  // Returns reserved bytes. Grants nothing, so that they can be taken again for another purpose.
  void Give(std::size_t bytes);
  // Grants what can be granted, in order.
  void Grant();

 private:
  struct QueueEntry {
    Waiter* waiter;
    std::size_t bytes;
  };
  std::size_t total_;
  std::size_t used_ = 0;
  std::deque<QueueEntry> line_;
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_BYTE_BUDGET_H_
