// Connects the planner to the controller: translates requests and reports into the controller's events, and
// its decisions into the planner's actions. Owns the controller, its timers and the attempt numbers of
// requests.
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

// ControllerAdapter calls this interface before a request gets a rejection or a failure as its final
// response, because other requests with the same idempotency key may be waiting for its result.
class FinalResponseInterceptor {
 public:
  // Each returns true if the interceptor handles the result itself; the adapter then sends no final response.
  virtual bool InterceptRejection(RequestId request, Duration retry_after) = 0;
  virtual bool InterceptFailure(RequestId request) = 0;

 protected:
  ~FinalResponseInterceptor() = default;
};

class ControllerAdapter {
 public:
  // All references, and `usage` unless it is null, must outlive the adapter. A null `usage` disables the
  // usage broadcast.
  ControllerAdapter(const Settings& settings, std::uint64_t seed, TimePoint now, UsageAdapter* usage,
                    FinalResponseInterceptor& interceptor, std::vector<Action>& actions);

  // Must be called after the settings have changed.
  void Reconfigure() { controller_.Reconfigure(settings_); }

  // Handles a new request. The adapter fills in its customer's demand.
  void Begin(RequestEvent event, TimePoint now);

  void On(AttemptReport&& report, TimePoint now);
  void On(CounterReport&& report, TimePoint now);
  void On(EndpointListReport&& report, TimePoint now);
  void On(HealthCheckReport&& report, TimePoint now);
  void On(const ClientDisconnected& report, TimePoint now);

  // Runs the timers that are due, except for timers that are set during this call.
  void RunTimers(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const { return timers_.NextDue(); }

  [[nodiscard]] Controller::UpstreamCounts Count(TimePoint now) const { return controller_.Count(now); }
  [[nodiscard]] std::size_t CountCustomers() const { return controller_.CountCustomers(); }

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
  // The next attempt number of each request without a final response.
  std::unordered_map<RequestId, AttemptNumber> next_attempts_;
  TimerQueue timers_;
  std::size_t max_timers_ = 0;  // at this number, timers of requests that have ended are removed
  std::vector<postspread::Action> decisions_;  // A member, so that calls reuse its memory.
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_CONTROLLER_ADAPTER_H_
