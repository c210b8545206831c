// Pure functions that translate the planner's requests and reports into the controller's events.
#ifndef POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_
#define POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_

#include <chrono>

#include "model/request.h"
#include "planner/types.h"
#include "postspread/control.h"

namespace postspread::planner {

// Returns how long this gateway may take for a request so that its response reaches the client within
// `timeout`. The result is at least 1 ms.
Duration TimeLeft(std::chrono::milliseconds timeout);

// The caller must fill in `demand`.
RequestEvent ToEvent(const Request& request, RequestId id);

// The caller must fill in `final`.
OutcomeEvent ToEvent(AttemptReport&& report, const Settings& settings);

CounterEvent ToEvent(CounterReport&& report);
EndpointListEvent ToEvent(EndpointListReport&& report);
ProbeEvent ToEvent(HealthCheckReport&& report);

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_
