// The allocator's settings, and the memory that the process uses.
#ifndef POSTSPREAD_NET_PROCESS_MEMORY_H_
#define POSTSPREAD_NET_PROCESS_MEMORY_H_

#include <cstddef>

#include "net/loop.h"

namespace postspread::net {

// Makes the allocator return large blocks to the system as soon as they are freed. Called once, at the start.
void ConfigureAllocator();

// Returns the resident memory of the process in bytes, or 0 if the system does not report it.
std::size_t ResidentBytes();

// Returns free memory to the system that small blocks leave behind after a burst.
class MemoryTrimmer {
 public:
  explicit MemoryTrimmer(event_base* base);

 private:
  void Trim();

  Timer timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_PROCESS_MEMORY_H_
