// Tests of the datagram budget: its rate and its order of precedence.
#include "flow/datagram_budget.h"

#include <catch2/catch.hpp>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

TEST_CASE("given datagrams of all kinds, they keep to the rate: membership before idempotency before usage") {
  DatagramBudget budget(40);
  Clock::time_point now{std::chrono::seconds(100)};
  const auto send_until_throttled = [&](DatagramKind kind, std::size_t receivers = 1) {
    int sent = 0;
    while (sent < 1'000 && budget.TryConsume(kind, receivers, now)) ++sent;
    return sent;
  };
  // Usage must leave 0.4 of a second's tokens to the kinds before it, and idempotency must leave 0.25.
  CHECK(send_until_throttled(DatagramKind::kUsage) == 24);
  CHECK(send_until_throttled(DatagramKind::kIdempotency) == 6);
  CHECK(send_until_throttled(DatagramKind::kMembership) == 10);
  CHECK_FALSE(budget.TryConsume(DatagramKind::kMembership, 1, now));
  CHECK(budget.throttled() > 0);
  // During a second in which every kind sends all it can, no more than the rate is sent.
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    sent += send_until_throttled(DatagramKind::kUsage) + send_until_throttled(DatagramKind::kIdempotency) +
            send_until_throttled(DatagramKind::kMembership);
  }
  CHECK(sent >= 39);
  CHECK(sent <= 41);
  // A datagram to many receivers is sent to all of them, and later datagrams wait for the refill.
  now += std::chrono::seconds(10);
  CHECK(budget.TryConsume(DatagramKind::kUsage, 299, now));
  now += std::chrono::seconds(6);
  CHECK_FALSE(budget.TryConsume(DatagramKind::kMembership, 1, now));
  now += std::chrono::seconds(1);
  CHECK(budget.TryConsume(DatagramKind::kMembership, 1, now));
  // A rate of 0 means that there is no limit.
  DatagramBudget unlimited(0);
  CHECK(unlimited.TryConsume(DatagramKind::kUsage, 10'000, now));
}

}  // namespace
}  // namespace postspread::flow
