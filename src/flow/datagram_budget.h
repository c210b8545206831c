// This module limits the rate of datagrams to other gateways. It has no sockets and no clock.
#ifndef POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_
#define POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace postspread::flow {

// Lists the purposes of datagrams in descending order of precedence: the membership view, the idempotency
// store, and the broadcast of customers' usage.
enum class DatagramKind : std::uint8_t { kMembership, kIdempotency, kUsage };

// Limits all datagrams to other gateways by one token bucket. A gateway causes no more deliveries a second
// than the settings allow a gateway to receive. Each kind leaves a part of the bucket to the kinds before it.
class DatagramBudget {
 public:
  // `per_second` is the number of datagrams that one gateway may receive a second; 0 means unlimited.
  explicit DatagramBudget(double per_second) : per_second_(per_second), tokens_(per_second) {}

  // Takes one token for each receiver and returns true, or returns false: the datagram must not be sent now.
  // A datagram to many receivers may take more tokens than are left; later datagrams wait for the refill.
  bool TryConsume(DatagramKind kind, std::size_t receivers, std::chrono::steady_clock::time_point now);
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
