// Tests of the byte budget: reservations never exceed the total, and no waiter starves.
#include "flow/byte_budget.h"

#include <catch2/catch.hpp>
#include <random>
#include <utility>

namespace postspread::flow {
namespace {

struct Client final : ByteBudget::Waiter {
  std::size_t wanted = 0;
  std::size_t reserved = 0;
  bool is_queued = false;
  void OnGranted() override {
    is_queued = false;
    reserved = wanted;
  }
};

TEST_CASE("given a queue, reservations are granted first come, first served, and small ones pass it") {
  ByteBudget budget(100);
  Client a;
  Client b;
  a.wanted = 60;
  b.wanted = 10;
  CHECK(budget.TryReserve(60));
  CHECK_FALSE(budget.ReserveOrQueue(a, 60));
  CHECK_FALSE(budget.ReserveOrQueue(b, 10));  // The budget would allow it, but `a` is ahead in the queue.
  CHECK(budget.TryReserve(40));
  budget.Release(60);
  CHECK(a.reserved == 0);  // Released bytes can be reserved for another purpose first.
  budget.GrantWaiting();
  CHECK(a.reserved == 60);
  CHECK(b.reserved == 0);
}

TEST_CASE("given waiters queueing and leaving in any order, the total is kept and no waiter starves") {
  std::mt19937 random(11);
  for (int round = 0; round < 40; ++round) {
    ByteBudget budget(1000);
    Client clients[40];
    bool total_kept = true;
    for (int step = 0; step < 2'200; ++step) {
      Client& client = clients[random() % 40];
      if (client.reserved > 0) {
        budget.Release(std::exchange(client.reserved, 0));
        budget.GrantWaiting();
      } else if (client.is_queued) {
        if (random() % 20 == 0) {
          budget.RemoveWaiter(client);
          client.is_queued = false;
        }
      } else if (step < 2'000) {
        client.wanted = 1 + random() % 1000;
        client.is_queued = !budget.ReserveOrQueue(client, client.wanted);
        if (!client.is_queued) client.reserved = client.wanted;
      }
      std::size_t reserved = 0;
      for (const Client& each : clients) reserved += each.reserved;
      total_kept = total_kept && reserved == budget.used() && reserved <= budget.total();
    }
    CHECK(total_kept);
    for (int i = 0; i < 4'000; ++i) {  // No client queues any more, so the queue empties.
      Client& client = clients[i % 40];
      if (client.reserved == 0) continue;
      budget.Release(std::exchange(client.reserved, 0));
      budget.GrantWaiting();
    }
    CHECK(budget.waiting() == 0);
    CHECK(budget.used() == 0);
  }
}

}  // namespace
}  // namespace postspread::flow
