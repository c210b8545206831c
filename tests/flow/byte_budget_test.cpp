// Tests of the byte budget: reservations never exceed the total, and readers that hold parts of it never
// block each other.
#include "flow/byte_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace postspread::flow {
namespace {

// A message that is received in pieces; a reservation doubles whenever it is full.
struct Message final : ByteBudget::Reader {
  std::size_t size = 0;
  std::size_t reserved = 0;
  std::size_t requested = 0;
  bool waits = false;
  void OnGranted() override {
    waits = false;
    reserved = requested;
  }
  void Grow(ByteBudget& budget) {
    requested = std::min(size, reserved == 0 ? std::size_t{1} : 2 * reserved);
    waits = !budget.GrowOrWait(*this, {.reserved = requested, .message_size = size});
    if (!waits) reserved = requested;
  }
  void Withdraw(ByteBudget& budget) {
    reserved = 0;
    waits = false;
    budget.Withdraw(*this);
    budget.GrantWaiting();
  }
};

TEST_CASE(
    "given readers that wait, the one with the fewest missing bytes is first, and small reservations pass") {
  ByteBudget budget(100);
  Message a;
  Message b;
  CHECK(budget.TryReserve(80));
  CHECK_FALSE(budget.GrowOrWait(a, {.reserved = 60, .message_size = 60}));
  CHECK_FALSE(budget.GrowOrWait(b, {.reserved = 30, .message_size = 30}));
  a.requested = 60;
  b.requested = 30;
  CHECK(budget.waiting() == 2);
  CHECK(budget.TryReserve(10));
  budget.Release(20);
  CHECK(b.reserved == 0);  // Released bytes can be reserved for another purpose first.
  budget.GrantWaiting();
  CHECK(b.reserved == 30);  // It came later.
  CHECK(a.reserved == 0);
  b.Withdraw(budget);
  CHECK(a.reserved == 0);  // 70 bytes are in use.
  budget.Release(70);
  budget.GrantWaiting();
  CHECK(a.reserved == 60);
  CHECK(budget.waiting() == 0);
}

TEST_CASE("given readers that hold parts of long messages, one grows only if all could still finish") {
  ByteBudget budget(100);
  Message a;
  Message b;
  CHECK(budget.GrowOrWait(a, {.reserved = 50, .message_size = 90}));
  // With these 20 bytes, neither of the two could be finished.
  CHECK_FALSE(budget.GrowOrWait(b, {.reserved = 20, .message_size = 90}));
  b.requested = 20;
  CHECK(budget.GrowOrWait(a, {.reserved = 90, .message_size = 90}));
  CHECK(b.reserved == 0);
  a.Withdraw(budget);
  CHECK(b.reserved == 20);
}

// Guards against a few clients that announce long messages and stop: they used to reserve what they
// announced.
TEST_CASE(
    "given stopped readers of long messages, when a short message arrives, then it is granted at once") {
  ByteBudget budget(48'000);
  std::vector<Message> stopped(100);
  for (Message& message : stopped)
    CHECK(budget.GrowOrWait(message, {.reserved = 160, .message_size = 4'000}));
  Message shorter;
  CHECK(budget.GrowOrWait(shorter, {.reserved = 110, .message_size = 110}));
}

TEST_CASE(
    "given messages of any sizes, the total is kept, and all are received whether waiters leave or not") {
  std::mt19937 random(11);
  for (int round = 0; round < 80; ++round) {
    const bool waiters_leave = round % 2 == 1;
    ByteBudget budget(1000);
    std::vector<Message> messages(40);
    for (Message& message : messages) message.size = 1 + random() % 1000;
    std::vector<Message*> open;
    open.reserve(messages.size());
    for (Message& message : messages) open.push_back(&message);
    bool totals_match = true;
    int steps = 0;
    for (; !open.empty() && steps < 20'000; ++steps) {
      Message* message = open[random() % open.size()];
      if (message->reserved == message->size) {  // The message is complete.
        message->Withdraw(budget);
        std::erase(open, message);
      } else if (!message->waits && random() % 50 == 0) {  // The client stops and is given up.
        message->Withdraw(budget);
        message->size = 1 + random() % 1000;
      } else if (message->waits && waiters_leave && random() % 20 == 0) {
        message->Withdraw(budget);
      } else if (!message->waits) {
        message->Grow(budget);
      }
      std::size_t reserved = 0;
      for (const Message& each : messages) reserved += each.reserved;
      totals_match = totals_match && reserved == budget.used() && reserved <= budget.total();
    }
    CHECK(totals_match);
    CHECK(open.empty());
    CHECK(budget.waiting() == 0);
    CHECK(budget.used() == 0);
  }
}

}  // namespace
}  // namespace postspread::flow
