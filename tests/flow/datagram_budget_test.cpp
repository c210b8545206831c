// The one budget of datagrams: its pace, and who goes before whom.
#include "flow/datagram_budget.h"

#include <catch2/catch.hpp>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

TEST_CASE(
    "all datagrams together keep to the pace, and the view goes before keys and keys before the telling") {
  DatagramBudget budget(40);
  Clock::time_point now{std::chrono::seconds(100)};
  const auto take = [&](Datagram datagram, std::size_t receivers = 1) {
    int out = 0;
    while (out < 1'000 && budget.Take(datagram, receivers, now)) ++out;
    return out;
  };
  // What each leaves to those before it: 0.4 and 0.25 of a second's datagrams.
  CHECK(take(Datagram::kDemand) == 24);
  CHECK(take(Datagram::kKeys) == 6);
  CHECK(take(Datagram::kFleet) == 10);
  CHECK_FALSE(budget.Take(Datagram::kFleet, 1, now));
  CHECK(budget.held_back() > 0);
  // A second of floods: no more than the pace, whoever sends.
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    sent += take(Datagram::kDemand) + take(Datagram::kKeys) + take(Datagram::kFleet);
  }
  CHECK(sent >= 39);
  CHECK(sent <= 41);
  // One to many goes whole, and the next ones wait for it.
  now += std::chrono::seconds(10);
  CHECK(budget.Take(Datagram::kDemand, 299, now));
  now += std::chrono::seconds(6);
  CHECK_FALSE(budget.Take(Datagram::kFleet, 1, now));
  now += std::chrono::seconds(1);
  CHECK(budget.Take(Datagram::kFleet, 1, now));
  // Without a bound none is kept.
  DatagramBudget free(0);
  CHECK(free.Take(Datagram::kDemand, 10'000, now));
}

}  // namespace
}  // namespace postspread::flow
