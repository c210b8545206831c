// Collects the actions that one call of the replica returns, including the final responses to an entry's
// waiters. A waiter whose client has disconnected gets a ReleaseRequest in place of its response.
#ifndef POSTSPREAD_IDEMPOTENCY_ACTION_WRITER_H_
#define POSTSPREAD_IDEMPOTENCY_ACTION_WRITER_H_

#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "idempotency/counts.h"
#include "idempotency/entry.h"
#include "idempotency/store.h"
#include "idempotency/types.h"

namespace postspread::idempotency {

class ActionWriter {
 public:
  ActionWriter(IdempotencyStore& store, Counts& counts) : store_(store), counts_(counts) {}

  void Clear() { actions_.clear(); }
  [[nodiscard]] std::span<const Action> actions() const { return actions_; }
  template <typename A>
  void Add(A action) {
    actions_.emplace_back(std::move(action));
  }

  // Add the final response to one waiter, or start its request without deduplication. The waiter is no longer
  // in the store.
  void Complete(const Waiter& waiter, std::shared_ptr<const std::string> value);
  void Reject(const Waiter& waiter, Duration retry_after);
  void Fail(const Waiter& waiter, FailureReason reason);
  void StartUnprotected(const Waiter& waiter);

  // Do the same for all of an entry's waiters and remove them from the store.
  void CompleteAll(Entry& entry, std::string value);
  void RejectAll(Entry& entry, Duration retry_after);
  void FailAll(Entry& entry, FailureReason reason);
  void StartAllUnprotected(Entry& entry);

 private:
  template <typename A>
  void AddFinalAction(const Waiter& waiter, A action) {
    if (waiter.client_disconnected) return Add(ReleaseRequest{waiter.id});
    Add(std::move(action));
  }

  IdempotencyStore& store_;
  Counts& counts_;
  std::vector<Action> actions_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_ACTION_WRITER_H_
