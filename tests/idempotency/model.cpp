#include "model.h"

#include <algorithm>
#include <utility>

namespace postspread::idempotency::testing {

std::string Effect(const char* kind, WaiterId waiter, const std::string& detail) {
  return std::string(kind) + " " + std::to_string(waiter) + " " + detail;
}

std::string ToText(const Effects& effects) {
  std::string out;
  for (const std::string& effect : effects) out += effect + "; ";
  return out;
}

void ReplicaModel::OnRequest(const Request& request, TimePoint now, Effects& effects) {
  const auto found = keys_.find(request.key);
  if (found == keys_.end()) {
    Key& key = keys_[request.key];
    key.body = request.body;
    key.waiters = {{request.waiter, request.deadline, false}};
    key.first_sent = now;
    return Start(key, false, effects);
  }
  Key& key = found->second;
  if (key.body != request.body) {
    effects.insert(Effect("mismatch", request.waiter));
  } else if (key.state == State::kCompleted && !key.value.empty()) {
    effects.insert(Effect("complete", request.waiter, key.value));
  } else if (key.waiters.size() >= kMaxWaiters) {
    effects.insert(Effect("reject", request.waiter));
  } else {
    key.waiters.push_back({request.waiter, request.deadline, false});
    if (key.state != State::kRunning) Resume(key, now, effects);
  }
}

void ReplicaModel::OnWorkFinished(int key_number, WorkResult result, const std::string& value, TimePoint now,
                                  Effects& effects) {
  Key& key = keys_.at(key_number);
  switch (result) {
    case WorkResult::kServed:
      key.state = State::kCompleted;
      key.value = value;
      RespondToAll(key, "complete", value, effects);
      return;
    case WorkResult::kRejected:
      RespondToAll(key, "reject", "", effects);
      if (key.resumed) {
        key.state = State::kUnknownOutcome;
      } else {
        keys_.erase(key_number);
      }
      return;
    case WorkResult::kFailed:
      break;
  }
  key.state = State::kUnknownOutcome;
  const auto own = std::find_if(key.waiters.begin(), key.waiters.end(), [&key](const ModelWaiter& waiter) {
    return waiter.id == key.running_waiter;
  });
  Respond(*own, "unknown", "", effects);
  key.waiters.erase(own);
  Resume(key, now, effects);
}

void ReplicaModel::OnDisconnect(WaiterId waiter, Effects& effects) {
  for (auto& [key_number, key] : keys_) {
    const auto found =
        std::find_if(key.waiters.begin(), key.waiters.end(),
                     [waiter](const ModelWaiter& candidate) { return candidate.id == waiter; });
    if (found == key.waiters.end()) continue;
    if (IsRunning(key, waiter)) {
      found->client_disconnected = true;
    } else {
      key.waiters.erase(found);
      effects.insert(Effect("release", waiter));
    }
    return;
  }
}

void ReplicaModel::AdvanceTo(TimePoint now, Effects& effects) {
  for (auto it = keys_.begin(); it != keys_.end();) {
    Key& key = it->second;
    std::erase_if(key.waiters, [&](const ModelWaiter& waiter) {
      if (waiter.deadline > now || IsRunning(key, waiter.id)) return false;
      effects.insert(Effect("unknown", waiter.id));
      return true;
    });
    const bool expired = key.state != State::kRunning && key.first_sent + kKeyLifetime <= now;
    it = expired ? keys_.erase(it) : std::next(it);
  }
}

std::vector<int> ReplicaModel::RunningKeys() const {
  std::vector<int> running;
  for (const auto& [key_number, key] : keys_) {
    if (key.state == State::kRunning) running.push_back(key_number);
  }
  return running;
}

void ReplicaModel::Respond(const ModelWaiter& waiter, const char* kind, const std::string& detail,
                           Effects& effects) {
  effects.insert(waiter.client_disconnected ? Effect("release", waiter.id) : Effect(kind, waiter.id, detail));
}

void ReplicaModel::RespondToAll(Key& key, const char* kind, const std::string& detail, Effects& effects) {
  for (const ModelWaiter& waiter : std::exchange(key.waiters, {})) Respond(waiter, kind, detail, effects);
}

void ReplicaModel::Start(Key& key, bool resumed, Effects& effects) {
  // The attempt runs for the waiter with the latest deadline; of equal deadlines the first waiter's counts.
  const auto longest = std::max_element(
      key.waiters.begin(), key.waiters.end(),
      [](const ModelWaiter& left, const ModelWaiter& right) { return left.deadline < right.deadline; });
  key.state = State::kRunning;
  key.running_waiter = longest->id;
  key.resumed = resumed;
  effects.insert(Effect("start", longest->id, resumed ? "resumed" : ""));
}

void ReplicaModel::Resume(Key& key, TimePoint now, Effects& effects) {
  if (key.waiters.empty()) return;
  if (now + kUpstreamTransit < key.first_sent + kDedupWindow) return Start(key, true, effects);
  RespondToAll(key, "unknown", "", effects);
}

}  // namespace postspread::idempotency::testing
