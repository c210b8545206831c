// Limits on calls to the shared counter: how many may be open, which fraction of the requests calls it while
// it is overloaded, and when it counts as down.
#ifndef POSTSPREAD_POLICY_COUNTER_WINDOW_H_
#define POSTSPREAD_POLICY_COUNTER_WINDOW_H_

#include "postspread/control.h"

namespace postspread::policy {

// What a reply says of the counter's load.
enum class ReplyQuality { kFast, kSlow, kOverloaded, kUnknown };

// A concurrency limit with additive increase and multiplicative decrease, and a fraction of requests that
// adapts to failures, so that hundreds of gateways together find what the counter can take. The limit reacts
// to slow replies before calls fail; the fraction alone would be steered by what is long past.
class CounterCallWindow {
 public:
  // Whether a request may call the counter; `random` is uniform in [0, 1).
  [[nodiscard]] bool Admits(double random) const {
    return random < call_fraction_ && open_calls_ < max_open_calls_;
  }
  [[nodiscard]] bool IsLimited() const { return call_fraction_ < 1 || max_open_calls_ < kMaxOpenCalls; }
  // The fraction of the requests that call the counter.
  [[nodiscard]] double call_fraction() const { return call_fraction_; }

  void OnCallSent() { ++open_calls_; }
  // A call from before the last reduction tells of the same overload, and does not reduce again.
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

// After some failed calls in a row the counter counts as down, and is called only now and then to see it
// return.
class CounterOutage {
 public:
  [[nodiscard]] bool IsDown() const;
  // Whether a call may be made; while the counter is down it starts the wait until the next.
  [[nodiscard]] bool MayCall(TimePoint now);

  // Both return whether the counter's state has changed.
  bool OnSuccess(TimePoint sent_at);
  bool OnFailure(TimePoint now);

 private:
  int failures_ = 0;  // in a row; those at one moment count once
  TimePoint last_failure_{-1};
  TimePoint down_since_{0};
  TimePoint next_check_{0};
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_COUNTER_WINDOW_H_
