// When the bytes in a connection's read buffer arrived: a request that waits there behind others arrived
// before the bytes that were read after it. No clock, no I/O: times are handed in.
#ifndef POSTSPREAD_FLOW_ARRIVAL_TIMES_H_
#define POSTSPREAD_FLOW_ARRIVAL_TIMES_H_

#include <chrono>
#include <cstddef>
#include <deque>

namespace postspread::flow {

class ArrivalTimes {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // Chunks with a time of their own; more bytes are added to the last one.
  static constexpr std::size_t kMaxChunks = 64;

  // `size` bytes have been appended to the buffer; they arrived at `when`.
  void Appended(std::size_t size, TimePoint when);
  // The same where the whole buffer is the beginning of one request, which arrives with its last byte.
  void Continued(std::size_t size, TimePoint when);
  // `size` bytes have been removed from its front; no more than it holds.
  void Consumed(std::size_t size);
  // When the last of the first `size` bytes arrived, or somewhat earlier. The buffer holds that many.
  [[nodiscard]] TimePoint Of(std::size_t size) const;
  // Bytes in the buffer.
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  struct Chunk {
    std::size_t size;
    TimePoint when;
  };
  std::deque<Chunk> chunks_;
  std::size_t size_ = 0;
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_ARRIVAL_TIMES_H_
