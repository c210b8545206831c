// Bytes that may be held at once: who wants many waits its turn. No clock, no I/O.
#ifndef POSTSPREAD_FLOW_BYTE_BUDGET_H_
#define POSTSPREAD_FLOW_BYTE_BUDGET_H_

#include <cstddef>
#include <deque>

namespace postspread::flow {

class ByteBudget {
 public:
  // Who waits for bytes.
  class Waiter {
   public:
    virtual void Granted() = 0;  // the bytes asked for are reserved

   protected:
    ~Waiter() = default;
  };

  explicit ByteBudget(std::size_t total) : total_(total) {}

  [[nodiscard]] std::size_t total() const { return total_; }
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t waiting() const { return line_.size(); }

  // Reserves at once, past those that wait in line: for what is small or already in memory. False: no room.
  bool Take(std::size_t bytes);
  // Reserves now and returns true, or puts `waiter` at the end of the line: each gets its bytes in its turn,
  // however many others want. `bytes` must not be more than the total; a waiter asks once at a time.
  bool Ask(Waiter& waiter, std::size_t bytes);
  // Leaves the line, and grants what that makes room for; nothing where it does not stand in it.
  void Leave(Waiter& waiter);
  void Give(std::size_t bytes);
  // Grants what can be granted, in order. Not done by Give, so that what is given can be taken in another
  // form.
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
