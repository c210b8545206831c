#include "idempotency/wire.h"

#include <type_traits>
#include <utility>

#include "idempotency/digest.h"

namespace postspread::idempotency {
namespace {

constexpr std::string_view kMagic{"PSK\2", 4};

template <typename T>
constexpr bool kIsNumber = std::is_integral_v<T> || std::is_enum_v<T>;

class Writer {
 public:
  template <typename T>
  void operator()(const T& value) {
    if constexpr (std::is_same_v<T, KeyId>) {
      (*this)(value.high);
      (*this)(value.low);
    } else if constexpr (std::is_same_v<T, std::string>) {
      (*this)(static_cast<std::uint8_t>(value.size()));
      out += value;
    } else {
      static_assert(kIsNumber<T>);
      auto bits = static_cast<std::uint64_t>(value);
      for (std::size_t i = 0; i < sizeof(T); ++i, bits >>= 8) out += static_cast<char>(bits & 0xff);
    }
  }
  std::string out;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest(bytes) {}
  template <typename T>
  void operator()(T& value) {
    if constexpr (std::is_same_v<T, KeyId>) {
      (*this)(value.high);
      (*this)(value.low);
    } else if constexpr (std::is_same_v<T, std::string>) {
      std::uint8_t size = 0;
      (*this)(size);
      if (rest.size() < size) return Cut();
      value = rest.substr(0, size);
      rest.remove_prefix(size);
    } else {
      static_assert(kIsNumber<T>);
      if (rest.size() < sizeof(T)) return Cut();
      std::uint64_t bits = 0;
      for (std::size_t i = sizeof(T); i-- > 0;) bits = bits << 8 | static_cast<unsigned char>(rest[i]);
      value = static_cast<T>(bits);
      rest.remove_prefix(sizeof(T));
    }
  }
  std::string_view rest;
  bool sound = true;

 private:
  void Cut() {
    sound = false;
    rest = {};
  }
};

// Each record's members, once for both directions.
template <typename C, typename R>
void Members(C& code, R& record) {
  using T = std::remove_const_t<R>;
  if constexpr (std::is_same_v<T, ClaimRecord>) {
    code(record.key), code(record.fingerprint), code(record.customer), code(record.round);
    code(record.has_pod), code(record.pod), code(record.window_ms);
  } else if constexpr (std::is_same_v<T, VoteRecord>) {
    code(record.key), code(record.round), code(record.verdict), code(record.mark);
    if (record.verdict != Verdict::kHeld) return;
    code(record.holder), code(record.holder_incarnation), code(record.phase);
    code(record.has_pod), code(record.pod), code(record.age_ms);
  } else if constexpr (std::is_same_v<T, OutcomeRecord>) {
    code(record.key), code(record.round), code(record.released), code(record.phase), code(record.age_ms);
  } else if constexpr (std::is_same_v<T, FetchRecord>) {
    code(record.key), code(record.first), code(record.wanted);
  } else {
    static_assert(std::is_same_v<T, FragmentRecord>);
    code(record.key), code(record.index), code(record.total), code(record.bytes);
  }
}

template <std::size_t kKind = 0>
bool ReadRecord(std::size_t kind, Reader& reader, Record& out) {
  if constexpr (kKind < std::variant_size_v<Record>) {
    if (kind != kKind) return ReadRecord<kKind + 1>(kind, reader, out);
    Members(reader, out.emplace<kKind>());
    return reader.sound;
  } else {
    return false;
  }
}

bool IsSound(const Record& record) {
  if (const auto* vote = std::get_if<VoteRecord>(&record)) {
    return vote->verdict <= Verdict::kFull && vote->phase <= Phase::kUnknown;
  }
  if (const auto* outcome = std::get_if<OutcomeRecord>(&record)) return outcome->phase <= Phase::kUnknown;
  return true;
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  Writer writer;
  writer(static_cast<std::uint8_t>(record.index()));
  std::visit([&writer](const auto& r) { Members(writer, r); }, record);
  return std::move(writer.out);
}

std::string Seal(const Header& header, std::string_view records) {
  Writer writer;
  writer.out = kMagic;
  writer(header.rank);
  writer(header.incarnation);
  std::string sealed = writer.out.substr(kMagic.size());
  sealed += records;
  writer(Checksum(sealed));
  writer.out += records;
  return std::move(writer.out);
}

std::optional<Datagram> DecodeDatagram(std::string_view bytes) {
  if (bytes.size() > kMaxDatagram || bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  Reader reader(bytes.substr(kMagic.size()));
  Datagram out;
  std::uint32_t checksum = 0;
  reader(out.header.rank);
  reader(out.header.incarnation);
  reader(checksum);
  if (!reader.sound) return std::nullopt;
  std::string sealed(bytes.substr(kMagic.size(), sizeof out.header.rank + sizeof out.header.incarnation));
  sealed += reader.rest;
  if (Checksum(sealed) != checksum) return std::nullopt;
  while (!reader.rest.empty()) {
    std::uint8_t kind = 0;
    reader(kind);
    if (!ReadRecord(kind, reader, out.records.emplace_back()) || !IsSound(out.records.back())) {
      return std::nullopt;
    }
  }
  return out;
}

}  // namespace postspread::idempotency
