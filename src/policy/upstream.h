// What a gateway knows of one server.
#ifndef POSTSPREAD_POLICY_UPSTREAM_H_
#define POSTSPREAD_POLICY_UPSTREAM_H_

#include "postspread/control.h"
#include "statistics/float_seconds.h"

namespace postspread::policy {

// After so many times the usual latency without an answer a server that holds work counts as stuck.
constexpr double kStuckLatencies = 3;

struct Upstream {
  ServerInfo info{};
  bool in_endpoint_list = true;
  int in_flight = 0;  // this gateway's attempts

  FloatSeconds latency{0};  // mean over answers ...
  double samples = 0.0;     // ... that it stands for
  TimePoint sampled_at{0};

  TimePoint last_answer{0};
  TimePoint waiting_since{0};  // the first attempt sent since the last answer

  double reported_in_flight = 0.0;
  bool reports_own_in_flight = false;  // the report includes this gateway's attempts
  TimePoint reported_at{0};

  int consecutive_failures = 0;
  int ejections = 0;  // in a row
  TimePoint ejected_until{0};
  TimePoint readmitted_at{0};  // end of the last ejection: slow start begins

  [[nodiscard]] bool IsEjected(TimePoint now) const { return now < ejected_until; }
  [[nodiscard]] bool IsAvoided(TimePoint now) const {
    return info.state != ServerState::kUp || IsEjected(now);
  }
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_H_
