// The order of eviction, in modelled time.
#include "flow/eviction.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the order of eviction, and a connection with a pending response is never evicted") {
  const ConnectionState order[] = {
      {.is_delivered = true},
      {.has_partial = true, .since_command = milliseconds(2'200), .since_partial = milliseconds(2'100)},
      {.since_command = milliseconds(700)},
      {.has_requested = true, .since_command = milliseconds(901)},
      {.has_requested = true, .since_command = milliseconds(900)},
      {.has_partial = true, .since_partial = milliseconds(900), .since_byte = milliseconds(400)},
      {.since_command = milliseconds(50)}};
  for (std::size_t i = 1; i < std::size(order); ++i)
    CHECK(*RankForEviction(order[i - 1]) < *RankForEviction(order[i]));
  CHECK_FALSE(
      RankForEviction({.is_pending = true, .has_requested = true, .since_command = milliseconds(60'000)}));
  CHECK_FALSE(RankForEviction(
      {.has_partial = true, .since_partial = milliseconds(1'900), .since_byte = milliseconds(100)}));
}

// 400 connections a second for 80 places; they begin a command and stop, or send nothing. One in ten is sound
// and writes steadily for two seconds.
TEST_CASE("among clients that never finish a command, a sound one that takes two seconds is not evicted") {
  struct One {
    bool is_sound = false, begun = false;
    milliseconds born{0}, last{0};
  };
  std::mt19937 random(31);
  std::vector<One> in;
  int accepted = 0, finished = 0, evicted = 0;
  for (milliseconds now{0}; now < milliseconds(20'000); now += milliseconds(5)) {
    const auto rank = [now](const One& one) {
      return RankForEviction({.has_partial = one.begun,
                              .since_command = now - one.born,
                              .since_partial = one.begun ? now - one.born : milliseconds(0),
                              .since_byte = now - one.last});
    };
    for (int i = 0; i < 2; ++i) {
      if (in.size() >= 80) {
        const auto best = std::min_element(in.begin(), in.end(), [&](const One& a, const One& b) {
          return rank(a) && (!rank(b) || *rank(a) < *rank(b));
        });
        if (!rank(*best)) continue;
        evicted += best->is_sound;
        in.erase(best);
      }
      const bool is_sound = random() % 10 == 0;
      accepted += is_sound;
      in.push_back({is_sound, is_sound || random() % 3 != 0, now, now});
    }
    for (One& one : in) {
      if (one.is_sound && now - one.last >= milliseconds(100)) one.last = now;
    }
    finished += static_cast<int>(std::erase_if(
        in, [now](const One& one) { return one.is_sound && now - one.born >= milliseconds(2'000); }));
  }
  CHECK(accepted > 300);
  CHECK(evicted == 0);
  CHECK(finished > accepted * 8 / 10);  // the rest are still writing at the end
}

}  // namespace
}  // namespace postspread::flow
