// What gateways tell one another of customers: pace, news, bounds, and datagrams that are spoilt.
#include "usage/usage_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <random>

namespace postspread::usage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = seconds(1'000);

// Boards started in one tick that hear all that any of them tells.
struct Fleet {
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) {
      tables.push_back(
          std::make_unique<UsageTable>(UsageOptions{size, 40, static_cast<std::uint64_t>(i)}, kStart));
    }
  }
  // Steps of 10 ms; returns the datagrams of the busiest second.
  std::size_t Run(
      std::chrono::seconds length, const std::function<void()>& before_step = [] {}) {
    std::vector<std::size_t> each(static_cast<std::size_t>(length.count()), 0);
    for (const TimePoint begun = now; now < begun + length; now += milliseconds(10)) {
      before_step();
      for (auto& table : tables) {
        const std::optional<std::string> bytes = table->Next(now);
        if (!bytes) continue;
        ++each[static_cast<std::size_t>((now - begun) / seconds(1))];
        sent += bytes->size();
        longest = std::max(longest, bytes->size());
        for (auto& other : tables) {
          if (other != table) CHECK(other->Received(*bytes, now));
        }
      }
    }
    return *std::max_element(each.begin(), each.end());
  }
  TimePoint now = kStart;
  std::vector<std::unique_ptr<UsageTable>> tables;
  std::size_t sent = 0, longest = 0;
};

TEST_CASE("hundreds that learn something at once after a quiet time do not all tell it at once") {
  Fleet fleet(100);
  fleet.now += seconds(60);
  std::uint32_t customer = 0;
  for (auto& table : fleet.tables) table->Observe(++customer, 2.0, fleet.now);
  CHECK(fleet.Run(seconds(5)) <= 40);  // what one takes in
}

TEST_CASE("hundreds that start in one tick and learn the same at once do not speak in step, nor too often") {
  for (const int size : {3, 100, 200}) {
    Fleet fleet(size);
    std::uint32_t customer = 0;
    const std::size_t busiest = fleet.Run(seconds(8), [&] {
      // Each hears of five customers a second: more than there is to tell.
      for (auto& table : fleet.tables) {
        if (fleet.now.count() % 200'000 == 0) table->Observe(++customer % 3'000, 2.0, fleet.now);
      }
    });
    INFO(size << " gatekeepers, " << busiest << " datagrams in a second");
    CHECK(busiest <= 40);
    CHECK(fleet.longest <= kMaxDatagram);
  }
}

TEST_CASE("what others have told already is not told again, but for news and after a while") {
  Fleet fleet(2);
  fleet.tables[0]->Observe(1, 2.0, fleet.now);
  fleet.tables[1]->Observe(1, 2.0, fleet.now);  // both learn it; the first to speak speaks for both
  fleet.Run(seconds(1));
  CHECK(fleet.sent == 9);
  fleet.tables[1]->Observe(1, 2.1, fleet.now);
  fleet.Run(seconds(1));
  CHECK(fleet.sent == 9);
  fleet.tables[1]->Observe(1, 4.0, fleet.now);
  fleet.Run(seconds(1));
  CHECK(fleet.sent == 18);
  fleet.Run(seconds(4));
  fleet.tables[0]->Observe(1, 4.0, fleet.now);
  fleet.Run(seconds(1));
  CHECK(fleet.sent == 27);
}

TEST_CASE("of calm customers nothing is told, but that one has become calm again") {
  Fleet fleet(2);
  for (const double demand : {0.5, 5.0, 0.5}) {
    fleet.tables[0]->Observe(1, demand, fleet.now);
    fleet.Run(seconds(1));
  }
  CHECK(fleet.sent == 18);
  CHECK(fleet.tables[1]->Demand(1, fleet.now) == Approx(0.5).epsilon(0.05));
  CHECK(fleet.tables[1]->Demand(1, fleet.now + seconds(13)) < 0);
}

TEST_CASE("a board holds no more customers than its bound, and the latest") {
  UsageTable table(UsageOptions{100, 40, 1}, kStart);
  for (std::uint32_t i = 0; i < 3 * kMaxEntries; ++i) table.Observe(i, 2.0, kStart + milliseconds(i / 10));
  CHECK(table.size() == kMaxEntries);
  CHECK(table.Demand(3 * kMaxEntries - 1, kStart + seconds(1)) == Approx(2.0).epsilon(0.05));
}

TEST_CASE("spoilt datagrams harm nothing, and other subsystems' are left alone") {
  UsageTable table(UsageOptions{100, 40, 1}, kStart);
  CHECK_FALSE(table.Received("PSK\1whatever", kStart));
  CHECK_FALSE(table.Received("", kStart));
  CHECK(table.Received(std::string("PSD\1") + "abcd", kStart));  // cut within an entry: refused whole
  CHECK(table.size() == 0);
  std::mt19937 random(20261201);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = "PSD\1";
    bytes.resize(4 + random() % 300);
    for (std::size_t at = 4; at < bytes.size(); ++at) bytes[at] = static_cast<char>(random());
    table.Received(std::string_view(bytes).substr(0, random() % bytes.size()), kStart + milliseconds(i));
  }
  CHECK(table.size() <= kMaxEntries);
}

}  // namespace
}  // namespace postspread::usage
