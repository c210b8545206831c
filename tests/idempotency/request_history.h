// Records what upstreams executed and which responses each request received in a simulated run, independently
// of the replicas under test.
#ifndef POSTSPREAD_TESTS_IDEMPOTENCY_REQUEST_HISTORY_H_
#define POSTSPREAD_TESTS_IDEMPOTENCY_REQUEST_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency::testing {

enum class ResponseKind {
  kCompleted,
  kRejected,
  kUnknownOutcome,
  kFingerprintMismatch,
  kResponseDropped,
  kNone,  // no response: the client disconnected or its gateway crashed
};

struct ClientResponse {
  ResponseKind kind = ResponseKind::kCompleted;
  std::string value;
  TimePoint at{0}, deadline{0};
};

// Owned by the Cluster. Its counters report violations of the guarantees in idempotency/replica.h.
class RequestHistory {
 public:
  void OnRequest(WaiterId waiter, const KeyId& key, TimePoint deadline);
  void OnResponse(WaiterId waiter, ResponseKind kind, const std::string& value, TimePoint now);
  // Returns how often the key has been executed so far, this execution included.
  int OnExecution(const KeyId& key) { return ++executions_[key]; }

  [[nodiscard]] const KeyId& KeyOf(WaiterId waiter) const { return requests_.at(waiter).key; }
  [[nodiscard]] bool HasResponse(WaiterId waiter) const { return responses_.contains(waiter); }
  // Returns the first response, or nullopt if there is none so far.
  [[nodiscard]] std::optional<ClientResponse> ResponseTo(WaiterId waiter) const;
  [[nodiscard]] int Executions(const KeyId& key) const;
  [[nodiscard]] int CountResponses(ResponseKind kind) const;

  // Return the number of keys that were executed more than once, of requests that did not receive exactly one
  // response by their deadline, and of responses whose value differs from the first one under the same key.
  [[nodiscard]] int executed_twice() const;
  [[nodiscard]] int not_answered_once() const;
  [[nodiscard]] int conflicting_responses() const;

 private:
  struct RequestInfo {
    KeyId key;
    TimePoint deadline{0};
  };
  std::map<WaiterId, RequestInfo> requests_;
  std::map<WaiterId, std::vector<ClientResponse>> responses_;
  std::map<KeyId, int> executions_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_REQUEST_HISTORY_H_
