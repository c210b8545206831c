// The state that a gateway keeps for one upstream.
#ifndef POSTSPREAD_POLICY_UPSTREAM_H_
#define POSTSPREAD_POLICY_UPSTREAM_H_

#include "policy/request_state.h"
#include "postspread/control.h"
#include "statistics/float_seconds.h"

namespace postspread::policy {

// An upstream with attempts in flight counts as stuck after this many usual latencies without a response.
constexpr double kStuckLatencies = 3;

struct Upstream {
  EndpointInfo info{};
  bool in_endpoint_list = true;
  int in_flight = 0;  // attempts of this gateway

  FloatSeconds latency{0};  // the mean over recent responses
  double samples = 0.0;     // the number of responses in that mean
  TimePoint sampled_at{0};

  TimePoint last_response{0};
  TimePoint waiting_since{0};  // the time of the first attempt since the last response

  double reported_in_flight = 0.0;
  bool reports_own_in_flight = false;  // the reported number includes this gateway's attempts
  TimePoint reported_at{0};

  int consecutive_failures = 0;
  int ejections = 0;  // consecutive ejections
  TimePoint ejected_until{0};
  TimePoint readmitted_at{0};  // the end of the last ejection, when slow start begins

  // Returns whether an attempt at `target` went to the present process.
  [[nodiscard]] bool IsIncarnationOf(const AttemptTarget& target) const {
    return info.id == target.upstream && info.started == target.started;
  }
  [[nodiscard]] bool IsEjected(TimePoint now) const { return now < ejected_until; }
  [[nodiscard]] bool IsAvoided(TimePoint now) const {
    return info.state != EndpointState::kUp || IsEjected(now);
  }
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_H_
