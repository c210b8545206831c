#include "request_history.h"

#include <algorithm>
#include <chrono>

namespace postspread::idempotency::testing {

void RequestHistory::OnRequest(WaiterId waiter, const KeyId& key, TimePoint deadline) {
  requests_[waiter] = {key, deadline};
}

void RequestHistory::OnResponse(WaiterId waiter, ResponseKind kind, const std::string& value, TimePoint now) {
  responses_[waiter].push_back({kind, value, now, requests_.at(waiter).deadline});
}

std::optional<ClientResponse> RequestHistory::ResponseTo(WaiterId waiter) const {
  const auto found = responses_.find(waiter);
  if (found == responses_.end()) return std::nullopt;
  return found->second.front();
}

int RequestHistory::Executions(const KeyId& key) const {
  const auto found = executions_.find(key);
  return found == executions_.end() ? 0 : found->second;
}

int RequestHistory::CountResponses(ResponseKind kind) const {
  int count = 0;
  for (const auto& [waiter, responses] : responses_) {
    for (const ClientResponse& response : responses) count += response.kind == kind ? 1 : 0;
  }
  return count;
}

int RequestHistory::executed_twice() const {
  return static_cast<int>(std::count_if(executions_.begin(), executions_.end(),
                                        [](const auto& execution) { return execution.second > 1; }));
}

int RequestHistory::not_answered_once() const {
  int count = 0;
  for (const auto& [waiter, request] : requests_) {
    const auto found = responses_.find(waiter);
    const bool correct = found != responses_.end() && found->second.size() == 1 &&
                         found->second[0].at <= request.deadline + std::chrono::milliseconds(1);
    count += correct ? 0 : 1;
  }
  return count;
}

int RequestHistory::conflicting_responses() const {
  std::map<KeyId, std::string> values;
  int count = 0;
  for (const auto& [waiter, responses] : responses_) {
    for (const ClientResponse& response : responses) {
      if (response.kind != ResponseKind::kCompleted) continue;
      const std::string& first = values.emplace(KeyOf(waiter), response.value).first->second;
      count += first != response.value ? 1 : 0;
    }
  }
  return count;
}

}  // namespace postspread::idempotency::testing
