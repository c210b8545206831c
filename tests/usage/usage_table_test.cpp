// Tests of the broadcasts of customers' demand: their rate and content, the bounds, and corrupt datagrams.
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

// Gateways that were started at the same time. Each receives all datagrams of the others.
struct Group {
  explicit Group(int size) {
    for (int i = 0; i < size; ++i) {
      tables.push_back(
          std::make_unique<UsageTable>(UsageOptions{size, 40, static_cast<std::uint64_t>(i)}, kStart));
    }
  }
  // Runs for `length` in steps of 10 ms. Returns the maximum number of datagrams in a second.
  std::size_t Run(
      std::chrono::seconds length, const std::function<void()>& before_step = [] {}) {
    std::vector<std::size_t> by_second(static_cast<std::size_t>(length.count()), 0);
    for (const TimePoint begun = now; now < begun + length; now += milliseconds(10)) {
      before_step();
      for (auto& table : tables) {
        const std::optional<std::string> bytes = table->Next(now);
        if (!bytes) continue;
        ++by_second[static_cast<std::size_t>((now - begun) / seconds(1))];
        sent += bytes->size();
        longest = std::max(longest, bytes->size());
        for (auto& other : tables) {
          if (other != table) CHECK(other->HandleDatagram(*bytes, now));
        }
      }
    }
    return *std::max_element(by_second.begin(), by_second.end());
  }
  TimePoint now = kStart;
  std::vector<std::unique_ptr<UsageTable>> tables;
  std::size_t sent = 0;     // bytes of all datagrams
  std::size_t longest = 0;  // bytes of the longest datagram
};

TEST_CASE("after an idle time, a hundred gateways that observe customers do not all broadcast at once") {
  Group group(100);
  group.now += seconds(60);
  std::uint32_t customer = 0;
  for (auto& table : group.tables) table->Observe(++customer, 2.0, group.now);
  CHECK(group.Run(seconds(5)) <= 40);  // datagrams that one gateway can receive in a second
}

TEST_CASE("gateways that start and observe customers together broadcast out of step and within the budget") {
  for (const int size : {3, 100, 200}) {
    Group group(size);
    std::uint32_t customer = 0;
    const std::size_t busiest = group.Run(seconds(8), [&] {
      // Each gateway observes five customers a second, which is more than can be broadcast.
      for (auto& table : group.tables) {
        if (group.now.count() % 200'000 == 0) table->Observe(++customer % 3'000, 2.0, group.now);
      }
    });
    INFO(size << " gateways, " << busiest << " datagrams in a second");
    CHECK(busiest <= 40);
    CHECK(group.longest <= kMaxDatagram);
  }
}

TEST_CASE("a demand is broadcast again only after a significant change or the repeat interval") {
  Group group(2);
  group.tables[0]->Observe(1, 2.0, group.now);
  group.tables[1]->Observe(1, 2.0, group.now);  // both observe the customer, and one broadcast is enough
  group.Run(seconds(1));
  CHECK(group.sent == 9);
  group.tables[1]->Observe(1, 2.1, group.now);
  group.Run(seconds(1));
  CHECK(group.sent == 9);
  group.tables[1]->Observe(1, 4.0, group.now);
  group.Run(seconds(1));
  CHECK(group.sent == 18);
  group.Run(seconds(4));
  group.tables[0]->Observe(1, 4.0, group.now);
  group.Run(seconds(1));
  CHECK(group.sent == 27);
}

TEST_CASE("a customer within its rate is broadcast only if it exceeded the rate before") {
  Group group(2);
  for (const double demand : {0.5, 5.0, 0.5}) {
    group.tables[0]->Observe(1, demand, group.now);
    group.Run(seconds(1));
  }
  CHECK(group.sent == 18);
  CHECK(group.tables[1]->Demand(1, group.now) == Approx(0.5).epsilon(0.05));
  CHECK(group.tables[1]->Demand(1, group.now + seconds(13)) < 0);
}

TEST_CASE(
    "when more customers are observed than a table may hold, it evicts the least recently updated ones") {
  UsageTable table(UsageOptions{100, 40, 1}, kStart);
  for (std::uint32_t i = 0; i < 3 * kMaxEntries; ++i) table.Observe(i, 2.0, kStart + milliseconds(i / 10));
  CHECK(table.size() == kMaxEntries);
  CHECK(table.Demand(3 * kMaxEntries - 1, kStart + seconds(1)) == Approx(2.0).epsilon(0.05));
}

TEST_CASE("corrupt datagrams leave the table within its bound, and those of other subsystems are ignored") {
  UsageTable table(UsageOptions{100, 40, 1}, kStart);
  CHECK_FALSE(table.HandleDatagram("PSK\1whatever", kStart));
  CHECK_FALSE(table.HandleDatagram("", kStart));
  // The datagram is truncated within an entry, so all of it is ignored.
  CHECK(table.HandleDatagram(std::string("PSD\1") + "abcd", kStart));
  CHECK(table.size() == 0);
  std::mt19937 random(20261201);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = "PSD\1";
    bytes.resize(4 + random() % 300);
    for (std::size_t at = 4; at < bytes.size(); ++at) bytes[at] = static_cast<char>(random());
    table.HandleDatagram(std::string_view(bytes).substr(0, random() % bytes.size()),
                         kStart + milliseconds(i));
  }
  CHECK(table.size() <= kMaxEntries);
}

}  // namespace
}  // namespace postspread::usage
