// Tests of the order of eviction, in simulated time.
#include "flow/eviction.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

TEST_CASE("given connections in every state, they are evicted in order, and never with a pending response") {
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

// 400 clients a second connect to a gateway that has capacity for 80. They begin a command and stop, or send
// nothing. One client in ten is conforming and writes steadily for two seconds.
TEST_CASE(
    "given clients that never finish a command, a conforming one that takes two seconds is not evicted") {
  struct SimulatedClient {
    bool is_conforming = false, has_partial = false;
    milliseconds connected_at{0}, last_byte_at{0};
  };
  std::mt19937 random(31);
  std::vector<SimulatedClient> clients;
  int accepted = 0, finished = 0, evicted = 0;
  for (milliseconds now{0}; now < milliseconds(20'000); now += milliseconds(5)) {
    const auto rank = [now](const SimulatedClient& client) {
      return RankForEviction(
          {.has_partial = client.has_partial,
           .since_command = now - client.connected_at,
           .since_partial = client.has_partial ? now - client.connected_at : milliseconds(0),
           .since_byte = now - client.last_byte_at});
    };
    for (int i = 0; i < 2; ++i) {
      if (clients.size() >= 80) {
        const auto candidate = std::min_element(clients.begin(), clients.end(),
                                                [&](const SimulatedClient& a, const SimulatedClient& b) {
                                                  return rank(a) && (!rank(b) || *rank(a) < *rank(b));
                                                });
        if (!rank(*candidate)) continue;
        evicted += candidate->is_conforming;
        clients.erase(candidate);
      }
      const bool is_conforming = random() % 10 == 0;
      accepted += is_conforming;
      clients.push_back({is_conforming, is_conforming || random() % 3 != 0, now, now});
    }
    for (SimulatedClient& client : clients) {
      if (client.is_conforming && now - client.last_byte_at >= milliseconds(100)) client.last_byte_at = now;
    }
    finished += static_cast<int>(std::erase_if(clients, [now](const SimulatedClient& client) {
      return client.is_conforming && now - client.connected_at >= milliseconds(2'000);
    }));
  }
  CHECK(accepted > 300);
  CHECK(evicted == 0);
  CHECK(finished > accepted * 8 / 10);  // The others are still writing at the end.
}

}  // namespace
}  // namespace postspread::flow
