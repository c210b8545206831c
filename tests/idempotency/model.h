// A reference model of one replica without peers: the state table of idempotency/replica.h in its simplest
// form. The effects of each step are recorded as text, so that model and replica can be compared.
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

// The effects of one step, each as the text that Effect returns.
using Effects = std::multiset<std::string>;
// Returns the effect as text: its kind, the number of its waiter and a detail.
std::string Effect(const char* kind, WaiterId waiter, const std::string& detail = "");
std::string ToText(const Effects& effects);

// Keys are numbered by the test; work on a key is one attempt at its request.
class ReplicaModel {
 public:
  static constexpr Duration kDedupWindow = std::chrono::seconds(15);
  static constexpr std::chrono::milliseconds kKeyLifetime{40'000};
  static constexpr Duration kUpstreamTransit = std::chrono::milliseconds(50);
  static constexpr std::size_t kMaxWaiters = 4;

  struct ModelWaiter {
    WaiterId id = 0;
    TimePoint deadline{0};
    bool client_disconnected = false;
  };
  enum class State { kRunning, kCompleted, kUnknownOutcome };
  struct Key {
    State state = State::kRunning;
    int body = 0;
    TimePoint first_sent{0};
    bool resumed = false;
    WaiterId running_waiter = 0;
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
  void OnWorkFinished(int key_number, WorkResult result, const std::string& value, TimePoint now,
                      Effects& effects);
  void OnDisconnect(WaiterId waiter, Effects& effects);
  void AdvanceTo(TimePoint now, Effects& effects);

  [[nodiscard]] std::size_t size() const { return keys_.size(); }
  // Returns the keys whose work is running.
  [[nodiscard]] std::vector<int> RunningKeys() const;
  // Returns the waiter whose request runs; the key must be running.
  [[nodiscard]] WaiterId RunningWaiter(int key_number) const { return keys_.at(key_number).running_waiter; }

 private:
  static void Respond(const ModelWaiter& waiter, const char* kind, const std::string& detail,
                      Effects& effects);
  static void RespondToAll(Key& key, const char* kind, const std::string& detail, Effects& effects);
  static void Start(Key& key, bool resumed, Effects& effects);
  static void Resume(Key& key, TimePoint now, Effects& effects);
  static bool IsRunning(const Key& key, WaiterId waiter) {
    return key.state == State::kRunning && key.running_waiter == waiter;
  }

  std::map<int, Key> keys_;
};

}  // namespace postspread::idempotency::testing

#endif  // POSTSPREAD_TESTS_IDEMPOTENCY_MODEL_H_
