// These tests guard against traffic that grows with the group's size, or beyond the budget under a flood of
// requests.
#include "membership/send_budget.h"

#include <catch2/catch.hpp>
#include <cstdint>

#include "membership/model.h"
#include "membership/wire.h"

namespace postspread::membership {
namespace {

using namespace testing;

// Returns the bytes that each member sends in 20 s at 10 % loss, without changes in the group.
double BytesPerMember(int members) {
  Model model(members, 6, {}, kLossy);
  model.StartAll();
  REQUIRE(model.Until([&] { return model.AllAgree(); }, 25) >= 0);
  model.Run(seconds(20));
  const std::uint64_t before = model.bytes;
  model.Run(seconds(20));
  return static_cast<double>(model.bytes - before) / members;
}

TEST_CASE("given a group of 150 members, each sends less than 1.3 times as much as in one of 30") {
  CHECK(BytesPerMember(150) / BytesPerMember(30) < 1.3);
}

TEST_CASE("given a flood of requests, a member sends no more than its budget and continues to probe") {
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kBudget}) {
    Model model(3, 6, {}, kFaultFree, disabled);
    model.StartAll();
    model.Run(seconds(5));
    const std::uint64_t before = model.member(0).counts().sent;
    const Message ping{
        .body = Ping{},
        .number = 1,
        .sender = {"gk-1", 0, {model.member(1).incarnation(), 0, State::kAlive}, EntryKind::kGossip}};
    for (int i = 0; i < 10'000; ++i) {
      model.Inject(0, 1, Writer(DigestGroup("fleet"), ping, 256).Seal());
      model.Run(milliseconds(1));
    }
    const std::uint64_t sent = model.member(0).counts().sent - before;
    CHECK((disabled == DisabledDefense::kNothing ? sent <= 220 : sent > 5'000));
    // No member is declared dead because probes were throttled.
    CHECK((disabled != DisabledDefense::kNothing || model.AllAgree()));
  }
}

}  // namespace
}  // namespace postspread::membership
