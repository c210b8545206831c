#include "membership/send_budget.h"

#include <algorithm>

namespace postspread::membership {
namespace {

// For each Priority, the fraction of a second's budget that is reserved for more urgent datagrams.
constexpr double kReserve[] = {0, 0.15, 0.3, 0.5};

}  // namespace

SendBudget::SendBudget(Context& context, TimePoint now)
    : context_(context), tokens_(context.limits.datagrams_per_second), refilled_at_(now) {}

void SendBudget::Refill(TimePoint now) {
  if (now <= refilled_at_) return;
  const double per_second = context_.limits.datagrams_per_second;
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(per_second, tokens_ + seconds * per_second);
  refilled_at_ = now;
}

bool SendBudget::TryConsume(Priority priority) {
  if (!context_.HasDefense(DisabledDefense::kBudget)) return true;
  const double reserve = kReserve[static_cast<std::size_t>(priority)] * context_.limits.datagrams_per_second;
  if (tokens_ < 1 + reserve) {
    ++context_.counts.throttled;
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace postspread::membership
