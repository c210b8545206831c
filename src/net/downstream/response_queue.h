// The pending responses of a client connection, in the order of its commands.
#ifndef POSTSPREAD_NET_DOWNSTREAM_RESPONSE_QUEUE_H_
#define POSTSPREAD_NET_DOWNSTREAM_RESPONSE_QUEUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "net/downstream/request_handler.h"

namespace postspread::net {

struct PendingResponse {
  std::optional<RequestId> request{};  // empty if no request was dispatched, or not yet
  std::size_t id_hash = 0;             // hash of the client's request id; 0: the command is no request
  bool is_ready = false;
  bool is_streamed = false;
  std::string text{};       // set if the response is ready but earlier ones are not
  std::size_t repeats = 1;  // how many commands in a row have this text as their response
};

// Each command gets a slot, whose number is stable until the response is written.
class ResponseQueue {
 public:
  using Slot = ResponseWriter::Slot;

  // Adds a pending response to the end of the queue. `id_hash` is as in PendingResponse.
  Slot Add(std::size_t id_hash);
  // Returns null if the response has been written or dropped.
  [[nodiscard]] PendingResponse* Find(Slot slot);
  // Returns null if the response is ready, written or dropped.
  [[nodiscard]] PendingResponse* FindUnready(Slot slot);
  [[nodiscard]] bool IsFirst(Slot slot) const { return slot == first_slot_; }
  // Marks a response as ready and stores its text until all earlier responses are written. Equal responses at
  // the end of the queue share one entry, so a client that pipelines without end can't fill the memory.
  void Buffer(PendingResponse& response, std::string_view text);

  [[nodiscard]] bool empty() const { return pending_.empty(); }
  [[nodiscard]] std::size_t size() const { return pending_.size(); }
  [[nodiscard]] const PendingResponse& front() const { return pending_.front(); }
  [[nodiscard]] Slot first_slot() const { return first_slot_; }
  // Returns the bytes of ready responses that wait for earlier ones.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffered_bytes_; }

  // Returns the text of the first response, which is ready, as often as it repeats and fits into `max_bytes`,
  // but at least once, and takes that many repeats from it. The response is complete once none is left.
  std::string TakeRepeats(std::size_t max_bytes);
  // Removes the first response. Its text must have been written.
  void Pop();
  // Drops all responses of the queue, and returns them.
  std::deque<PendingResponse> Clear();

 private:
  void JoinLast();

  Slot first_slot_ = 0;
  std::deque<PendingResponse> pending_;
  std::size_t buffered_bytes_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_RESPONSE_QUEUE_H_
