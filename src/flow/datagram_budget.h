// One budget for all datagrams to other gateways, whoever sends them: what the settings let a gateway
// take in a second, each may cause among the others, too. No sockets and no clock.
//
// Order of precedence: the membership view, then the store of keys, then what is told of customers. Who
// comes later leaves a part of the budget to those before it.
#ifndef POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_
#define POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace postspread::flow {

enum class Datagram : std::uint8_t { kFleet, kKeys, kDemand };

class DatagramBudget {
 public:
  // `per_second`: datagrams that one gateway takes in; 0: no bound is known, and none is kept.
  explicit DatagramBudget(double per_second) : per_second_(per_second), tokens_(per_second) {}

  // Whether a datagram to so many gateways may go now. One to many may take more than is left, and then
  // the next ones wait for it.
  bool Take(Datagram datagram, std::size_t receivers, std::chrono::steady_clock::time_point now);
  void SetPace(double per_second) { per_second_ = per_second; }
  [[nodiscard]] std::uint64_t held_back() const { return held_back_; }

 private:
  double per_second_;
  double tokens_;
  std::chrono::steady_clock::time_point filled_{};
  std::uint64_t held_back_ = 0;
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_DATAGRAM_BUDGET_H_
