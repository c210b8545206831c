// Timer tokens: encode the kind of a timer and the request that it belongs to.
#ifndef POSTSPREAD_POLICY_TIMER_TOKEN_H_
#define POSTSPREAD_POLICY_TIMER_TOKEN_H_

#include <cstdint>

#include "postspread/control.h"

namespace postspread::policy {

enum class TimerKind : std::uint16_t {
  kMaintenance = 1,
  kFinalResponse,
  kCounterTimeout,
  kDelayOver,
  kStuckAttempt,
  kSelectAgain,
  kObjectivePassed,
  kResubscribe,
};

constexpr int kRequestIdBits = 48;

constexpr std::uint64_t TimerToken(TimerKind kind, RequestId id) {
  return static_cast<std::uint64_t>(kind) << kRequestIdBits | id;
}
constexpr TimerKind TimerKindOf(std::uint64_t token) {
  return static_cast<TimerKind>(token >> kRequestIdBits);
}
constexpr RequestId TimerRequestOf(std::uint64_t token) { return token & ((1ULL << kRequestIdBits) - 1); }

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_TIMER_TOKEN_H_
