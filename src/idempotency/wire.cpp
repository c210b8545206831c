#include "idempotency/wire.h"

#include <type_traits>
#include <utility>

#include "idempotency/digest.h"

namespace postspread::idempotency {
namespace {

constexpr std::string_view kMagic{"PSK\2", 4};

template <typename T>
constexpr bool kIsNumber = std::is_integral_v<T> || std::is_enum_v<T>;

// Writer and Reader share the interface `Code(members...)`, so that each record lists its members once.
class Writer {
 public:
  template <typename... Members>
  void Code(const Members&... members) {
    (Write(members), ...);
  }
  void Append(std::string_view bytes) { out_ += bytes; }
  [[nodiscard]] std::string Take() { return std::move(out_); }

 private:
  template <typename T>
  void Write(const T& value) {
    if constexpr (std::is_same_v<T, KeyId>) {
      Code(value.high, value.low);
    } else if constexpr (std::is_same_v<T, std::string>) {
      Write(static_cast<std::uint8_t>(value.size()));
      out_ += value;
    } else {
      static_assert(kIsNumber<T>);
      auto bits = static_cast<std::uint64_t>(value);
      for (std::size_t i = 0; i < sizeof(T); ++i, bits >>= 8) out_ += static_cast<char>(bits & 0xff);
    }
  }

  std::string out_;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  template <typename... Members>
  void Code(Members&... members) {
    (Read(members), ...);
  }
  [[nodiscard]] std::string_view rest() const { return rest_; }
  // Returns false after a read beyond the end of the bytes.
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  template <typename T>
  void Read(T& value) {
    if constexpr (std::is_same_v<T, KeyId>) {
      Code(value.high, value.low);
    } else if constexpr (std::is_same_v<T, std::string>) {
      std::uint8_t size = 0;
      Read(size);
      value = Take(size);
    } else {
      static_assert(kIsNumber<T>);
      const std::string_view bytes = Take(sizeof(T));
      if (!ok_) return;
      std::uint64_t bits = 0;
      for (std::size_t i = sizeof(T); i-- > 0;) bits = bits << 8 | static_cast<unsigned char>(bytes[i]);
      value = static_cast<T>(bits);
    }
  }
  std::string_view Take(std::size_t size) {
    if (rest_.size() < size) {
      ok_ = false;
      rest_ = {};
      return {};
    }
    const std::string_view taken = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return taken;
  }

  std::string_view rest_;
  bool ok_ = true;
};

// Encodes or decodes a record's members in their order on the wire.
template <typename Codec, typename R>
void CodeMembers(Codec& codec, R& record) {
  using T = std::remove_const_t<R>;
  if constexpr (std::is_same_v<T, ClaimRecord>) {
    codec.Code(record.key, record.fingerprint, record.customer, record.round, record.has_group, record.group,
               record.window_ms);
  } else if constexpr (std::is_same_v<T, VoteRecord>) {
    codec.Code(record.key, record.round, record.kind, record.reference_round);
    if (record.kind != VoteKind::kAlreadyClaimed) return;
    codec.Code(record.holder, record.holder_incarnation, record.phase, record.has_group, record.group,
               record.age_ms);
  } else if constexpr (std::is_same_v<T, OutcomeRecord>) {
    codec.Code(record.key, record.round, record.withdrawn, record.phase, record.age_ms);
  } else if constexpr (std::is_same_v<T, FetchRecord>) {
    codec.Code(record.key, record.first, record.requested);
  } else {
    static_assert(std::is_same_v<T, FragmentRecord>);
    codec.Code(record.key, record.index, record.total, record.bytes);
  }
}

// A record's kind on the wire is its index in the variant.
template <std::size_t kKind = 0>
bool ReadRecord(std::size_t kind, Reader& reader, Record& out) {
  if constexpr (kKind < std::variant_size_v<Record>) {
    if (kind != kKind) return ReadRecord<kKind + 1>(kind, reader, out);
    CodeMembers(reader, out.emplace<kKind>());
    return reader.ok();
  } else {
    return false;
  }
}

bool HasValidEnums(const Record& record) {
  if (const auto* vote = std::get_if<VoteRecord>(&record)) {
    return vote->kind <= VoteKind::kNoCapacity && vote->phase <= Phase::kUnknown;
  }
  if (const auto* outcome = std::get_if<OutcomeRecord>(&record)) return outcome->phase <= Phase::kUnknown;
  return true;
}

// Returns the checksum of everything after the magic except the checksum itself.
std::uint32_t ChecksumOf(const Header& header, std::string_view records) {
  Writer writer;
  writer.Code(header.rank, header.incarnation);
  writer.Append(records);
  return Checksum(writer.Take());
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  Writer writer;
  writer.Code(static_cast<std::uint8_t>(record.index()));
  std::visit([&writer](const auto& alternative) { CodeMembers(writer, alternative); }, record);
  return writer.Take();
}

std::string EncodeDatagram(const Header& header, std::string_view records) {
  Writer writer;
  writer.Append(kMagic);
  writer.Code(header.rank, header.incarnation, ChecksumOf(header, records));
  writer.Append(records);
  return writer.Take();
}

std::optional<Datagram> DecodeDatagram(std::string_view bytes) {
  if (bytes.size() > kMaxDatagram || bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  Reader reader(bytes.substr(kMagic.size()));
  Datagram out;
  std::uint32_t checksum = 0;
  reader.Code(out.header.rank, out.header.incarnation, checksum);
  if (!reader.ok() || ChecksumOf(out.header, reader.rest()) != checksum) return std::nullopt;
  while (!reader.rest().empty()) {
    std::uint8_t kind = 0;
    reader.Code(kind);
    Record& record = out.records.emplace_back();
    if (!ReadRecord(kind, reader, record) || !HasValidEnums(record)) return std::nullopt;
  }
  return out;
}

}  // namespace postspread::idempotency
