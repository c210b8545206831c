// One gateway's Controller under test: hands it events, delivers its timers, and records its actions by kind.
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
inline constexpr const char* kKeyed = "keyed";  // by zone

// One plan of 10 units a second with a burst of 10, one class of each retry safety, and a counter.
Settings DefaultSettings();

// The default settings with no quota, or with one that no test reaches.
Settings SettingsWithoutQuota();
Settings SettingsWithAmpleQuota();

struct TestServer {
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
  // With two servers, s1 in zone a and s2 in zone b; the gateway is in zone a.
  explicit TestGateway(Settings settings = DefaultSettings(), TimePoint start = seconds(1000),
                       std::uint64_t seed = 1);

  // Replaces the endpoint list.
  void SetServers(const std::vector<TestServer>& servers, ServerState state = ServerState::kUp);
  void SetEndpointList(const std::vector<ServerInfo>& servers);

  void Handle(const Event& event);
  // A request of customer "c" of the plan.
  void AddRequest(RequestId id, double units, const RequestOptions& options = {});
  // Replies to the oldest counter call without a reply, after `elapsed`.
  void ReplyToCall(double total, CounterResult result = CounterResult::kOk);
  void ReplyToCallAfter(Duration elapsed, double total, CounterResult result = CounterResult::kOk);
  // Ends the attempt that a recorded Send has started.
  void FinishAttempt(std::size_t send, Outcome outcome, const AttemptResult& result = {});
  // Ends all recorded Sends well, and forgets them.
  void FinishAllSends();
  // Lets time pass and delivers timers as they fall due.
  void Advance(Duration time);

  [[nodiscard]] bool HasOpenCall() const { return replied_calls < counter_calls.size(); }
  // The sum over all counter calls.
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
