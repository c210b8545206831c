// Datagrams between replicas: what is written is read, and what is spoilt is refused whole.
#include "idempotency/wire.h"

#include <catch2/catch.hpp>
#include <random>

namespace postspread::idempotency {
namespace {

std::vector<Record> OneOfEach() {
  const KeyId key{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
  return {ClaimRecord{key, 5, 6, 7, 1, -8, 15'000},
          VoteRecord{.key = key, .round = 9, .verdict = Verdict::kClearFresh, .mark = 3},
          VoteRecord{key, 9, Verdict::kHeld, 3, 2, 1'700'000'000'000'000ULL, Phase::kUnknown, 1, 44, 99},
          OutcomeRecord{key, 10, 1, Phase::kAnsweredNoValue, 11},
          FetchRecord{key, 32, 0xffffffff},
          FragmentRecord{key, 319, 66'560, std::string(kFragmentBytes, 'x')}};
}

TEST_CASE("records are read as they were written, and each fits a datagram with room for the header") {
  for (const Record& record : OneOfEach()) {
    const std::string bytes = Seal({2, 77}, EncodeRecord(record));
    CHECK(bytes.size() <= kMaxDatagram);
    const auto read = DecodeDatagram(bytes);
    REQUIRE(read);
    CHECK(read->header.rank == 2);
    CHECK(read->header.incarnation == 77);
    REQUIRE(read->records.size() == 1);
    CHECK(read->records[0] == record);
  }
}

TEST_CASE("a datagram that is cut anywhere, or has any bit turned, is refused whole") {
  std::string records;
  for (const Record& record : OneOfEach()) {
    if (!std::holds_alternative<FragmentRecord>(record)) records += EncodeRecord(record);
  }
  const std::string bytes = Seal({1, 5}, records);
  REQUIRE(bytes.size() <= kMaxDatagram);
  REQUIRE(DecodeDatagram(bytes)->records.size() == 5);
  for (std::size_t size = 0; size < bytes.size(); ++size) CHECK_FALSE(DecodeDatagram(bytes.substr(0, size)));
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string spoilt = bytes;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ (1 << (bit % 8)));
    CHECK_FALSE(DecodeDatagram(spoilt));
  }
}

TEST_CASE("random bytes behind a sound header never make anything but sound records") {
  std::mt19937 random(4);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes(random() % 240, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    if (!bytes.empty()) bytes[0] = static_cast<char>(random() % 6);
    const auto read = DecodeDatagram(Seal({0, 1}, bytes));
    if (!read) continue;
    std::string again;
    for (const Record& record : read->records) again += EncodeRecord(record);
    CHECK(again == bytes);
  }
}

}  // namespace
}  // namespace postspread::idempotency
