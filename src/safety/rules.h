// The rules on what may be sent, retried, closed or admitted, by name, and how often each applied. The
// decisions themselves: attempt_rules.h and connection_rules.h. No clock, no I/O.
#ifndef POSTSPREAD_SAFETY_RULES_H_
#define POSTSPREAD_SAFETY_RULES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace postspread::safety {

enum class Rule {
  kClientWaits,        // an attempt starts only while a client waits for its response
  kUpstreamReady,      // ... only at an upstream that is ready, over a connection to its current process
  kRepeatWindow,       // ... only where its first byte arrives within the window of its idempotency key
  kDeadline,           // ... only before its deadline, and with the time that is left
  kRunsOnce,           // what is not idempotent is retried only where no attempt is in flight or may have run
  kAnswerBeforeClose,  // a connection is closed only when every request taken from it has its response
  kAnswerDelivered,    // ... and its client has acknowledged every byte of the responses
  kDrainInTime,        // a drain leaves no connection idle or with a recent request
  kAnswerBeforeExit,   // a process ends only when every request has its response
};
inline constexpr std::size_t kRules = 9;

constexpr std::string_view Name(Rule rule) {
  constexpr std::string_view kNames[kRules] = {"client_waits",     "upstream_ready", "repeat_window",
                                               "deadline",         "runs_once",      "answer_before_close",
                                               "answer_delivered", "drain_in_time",  "answer_before_exit"};
  return kNames[static_cast<std::size_t>(rule)];
}

// Counted by whoever executes what the rules decide.
struct RuleCounts {
  std::array<std::uint64_t, kRules> prevented{};  // what would have violated the rule was not done
  std::array<std::uint64_t, kRules> violated{};   // what was done violated the rule
  void Prevented(Rule rule) { ++prevented[static_cast<std::size_t>(rule)]; }
  void Violated(Rule rule) { ++violated[static_cast<std::size_t>(rule)]; }
};

}  // namespace postspread::safety

#endif  // POSTSPREAD_SAFETY_RULES_H_
