#include "flow/datagram_budget.h"

#include <algorithm>

namespace postspread::flow {
namespace {

// Of a second's datagrams, what must be left for those that go before; by Datagram.
constexpr double kLeft[] = {0, 0.25, 0.4};

}  // namespace

bool DatagramBudget::Take(Datagram datagram, std::size_t receivers,
                          std::chrono::steady_clock::time_point now) {
  if (per_second_ <= 0) return true;
  const double seconds = std::chrono::duration<double>(now - filled_).count();
  filled_ = now;
  tokens_ = std::min(per_second_, tokens_ + seconds * per_second_);
  if (tokens_ < std::min(1.0, per_second_) + kLeft[static_cast<std::size_t>(datagram)] * per_second_) {
    ++held_back_;
    return false;
  }
  tokens_ -= static_cast<double>(receivers);
  return true;
}

}  // namespace postspread::flow
