// The responses that a client connection owes, in the order of its commands.
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
  std::optional<RequestId> request{};  // nothing where none was dispatched, or not yet
  std::size_t id_hash = 0;             // of the id that the client gave it; 0: it is no request
  bool is_ready = false;
  bool is_streamed = false;
  std::string text{};  // of one that is ready, while those before it are not
};

// A slot is given to each command, and keeps its number until its response is written.
class ResponseQueue {
 public:
  using Slot = ResponseWriter::Slot;

  // `id_hash` as in PendingResponse.
  Slot Add(std::size_t id_hash);
  // Null where the response has been written, or given up.
  [[nodiscard]] PendingResponse* Find(Slot slot);
  // Null where the response is ready, too.
  [[nodiscard]] PendingResponse* FindUnready(Slot slot);
  [[nodiscard]] bool IsFirst(Slot slot) const { return slot == first_slot_; }
  // Makes a response ready whose turn has not come.
  void Buffer(PendingResponse& response, std::string_view text);

  [[nodiscard]] bool empty() const { return pending_.empty(); }
  [[nodiscard]] std::size_t size() const { return pending_.size(); }
  [[nodiscard]] const PendingResponse& front() const { return pending_.front(); }
  [[nodiscard]] Slot first_slot() const { return first_slot_; }
  // Bytes of the responses that are ready and wait for their turn.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffered_bytes_; }

  // Removes the first; its text must have been written.
  void Pop();
  // Gives up all that are in the queue.
  std::deque<PendingResponse> Clear();

 private:
  Slot first_slot_ = 0;
  std::deque<PendingResponse> pending_;
  std::size_t buffered_bytes_ = 0;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_RESPONSE_QUEUE_H_
