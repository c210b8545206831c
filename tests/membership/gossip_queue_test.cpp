// This test guards against a new update waiting behind a long queue of older ones.
#include "membership/gossip_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "membership/membership.h"
#include "membership/wire.h"

namespace postspread::membership {
namespace {

using std::chrono::seconds;

void ReceiveUpdate(Membership& membership, const std::string& name, TimePoint now) {
  const MemberUpdate alive{999'000'000, 0, State::kAlive};
  const Message head{.body = Gossip{}, .sender = {"gk-1", 0, alive, EntryKind::kGossip}};
  Writer writer(DigestGroup("fleet"), head, 256);
  writer.Add(name, 7, alive, EntryKind::kGossip);
  membership.HandleDatagram(1, std::move(writer).Seal(), now);
}

// Returns whether any datagram that is taken now gossips this member's update.
bool Gossips(Membership& membership, const std::string& name) {
  bool found = false;
  for (const Datagram& datagram : membership.TakeDatagrams()) {
    Message message;
    REQUIRE(Read(datagram.bytes, DigestGroup("fleet"), message) == ReadError::kNone);
    for (const Entry& entry : message.entries) {
      found = found || (entry.name == name && entry.kind == EntryKind::kGossip);
    }
  }
  return found;
}

TEST_CASE("given a queue of 400 updates, when a new update arrives, it is gossiped in the next tick") {
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kGossipOrder}) {
    Limits limits;
    limits.enabled = true;
    TimePoint now = seconds(1'000'000);
    Membership membership({"gk-0", 0, 1'000'000'000}, {0, 1}, limits, 1, now, disabled);
    const auto tick = [&] {
      now = membership.NextTick();
      membership.Tick(now);
    };
    for (int i = 0; i < 400; ++i) ReceiveUpdate(membership, "old-" + std::to_string(i), now);
    for (int i = 0; i < 9; ++i) tick();
    membership.TakeDatagrams();
    ReceiveUpdate(membership, "new", now);
    tick();
    CHECK(Gossips(membership, "new") == (disabled == DisabledDefense::kNothing));
  }
}

}  // namespace
}  // namespace postspread::membership
