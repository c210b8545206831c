// This module makes the admission checks that precede the planner's decision.
#ifndef POSTSPREAD_NET_GATEWAY_ADMISSION_CONTROL_H_
#define POSTSPREAD_NET_GATEWAY_ADMISSION_CONTROL_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "config/settings.h"
#include "model/request.h"
#include "net/gateway/in_flight_requests.h"
#include "net/gateway/response_streams.h"
#include "net/loop_monitor.h"
#include "ops/lifecycle.h"
#include "ops/metrics.h"

namespace postspread::net {

struct AdmissionDecision {
  // This is empty if the request is admitted.
  std::optional<ops::RejectReason> rejected;
  // An admitted request has this much of its timeout left.
  std::chrono::milliseconds timeout{0};
};

// Admits or rejects a request by the lifecycle state, the capacity that is free and the time that is left.
class AdmissionControl {
 public:
  struct Collaborators {
    const Settings& settings;
    const ops::Lifecycle& lifecycle;
    const LoopMonitor& loop_monitor;
    InFlightRequests& in_flight;
    const ResponseStreams& streams;
  };
  AdmissionControl(const Collaborators& collaborators, std::size_t max_in_flight)
      : settings_(collaborators.settings),
        lifecycle_(collaborators.lifecycle),
        loop_monitor_(collaborators.loop_monitor),
        in_flight_(collaborators.in_flight),
        streams_(collaborators.streams),
        max_in_flight_(max_in_flight) {}

  // Decides on a request. The bytes of an admitted request are reserved among the requests in flight.
  AdmissionDecision Admit(const Request& request, const resp::EncodedRequest& encoded, Clock::time_point now);

 private:
  const Settings& settings_;
  const ops::Lifecycle& lifecycle_;
  const LoopMonitor& loop_monitor_;
  InFlightRequests& in_flight_;
  const ResponseStreams& streams_;
  std::size_t max_in_flight_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ADMISSION_CONTROL_H_
