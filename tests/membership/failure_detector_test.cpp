// These tests guard against late detection of failures and against false deaths. Most disable a defense in
// turn to show that they detect its absence.
#include "membership/failure_detector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "membership/model.h"

namespace postspread::membership {
namespace {

using namespace testing;

double Percentile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

TEST_CASE(
    "given no loss, a killed member is out of every view within 8 periods, and seven in ten members "
    "within 20") {
  std::vector<double> one;
  std::vector<double> many;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Model model(16, seed, {}, kFaultFree);
    model.StartAll();
    REQUIRE(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
    model.Run(seconds(5) + milliseconds(static_cast<int>(model.random()() % 1000)));
    model.Kill(3);
    one.push_back(model.Until([&] { return !model.IsLiveInAnyView(3); }, 60));
    for (const int i : Range(5, 15)) model.Kill(i);
    many.push_back(model.Until([&] { return model.AllAgree(); }, 60));
    CHECK(one.back() > 0);
    CHECK(many.back() > 0);
    CHECK(model.false_deaths == 0);
  }
  CHECK(Percentile(one, 0.99) <= 8);
  CHECK(Percentile(many, 0.99) <= 20);
}

// Returns the false deaths in ten minutes at 10 % loss, with one member at a time suspended for less than the
// suspicion timeout.
std::uint64_t FalseDeaths(DisabledDefense disabled, std::uint64_t seed) {
  Model model(8, seed, {}, kLossy, disabled);
  model.StartAll();
  for (int minute = 0; minute < 10; ++minute) {
    model.Run(seconds(20));
    model.Suspend(minute % 8);
    model.Run(milliseconds(2'900));
    model.Resume(minute % 8);
    model.Run(milliseconds(37'100));
  }
  CHECK(model.largest_datagram <= 256);
  return model.false_deaths;
}

TEST_CASE("given loss, a short suspension or an isolated observer, no live member is declared dead") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) CHECK(FalseDeaths(DisabledDefense::kNothing, seed) == 0);
  std::uint64_t without_confirmation = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    without_confirmation += FalseDeaths(DisabledDefense::kConfirmation, seed);
  }
  CHECK(without_confirmation > 0);
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kLocalHealth}) {
    // Member 0 is isolated, and member 5 is starved of CPU: it runs for 10 ms after each 2 s.
    Model model(6, 3, {}, kFaultFree, disabled);
    model.StartAll();
    model.Run(seconds(5));
    model.cut = [](int from, int to) { return (from == 0) != (to == 0); };
    for (int i = 0; i < 10; ++i) {
      model.Suspend(5);
      model.Run(seconds(2));
      model.Resume(5);
      model.Run(milliseconds(10));
    }
    const std::uint64_t deaths = model.member(0).counts().deaths_declared;
    CHECK((disabled == DisabledDefense::kNothing ? deaths == 0 : deaths > 0));
    const View view = model.member(0).view();
    const auto suspects = std::count_if(view.members.begin(), view.members.end(), [](const Member& member) {
      return member.update.state == State::kSuspect;
    });
    if (disabled == DisabledDefense::kNothing) CHECK(suspects == 5);
  }
}

using TimedCut = std::function<bool(int from, int to, TimePoint at)>;

// Returns how often the views of five members change in a minute with these cuts.
std::uint64_t ViewChanges(const TimedCut& cut, DisabledDefense disabled) {
  Model model(5, 7, {}, kLossy, disabled);
  const auto epochs = [&] {
    std::uint64_t sum = 0;
    for (const int i : Range(0, 5)) sum += model.member(i).epoch();
    return sum;
  };
  model.StartAll();
  model.Run(seconds(10));
  const std::uint64_t before = epochs();
  model.cut = [&](int from, int to) { return cut(from, to, model.now()); };
  model.Run(seconds(60));
  return epochs() - before;
}

TEST_CASE("given cuts that leave an indirect path or alternate each second, no view changes") {
  const TimedCut one_way = [](int from, int to, TimePoint) { return from == 0 && to == 1; };
  const TimedCut pair = [](int from, int to, TimePoint) { return from + to == 1; };
  const TimedCut alternating = [](int from, int to, TimePoint at) {
    return (from < 2) != (to < 2) && at / seconds(1) % 2 == 0;
  };
  CHECK(ViewChanges(one_way, DisabledDefense::kNothing) == 0);
  CHECK(ViewChanges(pair, DisabledDefense::kNothing) == 0);
  CHECK(ViewChanges(pair, DisabledDefense::kIndirectProbes) > 0);
  CHECK(ViewChanges(alternating, DisabledDefense::kNothing) == 0);
}

}  // namespace
}  // namespace postspread::membership
