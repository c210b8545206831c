// Tests rendezvous placement: it is the same on every gateway, proportional to weights and stable under
// changes.
#include "idempotency/placement.h"

#include <catch2/catch.hpp>
#include <map>

namespace postspread::idempotency {
namespace {

constexpr std::uint64_t kKeys = 10'000;

KeyId Key(std::uint64_t number) { return {number * 0x9e3779b97f4a7c15ULL, ~number}; }

TEST_CASE("keys go to upstream groups in proportion to their ready upstreams, and to none without one") {
  const std::vector<UpstreamGroup> groups{{1, 1}, {2, 3}, {3, 0}};
  std::map<std::int64_t, int> keys;
  for (std::uint64_t number = 0; number < kKeys; ++number) ++keys[HomeGroup(Key(number), groups)->id];
  CHECK(keys[1] == Approx(kKeys / 4.0).epsilon(0.1));
  CHECK(keys[2] == Approx(kKeys * 3 / 4.0).epsilon(0.1));
  CHECK(keys[3] == 0);
  CHECK_FALSE(HomeGroup(Key(1), {}));
  CHECK_FALSE(HomeGroup(Key(1), std::vector<UpstreamGroup>{{3, 0}}));
}

TEST_CASE("when a group is removed, only its own keys migrate, whatever the order of the list") {
  const std::vector<UpstreamGroup> before{{1, 2}, {2, 2}, {3, 2}}, after{{3, 2}, {1, 2}};
  for (std::uint64_t number = 0; number < kKeys; ++number) {
    const std::int64_t home = HomeGroup(Key(number), before)->id;
    if (home != 2) CHECK(HomeGroup(Key(number), after)->id == home);
  }
}

TEST_CASE(
    "the best gateways of a key are the same for every order of the list and agree with TakesPrecedence") {
  for (std::uint64_t number = 0; number < kKeys; ++number) {
    const std::vector<int> best = BestGateways(Key(number), {0, 1, 2, 3, 4}, 3);
    REQUIRE(best.size() == 3);
    CHECK(best == BestGateways(Key(number), {4, 2, 0, 3, 1}, 3));
    CHECK(TakesPrecedence(Key(number), best[0], best[1]));
    CHECK(TakesPrecedence(Key(number), best[1], best[2]));
    CHECK_FALSE(TakesPrecedence(Key(number), best[2], best[0]));
  }
  CHECK(BestGateways(Key(1), {7}, 3) == std::vector<int>{7});
}

}  // namespace
}  // namespace postspread::idempotency
