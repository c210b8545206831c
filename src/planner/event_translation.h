// Translates between the planner's values and the controller's: reports into events. Pure functions.
#ifndef POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_
#define POSTSPREAD_PLANNER_EVENT_TRANSLATION_H_

#include <chrono>

#include "model/request.h"
#include "planner/types.h"
#include "postspread/control.h"

namespace postspread::planner {

// The part of a client's timeout in which the final response must have left already, so that it arrives in
// time: the request's way in and the response's way back.
inline constexpr std::chrono::milliseconds kNetworkMargin{10};

// How long the request may take here; never 0, as its client waits still.
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
