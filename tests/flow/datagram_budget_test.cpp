// The budget of datagrams: its rate and its order of precedence.
#include "flow/datagram_budget.h"

#include <catch2/catch.hpp>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

TEST_CASE("all kinds together keep to the rate: membership before idempotency, and that before usage") {
  DatagramBudget budget(40);
  Clock::time_point now{std::chrono::seconds(100)};
  const auto take = [&](DatagramKind kind, std::size_t receivers = 1) {
    int sent = 0;
    while (sent < 1'000 && budget.Take(kind, receivers, now)) ++sent;
    return sent;
  };
  // Reserved for those before each: 0.4 and 0.25 of a second's tokens.
  CHECK(take(DatagramKind::kUsage) == 24);
  CHECK(take(DatagramKind::kIdempotency) == 6);
  CHECK(take(DatagramKind::kMembership) == 10);
  CHECK_FALSE(budget.Take(DatagramKind::kMembership, 1, now));
  CHECK(budget.throttled() > 0);
  // A second of floods: no more than the rate, whatever the kinds.
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    sent += take(DatagramKind::kUsage) + take(DatagramKind::kIdempotency) + take(DatagramKind::kMembership);
  }
  CHECK(sent >= 39);
  CHECK(sent <= 41);
  // One to many is sent to all, and the next ones wait for the refill.
  now += std::chrono::seconds(10);
  CHECK(budget.Take(DatagramKind::kUsage, 299, now));
  now += std::chrono::seconds(6);
  CHECK_FALSE(budget.Take(DatagramKind::kMembership, 1, now));
  now += std::chrono::seconds(1);
  CHECK(budget.Take(DatagramKind::kMembership, 1, now));
  // Unlimited.
  DatagramBudget unlimited(0);
  CHECK(unlimited.Take(DatagramKind::kUsage, 10'000, now));
}

}  // namespace
}  // namespace postspread::flow
