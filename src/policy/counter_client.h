// This gateway's calls to the counter that all gateways share: which are open, how many may be, and whether
// the counter is down.
#ifndef POSTSPREAD_POLICY_COUNTER_CLIENT_H_
#define POSTSPREAD_POLICY_COUNTER_CLIENT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "policy/counter_window.h"
#include "policy/decision_context.h"
#include "postspread/control.h"

namespace postspread::policy {

// What a call adds units for: a request now, a request that is to wait for a later period, or charges
// deferred before.
enum class CounterCallKind { kCharge, kBorrow, kDeferredCharge };

struct CounterCall {
  CounterCallKind kind = CounterCallKind::kCharge;
  RequestId request = 0;  // 0 with kDeferredCharge
  std::string customer;
  std::int64_t period = 0;
  double amount = 0.0;
  double precharged = 0.0;  // part of the amount that the customer's deficit holds already
  TimePoint sent_at{0};
  bool known_over_rate = false;  // the customer was known to ask for more than its rate
};

// Whether a call may be left out while the counter is overloaded.
enum class CallNeed { kOptional, kRequired };

class CounterClient {
 public:
  explicit CounterClient(DecisionContext& context) : context_(context) {}

  // The longest that a call may delay a request.
  [[nodiscard]] Duration MaxDelay() const;
  // Whether a call may be made now; counts it as made where the counter is down and is checked.
  [[nodiscard]] bool MayCall(CallNeed need);
  // Adds `call.amount` to the count `name`, which lives for `ttl` if it is new.
  void Add(const std::string& name, Duration ttl, CounterCall call);
  // The call that a reply belongs to, if it is one of ours. Learns from the reply.
  std::optional<CounterCall> OnReply(const CounterEvent& event);

  [[nodiscard]] bool IsDown() const { return outage_.IsDown(); }
  [[nodiscard]] bool IsLimited() const { return window_.IsLimited(); }
  [[nodiscard]] double call_fraction() const { return window_.call_fraction(); }

 private:
  [[nodiscard]] ReplyQuality Classify(const CounterEvent& event) const;

  DecisionContext& context_;
  CounterCallWindow window_;
  CounterOutage outage_;
  std::unordered_map<std::string, std::deque<CounterCall>> calls_;  // by name, in the order of their replies
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_COUNTER_CLIENT_H_
