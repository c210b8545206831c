// When the bytes that wait in a connection's buffer arrived, so that a request that waits there behind others
// is not taken to have come with the bytes read after it. No clock, no I/O: times are handed in.
#ifndef POSTSPREAD_FLOW_ARRIVAL_TIMES_H_
#define POSTSPREAD_FLOW_ARRIVAL_TIMES_H_

#include <chrono>
#include <cstddef>
#include <deque>

namespace postspread::flow {

class ArrivalTimes {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // Chunks that are told apart; what comes behind more of them counts as part of the last one.
  static constexpr std::size_t kMaxChunks = 64;

  // `size` bytes have been appended to the buffer, and arrived at `when`.
  void Appended(std::size_t size, TimePoint when);
  // The same, where all that the buffer holds is the beginning of one request: it comes with its last byte.
  void Continued(std::size_t size, TimePoint when);
  // `size` bytes have been taken from its front; no more than it holds.
  void Consumed(std::size_t size);
  // When the last of the first `size` bytes arrived, or somewhat earlier. The buffer holds as many.
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
