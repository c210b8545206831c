#include "net/gateway/admission_control.h"

#include <algorithm>

#include "net/gateway/gateway_setup.h"

namespace postspread::net {

AdmissionDecision AdmissionControl::Admit(const Request& request, const resp::EncodedRequest& encoded,
                                          Clock::time_point now) {
  using std::chrono::floor;
  using std::chrono::milliseconds;
  using Reason = ops::RejectReason;
  const std::chrono::microseconds longest_deadline = LongestDeadline(settings_);
  if (!lifecycle_.AdmitsRequests(now, longest_deadline)) return {.rejected = Reason::kDraining};
  // A value that is streamed holds a connection to an upstream, as a request in flight does.
  if (in_flight_.size() + streams_.size() >= max_in_flight_) return {.rejected = Reason::kTooManyInFlight};
  // The request may have waited unread while the event loop was stalled, which counts against its timeout.
  milliseconds timeout = request.timeout - floor<milliseconds>(loop_monitor_.TimeSinceStallBegan(now));
  if (lifecycle_.stopping()) {
    timeout = std::min(timeout, floor<milliseconds>(lifecycle_.ResponseDeadline(longest_deadline) - now));
  }
  if (timeout.count() <= 0) return {.rejected = Reason::kDeadlineExceeded};
  if (!in_flight_.Reserve(encoded)) return {.rejected = Reason::kNoMemory};
  return {.rejected = std::nullopt, .timeout = timeout};
}

}  // namespace postspread::net
