// This test guards against invalid datagrams that change the view.
#include "membership/wire.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "membership/model.h"

namespace postspread::membership {
namespace {

using namespace testing;

constexpr std::size_t kDatagram = 256;  // bytes

TEST_CASE("datagrams that are corrupt, foreign or of a later version are counted and change nothing") {
  Model model(3, 1, {}, kFaultFree);
  model.StartAll();
  REQUIRE(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
  const std::uint64_t epoch = model.member(0).epoch();
  const Message head{
      .body = Gossip{},
      .sender = {"gk-1", 0, {model.member(1).incarnation(), 0, State::kAlive}, EntryKind::kGossip}};
  Writer writer(DigestGroup("fleet"), head, kDatagram);
  REQUIRE(writer.Add("gk-2", 2, {model.member(2).incarnation(), 0, State::kDead}, EntryKind::kGossip));
  const std::string valid = std::move(writer).Seal();
  for (std::size_t size = 0; size < valid.size(); ++size) model.Inject(0, 1, valid.substr(0, size));
  for (std::size_t at = 4; at < valid.size(); ++at) {  // In each datagram one bit is flipped.
    std::string corrupt = valid;
    corrupt[at] = static_cast<char>(corrupt[at] ^ 1 << at % 8);
    model.Inject(0, 1, corrupt);
  }
  const std::string prefix = valid.substr(0, 8);  // The prefix ends with the group's hash.
  for (int i = 0; i < 20'000; ++i) {
    std::string noise = prefix;
    for (std::uint64_t n = model.random()() % 256; n > 0; --n) noise += static_cast<char>(model.random()());
    model.Inject(0, 1, noise);
  }
  // This datagram belongs to another subsystem.
  CHECK_FALSE(model.member(0).HandleDatagram(1, "PSK\1and so on", model.now()));
  model.Inject(0, 1, "PSV\2 of a later version, whatever that holds");
  Writer foreign(DigestGroup("another"), head, kDatagram);
  model.Inject(0, 1, std::move(foreign).Seal());
  CHECK(model.member(0).epoch() == epoch);
  CHECK(model.member(0).counts().unreadable > 20'000);
  CHECK(model.member(0).counts().future == 1);
  CHECK(model.member(0).counts().foreign > 0);
  // The valid datagram is accepted; its subject refutes the death, which is undone without a second death.
  model.Inject(0, 1, valid);
  CHECK(model.member(0).epoch() == epoch + 1);
  CHECK(model.Until([&] { return model.AllAgree(); }, 3) >= 0);
  // An incarnation that no clock of the group can have produced would occupy a name forever, so it is
  // rejected.
  Message tomorrow = head;
  tomorrow.sender.update.incarnation += 3 * 86'400'000ULL;
  model.Inject(0, 1, Writer(DigestGroup("fleet"), tomorrow, kDatagram).Seal());
  CHECK(model.member(0).counts().future == 2);
  CHECK(model.AllAgree());
}

}  // namespace
}  // namespace postspread::membership
