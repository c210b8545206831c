// Tests datagrams between replicas: encoding round-trips, and a corrupt datagram is rejected as a whole.
#include "idempotency/wire.h"

#include <catch2/catch.hpp>
#include <random>

namespace postspread::idempotency {
namespace {

std::vector<Record> OneRecordOfEachKind() {
  const KeyId key{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
  return {ClaimRecord{key, 5, 6, 7, 1, -8, 15'000},
          VoteRecord{.key = key, .round = 9, .kind = VoteKind::kGrantedRecovering, .reference_round = 3},
          VoteRecord{key, 9, VoteKind::kAlreadyClaimed, 3, 2, 1'700'000'000'000'000ULL, Phase::kUnknown, 1,
                     44, 99},
          OutcomeRecord{key, 10, 1, Phase::kCompletedWithoutResponse, 11},
          FetchRecord{key, 32, 0xffffffff},
          FragmentRecord{key, 319, 66'560, std::string(kFragmentBytes, 'x')}};
}

TEST_CASE("each record decodes to what was encoded and fits into one datagram together with the header") {
  for (const Record& record : OneRecordOfEachKind()) {
    const std::string bytes = EncodeDatagram({2, 77}, EncodeRecord(record));
    CHECK(bytes.size() <= kMaxDatagram);
    const auto decoded = DecodeDatagram(bytes);
    REQUIRE(decoded);
    CHECK(decoded->header.rank == 2);
    CHECK(decoded->header.incarnation == 77);
    REQUIRE(decoded->records.size() == 1);
    CHECK(decoded->records[0] == record);
  }
}

TEST_CASE("a datagram that is truncated anywhere or has any bit flipped is rejected as a whole") {
  std::string records;
  for (const Record& record : OneRecordOfEachKind()) {
    if (!std::holds_alternative<FragmentRecord>(record)) records += EncodeRecord(record);
  }
  const std::string bytes = EncodeDatagram({1, 5}, records);
  REQUIRE(bytes.size() <= kMaxDatagram);
  REQUIRE(DecodeDatagram(bytes)->records.size() == 5);
  for (std::size_t size = 0; size < bytes.size(); ++size) CHECK_FALSE(DecodeDatagram(bytes.substr(0, size)));
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string corrupt = bytes;
    corrupt[bit / 8] = static_cast<char>(corrupt[bit / 8] ^ (1 << (bit % 8)));
    CHECK_FALSE(DecodeDatagram(corrupt));
  }
}

TEST_CASE(
    "random bytes after a valid header are rejected, or decode to records that encode to the same bytes") {
  std::mt19937 random(4);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes(random() % 240, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    if (!bytes.empty()) bytes[0] = static_cast<char>(random() % 6);
    const auto decoded = DecodeDatagram(EncodeDatagram({0, 1}, bytes));
    if (!decoded) continue;
    std::string reencoded;
    for (const Record& record : decoded->records) reencoded += EncodeRecord(record);
    CHECK(reencoded == bytes);
  }
}

}  // namespace
}  // namespace postspread::idempotency
