// Limits on calls to the shared counter: the number of open calls, the fraction of requests that call it
// while it is overloaded, and the detection of an outage.
#ifndef POSTSPREAD_POLICY_COUNTER_WINDOW_H_
#define POSTSPREAD_POLICY_COUNTER_WINDOW_H_

#include "postspread/control.h"

namespace postspread::policy {

// What a reply indicates about the counter's load.
enum class ReplyQuality { kFast, kSlow, kOverloaded, kUnknown };

// Combines a concurrency limit, with additive increase and multiplicative decrease, and a fraction of
// requests that call the counter, which adapts to failures. With both, hundreds of gateways together find the
// counter's capacity. The concurrency limit reacts to slow replies before calls fail; the fraction alone
// would react to an overload long past.
class CounterCallWindow {
 public:
  // Returns whether a request may call the counter; `random` is uniform in [0, 1).
  [[nodiscard]] bool Admits(double random) const {
    return random < call_fraction_ && open_calls_ < max_open_calls_;
  }
  [[nodiscard]] bool IsLimited() const { return call_fraction_ < 1 || max_open_calls_ < kMaxOpenCalls; }
  // Returns the fraction of requests that may call the counter.
  [[nodiscard]] double call_fraction() const { return call_fraction_; }

  void OnCallSent() { ++open_calls_; }
  // Adjusts both limits. A call that was sent before the last reduction reports the same overload, so it does
  // not cause another reduction.
  void OnReply(ReplyQuality quality, TimePoint sent_at, TimePoint now);

 private:
  static constexpr double kMaxOpenCalls = 32;

  void UpdateFraction(ReplyQuality quality, TimePoint sent_at, TimePoint now);
  void UpdateLimit(ReplyQuality quality, TimePoint sent_at, TimePoint now);

  int open_calls_ = 0;
  double max_open_calls_ = kMaxOpenCalls;
  double call_fraction_ = 1.0;
  TimePoint limit_reduced_at_{0};
  TimePoint fraction_reduced_at_{0};
};

// Treats the counter as down after several consecutive failed calls. While it is down, a call is allowed only
// at intervals, to detect its recovery.
class CounterOutage {
 public:
  [[nodiscard]] bool IsDown() const;
  // Returns whether a call may be made. While the counter is down, this allows one call in each interval.
  [[nodiscard]] bool MayCall(TimePoint now);

  // Both functions return whether the counter went down or came up.
  bool OnSuccess(TimePoint sent_at);
  bool OnFailure(TimePoint now);

 private:
  int failures_ = 0;  // consecutive failures; several at the same time count as one
  TimePoint last_failure_{-1};
  TimePoint down_since_{0};
  TimePoint next_check_{0};
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_COUNTER_WINDOW_H_
