// A test fixture around one gateway's Controller: passes events to it, delivers its timers, and records its
// actions by kind.
#ifndef POSTSPREAD_TESTS_POLICY_TEST_GATEWAY_H_
#define POSTSPREAD_TESTS_POLICY_TEST_GATEWAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "postspread/control.h"

namespace postspread::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* kIdempotent = "idempotent";
inline constexpr const char* kNonIdempotent = "non-idempotent";
inline constexpr const char* kKeyed = "keyed";  // its idempotency keys are valid within a zone

// Returns settings with one plan of 10 units per second and a burst of 10, one class of each retry safety,
// and a counter.
Settings DefaultSettings();

// Return the default settings without a quota, or with a quota that no test reaches.
Settings SettingsWithoutQuota();
Settings SettingsWithAmpleQuota();

struct TestUpstream {
  std::string id;
  std::string zone;
};

struct RequestOptions {
  std::string class_name = kIdempotent;
  Duration time_left = seconds(1);
  bool retry = false;
  int gateways = 2;
};

struct AttemptResult {
  int attempt = 0;
  double true_units = 0;
  Duration elapsed = milliseconds(50);
};

class TestGateway {
 public:
  // The gateway is in zone a. Its endpoint list has two upstreams, s1 in zone a and s2 in zone b.
  explicit TestGateway(Settings settings = DefaultSettings(), TimePoint start = seconds(1000),
                       std::uint64_t seed = 1);

  // Replaces the endpoint list.
  void SetUpstreams(const std::vector<TestUpstream>& upstreams, EndpointState state = EndpointState::kUp);
  void SetEndpointList(const std::vector<EndpointInfo>& endpoints);

  void Handle(const Event& event);
  // Passes a request of customer "c", whose plan is the only one.
  void AddRequest(RequestId id, double units, const RequestOptions& options = {});
  // Replies to the oldest open counter call. The reply says that the call took `elapsed`.
  void ReplyToCall(double total, CounterResult result = CounterResult::kOk);
  void ReplyToCallAfter(Duration elapsed, double total, CounterResult result = CounterResult::kOk);
  // Ends the attempt that the recorded Send at index `send` has started.
  void FinishAttempt(std::size_t send, Outcome outcome, const AttemptResult& result = {});
  // Ends the attempts of all recorded Sends successfully, and removes the records.
  void FinishAllSends();
  // Advances the time and delivers timers when they are due.
  void Advance(Duration time);

  [[nodiscard]] bool HasOpenCall() const { return replied_calls < counter_calls.size(); }
  // Returns the sum of the units of all counter calls.
  [[nodiscard]] double CalledUnits() const;
  Controller& controller() { return controller_; }

  TimePoint now;
  std::vector<CounterAdd> counter_calls;
  std::size_t replied_calls = 0;
  std::vector<Send> sends;
  std::vector<Reject> rejects;
  std::vector<Fail> fails;
  std::vector<Cancel> cancels;

 private:
  struct Timer {
    TimePoint due;
    std::uint64_t token;
    bool operator<(const Timer& other) const {
      return due != other.due ? due < other.due : token < other.token;
    }
  };

  void Record(const Action& action);

  std::vector<Timer> timers_;
  Controller controller_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_TESTS_POLICY_TEST_GATEWAY_H_
