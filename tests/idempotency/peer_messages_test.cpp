// Tests how one replica handles single records of its peers, in an order that the tests force.
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>

#include "idempotency/digest.h"
#include "idempotency/replica.h"
#include "idempotency/wire.h"

namespace postspread::idempotency {
namespace {

constexpr TimePoint kNow{1'000'000'000};
constexpr std::uint64_t kPeerIncarnation = 7;

// The replica of gateway 0 in a group of three.
class ReplicaUnderTest {
 public:
  ReplicaUnderTest()
      : replica_(EnabledLimits(), {.rank = 0, .group_size = 3, .has_peers = true, .incarnation = 1}, kNow) {}

  Actions Begin(const KeyId& key) {
    KeyedRequest request;
    request.waiter = 1;
    request.key = key;
    request.deadline = kNow + std::chrono::seconds(3);
    request.dedup_window = std::chrono::seconds(15);
    request.work.spread = 3;
    return replica_.Begin(request, kNow);
  }
  Actions Receive(std::uint16_t from, const Record& record) {
    const std::string bytes = EncodeDatagram({from, kPeerIncarnation}, EncodeRecord(record));
    return replica_.HandleDatagram(from, bytes, kNow);
  }

 private:
  static Limits EnabledLimits() {
    Limits limits;
    limits.enabled = true;
    limits.datagrams_per_second = 2'000;
    return limits;
  }
  IdempotencyReplica replica_;
};

// Returns the first record of this type that the actions send to the gateway of this rank, or nullopt.
template <typename SentRecord>
std::optional<SentRecord> FindSent(Actions actions, int rank) {
  for (const Action& action : actions) {
    const auto* const sent = std::get_if<SendDatagram>(&action);
    if (sent == nullptr || sent->rank != rank) continue;
    const std::optional<Datagram> datagram = DecodeDatagram(sent->bytes);
    REQUIRE(datagram);
    for (const Record& record : datagram->records) {
      if (const auto* const found = std::get_if<SentRecord>(&record)) return *found;
    }
  }
  return std::nullopt;
}

// Guards against a replica that ignores a new holder's claim, because the former holder counted higher: the
// new holder waits for the vote, and then takes this live replica for unavailable.
TEST_CASE(
    "when a key changes to a holder with lower rounds, the replica votes on the claims of that holder") {
  const KeyId key = DigestKey("customer", "change", "key");
  ReplicaUnderTest replica;
  replica.Receive(2, ClaimRecord{.key = key, .round = 1'000});
  const std::optional<ClaimRecord> query = FindSent<ClaimRecord>(replica.Begin(key), 2);
  REQUIRE(query);
  replica.Receive(2, VoteRecord{.key = key,
                                .round = query->round,
                                .kind = VoteKind::kAlreadyClaimed,
                                .reference_round = 5,
                                .holder = 1,
                                .holder_incarnation = kPeerIncarnation,
                                .phase = Phase::kRunning});
  const auto vote = FindSent<VoteRecord>(replica.Receive(1, ClaimRecord{.key = key, .round = 5}), 1);
  REQUIRE(vote);
  CHECK(vote->round == 5);
  CHECK(vote->kind == VoteKind::kGrantedRecovering);
}

}  // namespace
}  // namespace postspread::idempotency
