#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <type_traits>
#include <utility>
#include <variant>

namespace postspread::membership {
namespace {

constexpr std::string_view kMagic{"PSV", 3};
constexpr unsigned char kVersion = 1;
constexpr std::size_t kVersionBytes = 1;
constexpr std::size_t kGroupBytes = 4;
constexpr std::size_t kChecksumBytes = 4;
constexpr std::uint64_t kMaxVarint = (1ULL << 53) - 1;  // No member sends a greater value.
constexpr int kMaxVarintBits = 56;                      // eight bytes of seven bits
constexpr std::uint32_t kMaxRefutations = 1U << 30;

// The first byte of an entry holds the kind in bit 7, the state in bits 5 and 6, and the length of the name
// below.
constexpr unsigned kGossipBit = 0x80;
constexpr unsigned kStateShift = 5;
constexpr unsigned kStateMask = 3;
constexpr unsigned kNameSizeMask = 0x1f;

enum class MessageType : unsigned char { kPing, kExchange, kAck, kNack, kPingRequest, kGossip };
template <MessageType type, typename Body>
constexpr bool kIsCodeOf =
    std::is_same_v<std::variant_alternative_t<static_cast<std::size_t>(type), MessageBody>, Body>;
// The writer uses a type's position in the variant as its code.
static_assert(kIsCodeOf<MessageType::kPing, Ping> && kIsCodeOf<MessageType::kExchange, Exchange> &&
              kIsCodeOf<MessageType::kAck, Ack> && kIsCodeOf<MessageType::kNack, Nack> &&
              kIsCodeOf<MessageType::kPingRequest, PingRequest> && kIsCodeOf<MessageType::kGossip, Gossip>);

void Put16(std::uint16_t value, std::string& out) {
  out += static_cast<char>(value & 0xff);
  out += static_cast<char>(value >> 8);
}

void Put32(std::uint32_t value, std::string& out) {
  Put16(static_cast<std::uint16_t>(value & 0xffff), out);
  Put16(static_cast<std::uint16_t>(value >> 16), out);
}

void PutVarint(std::uint64_t value, std::string& out) {
  for (; value >= 0x80; value >>= 7) out += static_cast<char>((value & 0x7f) | 0x80);
  out += static_cast<char>(value);
}

void PutEntry(std::string_view name, PeerId peer, const MemberUpdate& update, EntryKind kind,
              std::string& out) {
  const unsigned state = static_cast<unsigned>(update.state) << kStateShift;
  const unsigned gossip = kind == EntryKind::kGossip ? kGossipBit : 0;
  out += static_cast<char>(name.size() | state | gossip);
  out += name;
  PutVarint(peer, out);
  PutVarint(update.incarnation, out);
  PutVarint(update.refutations, out);
}

void PutEntry(const Entry& entry, std::string& out) {
  PutEntry(entry.name, entry.peer, entry.update, entry.kind, out);
}

// Encodes the fields that are specific to one type of message.
struct PutBody {
  std::string& out;

  void operator()(const Exchange& exchange) const {
    PutVarint(exchange.from, out);
    for (const std::uint16_t bucket : exchange.buckets) Put16(bucket, out);
  }
  void operator()(const PingRequest& request) const { PutEntry(request.target, out); }
  void operator()(const Ping&) const {}
  void operator()(const Ack&) const {}
  void operator()(const Nack&) const {}
  void operator()(const Gossip&) const {}
};

// Decodes fields in sequence. After the first invalid one valid() is false and all reads return zeros.
class Scanner {
 public:
  explicit Scanner(std::string_view bytes) : rest_(bytes) {}

  [[nodiscard]] bool empty() const { return rest_.empty(); }
  [[nodiscard]] bool valid() const { return valid_; }

  std::string_view ReadBytes(std::size_t size) {
    if (rest_.size() < size) {
      Reject();
      return {};
    }
    const std::string_view out = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return out;
  }

  unsigned char Read8() {
    const std::string_view out = ReadBytes(1);
    return out.empty() ? 0 : static_cast<unsigned char>(out[0]);
  }

  std::uint16_t Read16() {
    const std::uint16_t low = Read8();
    return static_cast<std::uint16_t>(low | Read8() << 8);
  }

  std::uint32_t Read32() {
    std::uint32_t out = 0;
    const std::string_view bytes = ReadBytes(4);
    for (std::size_t i = bytes.size(); i-- > 0;) out = out << 8 | static_cast<unsigned char>(bytes[i]);
    return out;
  }

