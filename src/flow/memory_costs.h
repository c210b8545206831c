// The resident memory that objects of the gateway cost, with what the allocator and the event library add.
#ifndef POSTSPREAD_FLOW_MEMORY_COSTS_H_
#define POSTSPREAD_FLOW_MEMORY_COSTS_H_

#include <bit>
#include <cstddef>

namespace postspread::flow {

inline constexpr std::size_t kKibibyte = 1024;
// The program's code and libraries as far as they are resident, its own state, and what is allocated only
// within one call: the contiguous copy of a message, the text of a metrics response.
inline constexpr std::size_t kProgramBytes = 6'656 * kKibibyte;
// Connections with their timers and buffers, without the bytes in the buffers.
inline constexpr std::size_t kClientConnectionBytes = 3'400;
inline constexpr std::size_t kUpstreamConnectionBytes = 3'600;
// A request in flight, without its message: the state of the planner, its timers, and a short response.
inline constexpr std::size_t kRequestBytes = 3'072;
inline constexpr std::size_t kCustomerBytes = 512;
inline constexpr std::size_t kEndpointBytes = 2'048;  // an upstream in the endpoint list

// The event library allocates buffers in powers of two, and uses this many bytes of each for itself.
inline constexpr std::size_t kBufferHeaderBytes = 48;
inline constexpr std::size_t kMinBufferBytes = 2'048;

// Returns how many bytes a buffer of `allocated` bytes, a power of two, can hold.
constexpr std::size_t BufferCapacity(std::size_t allocated) { return allocated - kBufferHeaderBytes; }
// Returns the allocation of a buffer that holds `capacity` bytes.
constexpr std::size_t BufferAllocation(std::size_t capacity) {
  return std::bit_ceil(capacity + kBufferHeaderBytes);
}

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_MEMORY_COSTS_H_
