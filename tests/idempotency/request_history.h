// The record of a simulated run, kept apart from the replicas: what was executed, and which replies each
// request got.
#ifndef POSTSPREAD_TESTS_IDEMPOTENCY_REQUEST_HISTORY_H_
#define POSTSPREAD_TESTS_IDEMPOTENCY_REQUEST_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency::testing {

enum class ReplyKind {
  kCompleted,
  kRejected,
  kUnknownOutcome,
  kFingerprintMismatch,
  kAnswerDropped,
  kNone,  // the client or its gateway has gone
};

struct Reply {
  ReplyKind kind = ReplyKind::kCompleted;
  std::string value;
  TimePoint at{0}, deadline{0};
};

class RequestHistory {
 public:
  void OnRequest(WaiterId waiter, const KeyId& key, TimePoint deadline);
  void OnReply(WaiterId waiter, ReplyKind kind, const std::string& value, TimePoint now);
  // Returns how often the key's work has been executed so far, this time included.
  int OnExecution(const KeyId& key) { return ++executions_[key]; }

  [[nodiscard]] const KeyId& KeyOf(WaiterId waiter) const { return requests_.at(waiter).key; }
  [[nodiscard]] bool HasReply(WaiterId waiter) const { return replies_.contains(waiter); }
  // The first reply; nothing: none yet.
  [[nodiscard]] std::optional<Reply> ReplyTo(WaiterId waiter) const;
  [[nodiscard]] int Executions(const KeyId& key) const;
  [[nodiscard]] int CountReplies(ReplyKind kind) const;

  // Violations: keys executed more than once, requests without exactly one reply in time, and replies whose
  // value differs from another one under the same key.
  [[nodiscard]] int executed_twice() const;
  [[nodiscard]] int wrongly_replied() const;
  [[nodiscard]] int conflicting_replies() const;

 private:
  struct RequestInfo {
    KeyId key;
    TimePoint deadline{0};
  };
  std::map<WaiterId, RequestInfo> requests_;
  std::map<WaiterId, std::vector<Reply>> replies_;
  std::map<KeyId, int> executions_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_REQUEST_HISTORY_H_
