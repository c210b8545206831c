// One token bucket for all datagrams to other gateways, whatever they carry: a gateway causes no more of them
// a second than the settings let a gateway receive. No sockets and no clock.
//
// Order of precedence: the membership view, the idempotency store, the broadcast of customers' usage. Each
// leaves a part of the bucket to those before it.
#ifndef POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_
#define POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace postspread::flow {

// In order of precedence.
enum class DatagramKind : std::uint8_t { kMembership, kIdempotency, kUsage };

class DatagramBudget {
 public:
  // `per_second`: datagrams that one gateway receives; 0: unlimited.
  explicit DatagramBudget(double per_second) : per_second_(per_second), tokens_(per_second) {}

  // Whether a datagram to so many gateways may be sent now. One to many may take more tokens than are left:
  // the following ones wait until they are refilled.
  bool Take(DatagramKind kind, std::size_t receivers, std::chrono::steady_clock::time_point now);
  void SetRate(double per_second) { per_second_ = per_second; }
  [[nodiscard]] std::uint64_t throttled() const { return throttled_; }

 private:
  double per_second_;
  double tokens_;
  std::chrono::steady_clock::time_point refilled_{};
  std::uint64_t throttled_ = 0;
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_