  std::uint64_t ReadVarint(std::uint64_t max = kMaxVarint) {
    std::uint64_t out = 0;
    for (int shift = 0; shift < kMaxVarintBits; shift += 7) {
      const unsigned char byte = Read8();
      out |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) != 0) continue;
      if (out <= max) return out;
      break;
    }
    Reject();
    return 0;
  }

  Entry ReadEntry() {
    Entry out;
    const unsigned head = Read8();
    out.update.state = static_cast<State>(head >> kStateShift & kStateMask);
    out.kind = (head & kGossipBit) != 0 ? EntryKind::kGossip : EntryKind::kSync;
    const std::size_t name_size = head & kNameSizeMask;
    if (name_size == 0 || out.update.state == State::kSuspect) Reject();
    out.name = ReadBytes(name_size);
    out.peer = ReadVarint();
    out.update.incarnation = ReadVarint();
    out.update.refutations = static_cast<std::uint32_t>(ReadVarint(kMaxRefutations));
    return out;
  }

  void ReadBody(MessageType type, MessageBody& out) {
    switch (type) {
      case MessageType::kPing:
        out = Ping{};
        break;
      case MessageType::kExchange:
        out = ReadExchange();
        break;
      case MessageType::kAck:
        out = Ack{};
        break;
      case MessageType::kNack:
        out = Nack{};
        break;
      case MessageType::kPingRequest:
        out = PingRequest{ReadEntry()};
        break;
      case MessageType::kGossip:
        out = Gossip{};
        break;
      default:
        Reject();
    }
  }

 private:
  Exchange ReadExchange() {
    Exchange out;
    out.from = static_cast<SyncPosition>(ReadVarint(0xffff));
    for (std::uint16_t& bucket : out.buckets) bucket = Read16();
    return out;
  }

  void Reject() {
    valid_ = false;
    rest_ = {};
  }

  std::string_view rest_;
  bool valid_ = true;
};

}  // namespace

Writer::Writer(std::uint32_t group, const Message& head, std::size_t size) : group_(group), size_(size) {
  out_ = kMagic;
  out_ += static_cast<char>(kVersion);
  Put32(group, out_);
  out_ += static_cast<char>(head.body.index());
  PutVarint(head.number, out_);
  Put32(head.view_hash, out_);
  PutEntry(head.sender.name, 0, head.sender.update, head.sender.kind, out_);
  std::visit(PutBody{out_}, head.body);
}

bool Writer::Add(std::string_view name, PeerId peer, const MemberUpdate& update, EntryKind kind) {
  const std::size_t before = out_.size();
  PutEntry(name, peer, update, kind, out_);
  if (out_.size() + kChecksumBytes <= size_) return true;
  out_.resize(before);
  return false;
}

std::string Writer::Seal() && {
  Put32(XXH32(out_.data(), out_.size(), group_), out_);
  return std::move(out_);
}

ReadError Read(std::string_view bytes, std::uint32_t group, Message& out) {
  if (bytes.substr(0, kMagic.size()) != kMagic) return ReadError::kOtherSubsystem;
  if (bytes.size() < kMagic.size() + kVersionBytes + kGroupBytes + kChecksumBytes) {
    return ReadError::kUnreadable;
  }
  if (static_cast<unsigned char>(bytes[kMagic.size()]) > kVersion) return ReadError::kLaterVersion;
  const std::string_view body = bytes.substr(0, bytes.size() - kChecksumBytes);
  Scanner in(body.substr(kMagic.size()));
  if (in.Read8() != kVersion) return ReadError::kUnreadable;
  if (in.Read32() != group) return ReadError::kForeignGroup;
  if (Scanner(bytes.substr(body.size())).Read32() != XXH32(body.data(), body.size(), group)) {
    return ReadError::kUnreadable;
  }
  const auto type = static_cast<MessageType>(in.Read8());
  out.number = in.ReadVarint();
  out.view_hash = in.Read32();
  out.sender = in.ReadEntry();
  in.ReadBody(type, out.body);
  out.entries.clear();
  while (in.valid() && !in.empty()) out.entries.push_back(in.ReadEntry());
  return in.valid() ? ReadError::kNone : ReadError::kUnreadable;
}

}  // namespace postspread::membership
