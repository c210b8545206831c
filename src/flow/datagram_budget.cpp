#include "flow/datagram_budget.h"

#include <algorithm>

namespace postspread::flow {
namespace {

// A datagram of a kind must leave this fraction of a second's tokens to the kinds of higher precedence. The
// index is the DatagramKind.
constexpr double kReservedFraction[] = {0, 0.25, 0.4};

}  // namespace

bool DatagramBudget::TryConsume(DatagramKind kind, std::size_t receivers,
                                std::chrono::steady_clock::time_point now) {
  if (per_second_ <= 0) return true;
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  tokens_ = std::min(per_second_, tokens_ + seconds * per_second_);
  if (tokens_ <
      std::min(1.0, per_second_) + kReservedFraction[static_cast<std::size_t>(kind)] * per_second_) {
    ++throttled_;
    return false;
  }
  tokens_ -= static_cast<double>(receivers);
  return true;
}

}  // namespace postspread::flow
