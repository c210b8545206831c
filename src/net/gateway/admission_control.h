// Admission checks that come before the planner's: lifecycle, capacity and time left.
#ifndef POSTSPREAD_NET_GATEWAY_ADMISSION_CONTROL_H_
#define POSTSPREAD_NET_GATEWAY_ADMISSION_CONTROL_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "config/settings.h"
#include "model/request.h"
#include "net/gateway/in_flight_requests.h"
#include "net/loop_monitor.h"
#include "ops/lifecycle.h"
#include "ops/metrics.h"

namespace postspread::net {

struct AdmissionDecision {
  std::optional<ops::RejectReason> rejected;  // nothing: the request is admitted
  std::chrono::milliseconds timeout{0};       // of an admitted request: what is left of its own
};

class AdmissionControl {
 public:
  struct Collaborators {
    const Settings& settings;
    const ops::Lifecycle& lifecycle;
    const LoopMonitor& loop_monitor;
    InFlightRequests& in_flight;
  };
  AdmissionControl(const Collaborators& collaborators, std::size_t max_in_flight)
      : settings_(collaborators.settings),
        lifecycle_(collaborators.lifecycle),
        loop_monitor_(collaborators.loop_monitor),
        in_flight_(collaborators.in_flight),
        max_in_flight_(max_in_flight) {}

  // The bytes of a request that is admitted are reserved in the requests in flight.
  AdmissionDecision Admit(const Request& request, const resp::EncodedRequest& encoded, Clock::time_point now);

 private:
  const Settings& settings_;
  const ops::Lifecycle& lifecycle_;
  const LoopMonitor& loop_monitor_;
  InFlightRequests& in_flight_;
  std::size_t max_in_flight_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ADMISSION_CONTROL_H_
