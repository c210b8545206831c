// Translates the planner's requests and reports into the controller's events. Pure functions.
#ifndef POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_
#define POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_

#include <chrono>

#include "model/request.h"
#include "planner/types.h"
#include "postspread/control.h"

namespace postspread::planner {

// How long a request may take here, so that its response reaches the client within `timeout`; at least 1 ms.
Duration TimeLeft(std::chrono::milliseconds timeout);

// `demand` is left for the caller to fill in.
RequestEvent ToEvent(const Request& request, RequestId id);

// `final` is left for the caller to fill in.
OutcomeEvent ToEvent(AttemptReport&& report, const Settings& settings);

CounterEvent ToEvent(CounterReport&& report);
EndpointListEvent ToEvent(EndpointListReport&& report);
ProbeEvent ToEvent(HealthCheckReport&& report);

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_
