// A plain model of one replica without peers: the state table of idempotency/replica.h in its simplest form.
// What a step makes happen is recorded in words, so that model and replica can be compared.
#ifndef POSTSPREAD_TESTS_IDEMPOTENCY_MODEL_H_
#define POSTSPREAD_TESTS_IDEMPOTENCY_MODEL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency::testing {

// The effects of a step, as words and numbers of waiters.
using Effects = std::multiset<std::string>;
std::string Effect(const char* what, WaiterId waiter, const std::string& detail = "");
std::string ToText(const Effects& effects);

class ReplicaModel {
 public:
  static constexpr Duration kDedupWindow = std::chrono::seconds(15);
  static constexpr std::chrono::milliseconds kKeep{40'000};
  static constexpr Duration kUpstreamTransit = std::chrono::milliseconds(50);
  static constexpr std::size_t kMaxWaiters = 4;

  struct ModelWaiter {
    WaiterId id = 0;
    TimePoint deadline{0};
    bool client_disconnected = false;
  };
  enum class State { kRunning, kAnswered, kUnknownOutcome };
  struct Key {
    State state = State::kRunning;
    int body = 0;
    TimePoint sent{0};
    bool resumed = false;
    WaiterId running = 0;
    std::string value;
    std::vector<ModelWaiter> waiters;
  };

  struct Request {
    int key = 0;
    int body = 0;
    WaiterId waiter = 0;
    TimePoint deadline{0};
  };
  void OnRequest(const Request& request, TimePoint now, Effects& effects);
  void OnWorkFinished(int name, WorkResult result, const std::string& value, TimePoint now, Effects& effects);
  void OnDisconnect(WaiterId waiter, Effects& effects);
  void AdvanceTo(TimePoint now, Effects& effects);

  [[nodiscard]] std::size_t size() const { return keys_.size(); }
  // The keys whose work runs, and the waiter whose request that is.
  [[nodiscard]] std::vector<int> RunningKeys() const;
  [[nodiscard]] WaiterId RunningWaiter(int name) const { return keys_.at(name).running; }

 private:
  static void Answer(const ModelWaiter& waiter, const char* what, const std::string& detail,
                     Effects& effects);
  static void AnswerAll(Key& key, const char* what, const std::string& detail, Effects& effects);
  static void Start(Key& key, bool resumed, Effects& effects);
  static void Resume(Key& key, TimePoint now, Effects& effects);
  static bool IsRunning(const Key& key, WaiterId waiter) {
    return key.state == State::kRunning && key.running == waiter;
  }

  std::map<int, Key> keys_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_MODEL_H_
