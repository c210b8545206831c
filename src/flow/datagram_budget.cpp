#include "flow/datagram_budget.h"

#include <algorithm>

namespace postspread::flow {
namespace {

// Part of a second's tokens that must be left for the kinds of higher precedence; by DatagramKind.
constexpr double kReserved[] = {0, 0.25, 0.4};

}  // namespace

bool DatagramBudget::Take(DatagramKind kind, std::size_t receivers,
                          std::chrono::steady_clock::time_point now) {
  if (per_second_ <= 0) return true;
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  tokens_ = std::min(per_second_, tokens_ + seconds * per_second_);
  if (tokens_ < std::min(1.0, per_second_) + kReserved[static_cast<std::size_t>(kind)] * per_second_) {
    ++throttled_;
    return false;
  }
  tokens_ -= static_cast<double>(receivers);
  return true;
}

}  // namespace postspread::flow
