// This gateway's calls to the counter that all gateways share: matches replies to open calls, limits the
// number of open calls, and detects that the counter is down.
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

// What a call adds units for: a request to be sent now, a request that waits for a later period, or charges
// that were deferred earlier.
enum class CounterCallKind { kCharge, kBorrow, kDeferredCharge };

struct CounterCall {
  CounterCallKind kind = CounterCallKind::kCharge;
  RequestId request = 0;  // 0 for kDeferredCharge
  std::string customer;
  std::int64_t period = 0;
  double amount = 0.0;
  double precharged = 0.0;  // part of `amount` that the customer's deficit already contains
  TimePoint sent_at{0};
  bool known_over_rate = false;  // the customer's known demand exceeded its rate
};

// Tells whether a call may be skipped while the counter is overloaded.
enum class CallNeed { kOptional, kRequired };

class CounterClient {
 public:
  explicit CounterClient(DecisionContext& context) : context_(context) {}

  // Returns the maximum time that a call may delay a request.
  [[nodiscard]] Duration MaxDelay() const;
  // Returns whether a call may be made now. While the counter is down, true starts the interval until the
  // next check.
  [[nodiscard]] bool MayCall(CallNeed need);
  // Calls the counter to add `call.amount` to the count `name`, which expires after `ttl` if it is new.
  void Add(const std::string& name, Duration ttl, CounterCall call);
  // Updates the limits and the outage state from a reply. Returns the call that it belongs to, if it is one
  // of this client's.
  std::optional<CounterCall> OnReply(const CounterEvent& event);

  [[nodiscard]] bool IsDown() const { return outage_.IsDown(); }
  [[nodiscard]] bool IsLimited() const { return window_.IsLimited(); }
  [[nodiscard]] double call_fraction() const { return window_.call_fraction(); }

 private:
  [[nodiscard]] ReplyQuality Classify(const CounterEvent& event) const;

  DecisionContext& context_;
  CounterCallWindow window_;
  CounterOutage outage_;
  // The open calls by the name of their count, in the order of their replies.
  std::unordered_map<std::string, std::deque<CounterCall>> calls_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_COUNTER_CLIENT_H_
