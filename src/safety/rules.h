// The names of the rules on what the gateway may send, retry, close or admit, and counts of how often each
// rule applied. The decisions are in attempt_rules.h and connection_rules.h. This module reads no clock and
// does no I/O.
#ifndef POSTSPREAD_SAFETY_RULES_H_
#define POSTSPREAD_SAFETY_RULES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace postspread::safety {

enum class Rule {
  kClientWaits,    // an attempt starts and continues only while a client waits for its response
  kUpstreamReady,  // an attempt starts only at a ready upstream, over a connection to its current process
  kRetryWindow,    // the last byte of an attempt arrives only while its idempotency key is valid
  kDeadline,       // an attempt starts before its request's deadline, and states at most the time left
  kRunsOnce,       // a non-idempotent request is retried only if no attempt is in flight or may have run
  kResponseBeforeClose,  // a connection is closed only when every request read from it has its response
  kResponseDelivered,    // a connection is closed only when its client has acknowledged all responses
  kDrainInTime,          // at the deadline of a drain no connection is idle or has a recent request
  kResponseBeforeExit,   // a process exits only when every request has its response
};
inline constexpr std::size_t kRules = 9;

constexpr std::string_view Name(Rule rule) {
  constexpr std::string_view kNames[kRules] = {"client_waits",     "upstream_ready", "repeat_window",
                                               "deadline",         "runs_once",      "answer_before_close",
                                               "answer_delivered", "drain_in_time",  "answer_before_exit"};
  return kNames[static_cast<std::size_t>(rule)];
}

// Counts of how often each rule applied. The code that executes the decisions increments them.
struct RuleCounts {
  std::array<std::uint64_t, kRules> prevented{};  // the rule forbade an operation, which was not done
  std::array<std::uint64_t, kRules> violated{};   // an operation was done that violated the rule
  void Prevented(Rule rule) { ++prevented[static_cast<std::size_t>(rule)]; }
  void Violated(Rule rule) { ++violated[static_cast<std::size_t>(rule)]; }
};

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_RULES_H_
