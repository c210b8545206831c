// What a concern has decided on a request; src/policy/controller.cpp carries it out.
#ifndef POSTSPREAD_POLICY_ADMISSION_DECISION_H_
#define POSTSPREAD_POLICY_ADMISSION_DECISION_H_

#include "postspread/control.h"

namespace postspread::policy {

struct AdmissionDecision {
  enum class Kind { kPending, kSend, kDelay, kReject };

  Kind kind = Kind::kPending;
  TimePoint delayed_until{0};  // kDelay
  Duration retry_after{0};     // kReject: at least

  // Nothing yet: the counter's reply or its timeout decides.
  static AdmissionDecision Pending() { return {}; }
  static AdmissionDecision Send() { return {.kind = Kind::kSend}; }
  static AdmissionDecision Delay(TimePoint until) { return {.kind = Kind::kDelay, .delayed_until = until}; }
  static AdmissionDecision Reject(Duration retry_after) {
    return {.kind = Kind::kReject, .retry_after = retry_after};
  }
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_ADMISSION_DECISION_H_
