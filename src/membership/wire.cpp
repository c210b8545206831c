#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace postspread::membership {
namespace {

constexpr std::string_view kMagic{"PSV", 3};
constexpr unsigned char kVersion = 1;
constexpr std::size_t kChecksumBytes = 4;
constexpr std::uint64_t kMostNumber = (1ULL << 53) - 1;  // of any varint: what is above is no value of ours
constexpr std::uint32_t kMaxRefutations = 1U << 30;
constexpr XXH64_hash_t kMemberSeed = 0x766965;

void Put32(std::uint32_t value, std::string& out) {
  for (int i = 0; i < 4; ++i, value >>= 8) out += static_cast<char>(value & 0xff);
}
void Put16(std::uint16_t value, std::string& out) {
  out += static_cast<char>(value & 0xff);
  out += static_cast<char>(value >> 8);
}
void PutVarint(std::uint64_t value, std::string& out) {
  for (; value >= 0x80; value >>= 7) out += static_cast<char>((value & 0x7f) | 0x80);
  out += static_cast<char>(value);
}
void PutEntry(std::string_view name, PeerId peer, const MemberUpdate& update, bool news, std::string& out) {
  out += static_cast<char>(name.size() | static_cast<std::size_t>(update.state) << 5 | (news ? 0x80U : 0U));
  out += name;
  PutVarint(peer, out);
  PutVarint(update.incarnation, out);
  PutVarint(update.refutations, out);
}

class Scanner {
 public:
  explicit Scanner(std::string_view bytes) : rest_(bytes) {}
  [[nodiscard]] bool empty() const { return rest_.empty(); }
  [[nodiscard]] bool sound() const { return sound_; }
  std::string_view Take(std::size_t size) {
    if (rest_.size() < size) return Cut(), std::string_view{};
    const std::string_view out = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return out;
  }
  unsigned char Byte() {
    const std::string_view out = Take(1);
    return out.empty() ? 0 : static_cast<unsigned char>(out[0]);
  }
  std::uint32_t Number32() {
    std::uint32_t out = 0;
    const std::string_view bytes = Take(4);
    for (std::size_t i = bytes.size(); i-- > 0;) out = out << 8 | static_cast<unsigned char>(bytes[i]);
    return out;
  }
  std::uint64_t Varint() {
    std::uint64_t out = 0;
    for (int shift = 0; shift < 56; shift += 7) {
      const unsigned char byte = Byte();
      out |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) == 0) return out <= kMostNumber ? out : (Cut(), 0);
    }
    return Cut(), 0;
  }
  Entry ReadEntry() {
    Entry out;
    const unsigned char head = Byte();
    out.update.state = static_cast<State>(head >> 5 & 3);
    const std::size_t size = head & 0x1f;
    out.news = (head & 0x80) != 0;
    if (size == 0 || out.update.state == State::kSuspect) Cut();
    out.name = Take(size);
    out.peer = Varint();
    out.update.incarnation = Varint();
    const std::uint64_t refutations = Varint();
    if (refutations > kMaxRefutations) Cut();
    out.update.refutations = static_cast<std::uint32_t>(refutations);
    return out;
  }

 private:
  void Cut() {
    sound_ = false;
    rest_ = {};
  }
  std::string_view rest_;
  bool sound_ = true;
};

}  // namespace

std::uint32_t DigestGroup(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

std::uint64_t DigestMember(std::string_view name, std::uint64_t incarnation) {
  return XXH3_64bits_withSeed(name.data(), name.size(), kMemberSeed + incarnation);
}

std::uint64_t OrderIn(std::uint64_t period, std::uint64_t name_digest) {
  const std::uint64_t updates[] = {period, name_digest};
  return XXH3_64bits(updates, sizeof updates);
}

Writer::Writer(std::uint32_t fleet, const Message& head, std::size_t size) : fleet_(fleet), size_(size) {
  out_ = kMagic;
  out_ += static_cast<char>(kVersion);
  Put32(fleet, out_);
  out_ += static_cast<char>(head.kind);
  PutVarint(head.number, out_);
  Put32(head.view, out_);
  PutEntry(head.sender.name, 0, head.sender.update, head.sender.news, out_);
  if (head.kind == Kind::kExchange) {
    PutVarint(head.from, out_);
    for (const std::uint16_t part : head.parts) Put16(part, out_);
  }
  if (head.kind == Kind::kAskFor)
    PutEntry(head.target.name, head.target.peer, head.target.update, false, out_);
}

bool Writer::Add(std::string_view name, PeerId peer, const MemberUpdate& update, bool news) {
  const std::size_t before = out_.size();
  PutEntry(name, peer, update, news, out_);
  if (out_.size() + kChecksumBytes <= size_) return true;
  out_.resize(before);
  return false;
}

std::string Writer::Seal() && {
  Put32(XXH32(out_.data(), out_.size(), fleet_), out_);
  return std::move(out_);
}

Fault Read(std::string_view bytes, std::uint32_t fleet, Message& out) {
  if (bytes.substr(0, kMagic.size()) != kMagic) return Fault::kNotOurs;
  if (bytes.size() < kMagic.size() + 1 + 4 + kChecksumBytes) return Fault::kUnreadable;
  if (static_cast<unsigned char>(bytes[kMagic.size()]) > kVersion) return Fault::kFuture;
  Scanner in(bytes.substr(kMagic.size(), bytes.size() - kMagic.size() - kChecksumBytes));
  if (in.Byte() != kVersion) return Fault::kUnreadable;
  if (in.Number32() != fleet) return Fault::kForeign;
  const std::string_view body = bytes.substr(0, bytes.size() - kChecksumBytes);
  if (Scanner(bytes.substr(body.size())).Number32() != XXH32(body.data(), body.size(), fleet)) {
    return Fault::kUnreadable;
  }
  const unsigned char kind = in.Byte();
  if (kind > static_cast<unsigned char>(Kind::kGossip)) return Fault::kUnreadable;
  out.kind = static_cast<Kind>(kind);
  out.number = in.Varint();
  out.view = in.Number32();
  out.sender = in.ReadEntry();
  if (out.kind == Kind::kExchange) {
    const std::uint64_t from = in.Varint();
    if (from > 0xffff) return Fault::kUnreadable;
    out.from = static_cast<std::uint16_t>(from);
    for (std::uint16_t& part : out.parts) {
      part = in.Byte();
      part = static_cast<std::uint16_t>(part | in.Byte() << 8);
    }
  }
  if (out.kind == Kind::kAskFor) out.target = in.ReadEntry();
  out.entries.clear();
  while (in.sound() && !in.empty()) out.entries.push_back(in.ReadEntry());
  return in.sound() ? Fault::kNone : Fault::kUnreadable;
}

}  // namespace postspread::membership
