// Runs the controller: what happened becomes its events, what it decides becomes the planner's actions. Owns
// its timers and the numbers of attempts.
#ifndef POSTSPREAD_PLANNER_CONTROLLER_ADAPTER_H_
#define POSTSPREAD_PLANNER_CONTROLLER_ADAPTER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "planner/timer_queue.h"
#include "planner/types.h"
#include "planner/usage_adapter.h"
#include "postspread/control.h"

namespace postspread::planner {

// Asked before a request's negative final response goes out, as others may wait for the end of its work under
// the same idempotency key.
class FinalResponseInterceptor {
 public:
  // Each returns whether it took the end over: no final response is sent for it then.
  virtual bool InterceptRejection(RequestId request, Duration retry_after) = 0;
  virtual bool InterceptFailure(RequestId request) = 0;

 protected:
  ~FinalResponseInterceptor() = default;
};

class ControllerAdapter {
 public:
  // All references, and `usage` (null: usage is not broadcast), outlive this.
  ControllerAdapter(const Settings& settings, std::uint64_t seed, TimePoint now, UsageAdapter* usage,
                    FinalResponseInterceptor& interceptor, std::vector<Action>& actions);

  // The settings have changed.
  void Reconfigure() { controller_.Reconfigure(settings_); }

  // A request has arrived. Its customer's demand is filled in here.
  void Begin(RequestEvent event, TimePoint now);

  void On(AttemptReport&& report, TimePoint now);
  void On(CounterReport&& report, TimePoint now);
  void On(EndpointListReport&& report, TimePoint now);
  void On(HealthCheckReport&& report, TimePoint now);
  void On(const ClientDisconnected& report, TimePoint now);

  // Runs the timers that are due, but for those that they set in their turn.
  void RunTimers(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const { return timers_.NextDue(); }

  [[nodiscard]] Controller::UpstreamCounts Count(TimePoint now) const { return controller_.Count(now); }

 private:
  void Handle(const Event& event, TimePoint now);
  void Translate(postspread::Send&& action, TimePoint now);
  void Translate(postspread::Reject&& action, TimePoint now);
  void Translate(postspread::Fail&& action, TimePoint now);
  void Translate(postspread::Cancel&& action, TimePoint now);
  void Translate(postspread::SetTimer&& action, TimePoint now);
  void Translate(postspread::CounterAdd&& action, TimePoint now);
  void Translate(postspread::Probe&& action, TimePoint now);
  void Translate(postspread::Subscribe&& action, TimePoint now);
  void Translate(postspread::ObservedUsage&& action, TimePoint now);
  void Translate(postspread::Log&& action, TimePoint now);

  const Settings& settings_;
  Controller controller_;
  UsageAdapter* usage_;
  FinalResponseInterceptor& interceptor_;
  std::vector<Action>& actions_;
  std::unordered_map<RequestId, AttemptNumber>
      attempts_;  // next number, of requests without a final response
  TimerQueue timers_;
  std::vector<postspread::Action> decisions_;  // kept for its memory
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_CONTROLLER_ADAPTER_H_
