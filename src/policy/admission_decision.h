// The decision that admission control or the quota makes on a request; src/policy/controller.cpp executes it.
#ifndef POSTSPREAD_POLICY_ADMISSION_DECISION_H_
#define POSTSPREAD_POLICY_ADMISSION_DECISION_H_

#include "postspread/control.h"

namespace postspread::policy {

struct AdmissionDecision {
  enum class Kind { kPending, kSend, kDelay, kReject };

  Kind kind = Kind::kPending;
  TimePoint delayed_until{0};  // set for kDelay
  Duration retry_after{0};     // set for kReject; the minimum time until the client may retry

  // No decision is made yet: the counter's reply or its timeout leads to one.
  static AdmissionDecision Pending() { return {}; }
  static AdmissionDecision Send() { return {.kind = Kind::kSend}; }
  static AdmissionDecision Delay(TimePoint until) { return {.kind = Kind::kDelay, .delayed_until = until}; }
  static AdmissionDecision Reject(Duration retry_after) {
    return {.kind = Kind::kReject, .retry_after = retry_after};
  }
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_ADMISSION_DECISION_H_
