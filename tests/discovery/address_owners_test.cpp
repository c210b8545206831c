// Tests of the decision which upstream an address belongs to.
#include "discovery/address_owners.h"

#include <catch2/catch.hpp>

namespace postspread::discovery {
namespace {

using std::chrono::milliseconds;

TEST_CASE(
    "given a new upstream at another's address, it displaces the other until that one is listed elsewhere") {
  AddressOwners owners;
  CHECK(owners.OnAdded({.name = "a", .address = "x"}).is_owner);
  const AddressOwners::Decision decision = owners.OnAdded({.name = "b", .address = "x"});
  CHECK(decision.is_owner);
  CHECK(decision.displaced == "a");
  CHECK_FALSE(owners.OnAdded({.name = "a", .address = "x"}).is_owner);
  CHECK(owners.OnAdded({.name = "b", .address = "x"}).is_owner);
  const AddressOwners::Decision moved = owners.OnAdded({.name = "a", .address = "y"});
  CHECK(moved.is_owner);
  CHECK_FALSE(moved.displaced);
}

TEST_CASE("given two upstreams at one address, the one that started later owns it in any order") {
  for (const bool later_first : {true, false}) {
    AddressOwners owners;
    const AddressOwners::Claim earlier{.name = "a", .address = "x", .started = milliseconds(1)};
    const AddressOwners::Claim later{.name = "b", .address = "x", .started = milliseconds(2)};
    owners.OnAdded(later_first ? later : earlier);
    owners.OnAdded(later_first ? earlier : later);
    CHECK(owners.OnAdded(later).is_owner);
    CHECK_FALSE(owners.OnAdded(earlier).is_owner);
  }
}

TEST_CASE("when the owner of an address is removed or moves, another upstream may own it") {
  AddressOwners owners;
  owners.OnAdded({.name = "a", .address = "x", .started = milliseconds(5)});
  owners.OnRemoved("a");
  CHECK_FALSE(owners.OnAdded({.name = "b", .address = "x"}).displaced);
  owners.OnAdded({.name = "b", .address = "y"});
  CHECK(owners.OnAdded({.name = "c", .address = "x"}).is_owner);
}

}  // namespace
}  // namespace postspread::discovery
