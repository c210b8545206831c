// This module records when the bytes in a connection's read buffer arrived. It has no clock and does no I/O:
// the caller passes in all times.
#ifndef POSTSPREAD_FLOW_ARRIVAL_TIMES_H_
#define POSTSPREAD_FLOW_ARRIVAL_TIMES_H_

#include <chrono>
#include <cstddef>
#include <deque>

namespace postspread::flow {

// Records arrival times for one connection's read buffer. A request that waits in the buffer behind others
// arrived before the bytes that were read after it.
class ArrivalTimes {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // At most this many chunks are stored; further bytes are added to the last chunk and get its time.
  static constexpr std::size_t kMaxChunks = 64;

  // Records that `size` bytes were appended to the buffer, and that they arrived at `when`.
  void Append(std::size_t size, TimePoint when);
  // Records the same where the whole buffer is the beginning of one request. A request arrives with its last
  // byte, so all bytes in the buffer get the time `when`.
  void AppendToRequest(std::size_t size, TimePoint when);
  // Records that `size` bytes were removed from the front of the buffer, which contained at least that many.
  void Consume(std::size_t size);
  // Returns when the last of the first `size` bytes arrived, or an earlier time where it was added to an
  // older chunk. The buffer contains at least `size` bytes.
  [[nodiscard]] TimePoint ArrivalOfFirst(std::size_t size) const;
  // Returns the number of bytes in the buffer.
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
