#include "request_history.h"

#include <algorithm>
#include <chrono>

namespace postspread::idempotency::testing {

void RequestHistory::OnRequest(WaiterId waiter, const KeyId& key, TimePoint deadline) {
  requests_[waiter] = {key, deadline};
}

void RequestHistory::OnReply(WaiterId waiter, ReplyKind kind, const std::string& value, TimePoint now) {
  replies_[waiter].push_back({kind, value, now, requests_.at(waiter).deadline});
}

std::optional<Reply> RequestHistory::ReplyTo(WaiterId waiter) const {
  const auto found = replies_.find(waiter);
  if (found == replies_.end()) return std::nullopt;
  return found->second.front();
}

int RequestHistory::Executions(const KeyId& key) const {
  const auto found = executions_.find(key);
  return found == executions_.end() ? 0 : found->second;
}

int RequestHistory::CountReplies(ReplyKind kind) const {
  int count = 0;
  for (const auto& [waiter, replies] : replies_) {
    for (const Reply& reply : replies) count += reply.kind == kind ? 1 : 0;
  }
  return count;
}

int RequestHistory::executed_twice() const {
  return static_cast<int>(std::count_if(executions_.begin(), executions_.end(),
                                        [](const auto& execution) { return execution.second > 1; }));
}

int RequestHistory::wrongly_replied() const {
  int count = 0;
  for (const auto& [waiter, request] : requests_) {
    const auto found = replies_.find(waiter);
    const bool correct = found != replies_.end() && found->second.size() == 1 &&
                         found->second[0].at <= request.deadline + std::chrono::milliseconds(1);
    count += correct ? 0 : 1;
  }
  return count;
}

int RequestHistory::conflicting_replies() const {
  std::map<KeyId, std::string> values;
  int count = 0;
  for (const auto& [waiter, replies] : replies_) {
    for (const Reply& reply : replies) {
      if (reply.kind != ReplyKind::kCompleted) continue;
      const std::string& first = values.emplace(KeyOf(waiter), reply.value).first->second;
      count += first != reply.value ? 1 : 0;
    }
  }
  return count;
}

}  // namespace postspread::idempotency::testing
