#include "usage/usage_table.h"

#include <algorithm>
#include <cmath>

namespace postspread::usage {
namespace {

// A datagram is "PSD" and a version, then for each customer four bytes of its digest, little-endian, and one
// of the level of its demand.
constexpr std::string_view kMagic{"PSD\1", 4};
constexpr std::size_t kEntryBytes = 5;

constexpr double kPaceShare = 0.6;      // of what a gateway takes in: room for chance and other datagrams
constexpr double kLevels = 8;           // of the demand's binary logarithm: steps of 9 %
constexpr int kLevelOne = 64;           // the level of a demand of 1; the least is 1/256, the most 2^24
constexpr double kNews = 1.25;          // a change by this factor is told ...
constexpr double kListed = 1.0;         // ... of customers that ask for more than their rate, or did
constexpr Duration kRetell{4'000'000};  // us: told again for those that started or lost it meanwhile
constexpr Duration kLife{12'000'000};   // us after which an entry says nothing: three tellings were missed

std::uint8_t ToLevel(double demand) {
  const double level = kLevelOne + kLevels * std::log2(std::max(demand, 1e-9));
  return static_cast<std::uint8_t>(std::clamp(std::round(level), 0.0, 255.0));
}

double FromLevel(std::uint8_t level) { return std::exp2((level - kLevelOne) / kLevels); }

std::uint64_t Mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

void UsageTable::SetGroup(int size) {
  if (datagrams_per_s_ <= 0) return;
  const double seconds = (std::max(size, 2) - 1) / (kPaceShare * datagrams_per_s_);
  pace_ = Duration(static_cast<std::int64_t>(seconds * 1e6));
}

UsageTable::UsageTable(const UsageOptions& options, TimePoint now) {
  if (options.datagrams_per_s <= 0 || options.group_size < 2) return;
  datagrams_per_s_ = options.datagrams_per_s;
  SetGroup(options.group_size);
  next_at_ =
      now +
      Duration(static_cast<std::int64_t>(Mix(options.seed) % static_cast<std::uint64_t>(pace_.count())));
}

UsageTable::Entry& UsageTable::Find(std::uint32_t customer, TimePoint now) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(customer)) {
    const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
      return a.second.at < b.second.at;
    });
    entries_.erase(oldest);
  }
  Entry& entry = entries_[customer];
  entry.at = now;
  return entry;
}

void UsageTable::Observe(std::uint32_t customer, double demand, TimePoint now) {
  if (pace_.count() == 0) return;
  const std::uint8_t level = ToLevel(demand);
  const bool known = entries_.contains(customer);
  if (!known && demand < kListed) return;
  Entry& entry = Find(customer, now);
  entry.level = level;
  const bool told = entry.told.count() != 0 && now - entry.told < kRetell;
  const bool news = std::abs(level - entry.told_level) > kLevels * std::log2(kNews);
  if (entry.queued || (told && !news)) return;
  entry.queued = true;
  queue_.push_back(customer);
  // The turns go on while nothing is told: after a quiet time all would else speak at once.
  if (next_at_ < now) next_at_ += pace_ * ((now - next_at_) / pace_ + 1);
}

bool UsageTable::Received(std::string_view bytes, TimePoint now) {
  if (bytes.substr(0, kMagic.size()) != kMagic) return false;
  bytes.remove_prefix(kMagic.size());
  if (bytes.size() % kEntryBytes != 0 || pace_.count() == 0) return true;  // cut, or not for us
  for (; !bytes.empty(); bytes.remove_prefix(kEntryBytes)) {
    std::uint32_t customer = 0;
    for (int i = 3; i >= 0; --i) customer = customer << 8 | static_cast<unsigned char>(bytes[i]);
    Entry& entry = Find(customer, now);
    entry.level = entry.told_level = static_cast<std::uint8_t>(bytes[4]);
    entry.told = now;
    if (!entry.queued) continue;
    entry.queued = false;  // somebody was faster
    std::erase(queue_, customer);
  }
  return true;
}

double UsageTable::Demand(std::uint32_t customer, TimePoint now) const {
  const auto found = entries_.find(customer);
  if (found == entries_.end() || now - found->second.at > kLife) return -1;
  return FromLevel(found->second.level);
}

std::optional<TimePoint> UsageTable::NextTick() const {
  if (queue_.empty()) return std::nullopt;
  return next_at_;
}

std::optional<std::string> UsageTable::Next(TimePoint now) {
  if (queue_.empty() || now < next_at_) return std::nullopt;
  std::string out(kMagic);
  std::size_t taken = 0;
  while (taken < queue_.size() && out.size() + kEntryBytes <= kMaxDatagram) {
    const std::uint32_t customer = queue_[taken++];
    const auto found = entries_.find(customer);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    entry.queued = false;
    entry.told = now;
    entry.told_level = entry.level;
    for (int i = 0; i < 4; ++i) out += static_cast<char>(customer >> (8 * i) & 0xff);
    out += static_cast<char>(entry.level);
  }
  queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(taken));
  next_at_ += pace_ * ((now - next_at_) / pace_ + 1);
  if (out.size() == kMagic.size()) return std::nullopt;
  return out;
}

}  // namespace postspread::usage
