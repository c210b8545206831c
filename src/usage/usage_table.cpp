#include "usage/usage_table.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "statistics/random.h"

namespace postspread::usage {
namespace {

// A datagram consists of "PSD", a version byte and, for each customer, the digest as a little-endian u32 and
// the level of the demand as a u8.
constexpr std::string_view kMagic{"PSD\1", 4};
constexpr std::size_t kDigestBytes = 4;
constexpr std::size_t kEntryBytes = kDigestBytes + 1;

// Fraction of a gateway's receive capacity for broadcasts; the rest is for bursts and other subsystems.
constexpr double kBudgetFraction = 0.6;
constexpr double kLevelsPerDoubling = 8;     // one level is a step of 9 %
constexpr int kLevelOfOne = 64;              // the level of a demand of 1; the range is 2^-8 to 2^24
constexpr double kMinDemand = 1e-9;          // lower bound, so that the logarithm is finite
constexpr double kSignificantFactor = 1.25;  // a change by more than this factor is broadcast at once
constexpr double kTrackedDemand = 1.0;       // minimum demand of a customer to be tracked: its rate
// A demand is broadcast again after this time, for gateways that missed the last broadcast.
constexpr std::chrono::seconds kRepeatInterval{4};
// An entry expires when three broadcasts have been missed.
constexpr std::chrono::seconds kExpiry{12};

std::uint8_t ToLevel(double demand) {
  const double level = kLevelOfOne + kLevelsPerDoubling * std::log2(std::max(demand, kMinDemand));
  return static_cast<std::uint8_t>(std::clamp(std::round(level), 0.0, 255.0));
}

double FromLevel(std::uint8_t level) { return std::exp2((level - kLevelOfOne) / kLevelsPerDoubling); }

void PutDigest(CustomerDigest customer, std::string& out) {
  for (std::size_t i = 0; i < kDigestBytes; ++i) out += static_cast<char>(customer >> (8 * i) & 0xff);
}

CustomerDigest GetDigest(std::string_view bytes) {
  CustomerDigest out = 0;
  for (std::size_t i = kDigestBytes; i-- > 0;) out = out << 8 | static_cast<unsigned char>(bytes[i]);
  return out;
}

}  // namespace

UsageTable::UsageTable(const UsageOptions& options, TimePoint now) {
  if (options.datagrams_per_s <= 0 || options.group_size < 2) return;
  datagrams_per_s_ = options.datagrams_per_s;
  SetGroup(options.group_size);
  const std::uint64_t phase =
      statistics::SplitMix64(options.seed) % static_cast<std::uint64_t>(interval_.count());
  next_turn_ = now + Duration(static_cast<std::int64_t>(phase));
}

void UsageTable::SetGroup(int size) {
  if (datagrams_per_s_ <= 0) return;
  const double seconds = (std::max(size, 2) - 1) / (kBudgetFraction * datagrams_per_s_);
  interval_ = Duration(static_cast<std::int64_t>(seconds * 1e6));
}

UsageTable::Entry& UsageTable::Update(CustomerDigest customer, TimePoint now) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(customer)) EvictOldest();
  Entry& entry = entries_[customer];
  entry.updated_at = now;
  return entry;
}

void UsageTable::EvictOldest() {
  entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
    return a.second.updated_at < b.second.updated_at;
  }));
}

void UsageTable::Observe(CustomerDigest customer, double demand, TimePoint now) {
  if (interval_.count() == 0) return;
  // A tracked customer is updated even below its rate, so that the other gateways learn of the decrease.
  if (demand < kTrackedDemand && !entries_.contains(customer)) return;
  Entry& entry = Update(customer, now);
  entry.level = ToLevel(demand);
  if (entry.queued || !IsBroadcastDue(entry, now)) return;
  entry.queued = true;
  queue_.push_back(customer);
  // Turns in the past are skipped: otherwise all gateways would send at once after a time without broadcasts.
  if (next_turn_ < now) SkipTurns(now);
}

bool UsageTable::IsBroadcastDue(const Entry& entry, TimePoint now) {
  const bool is_recent = entry.broadcast_at.count() != 0 && now - entry.broadcast_at < kRepeatInterval;
  const double significant = kLevelsPerDoubling * std::log2(kSignificantFactor);
  return !is_recent || std::abs(entry.level - entry.broadcast_level) > significant;
}

void UsageTable::SkipTurns(TimePoint now) { next_turn_ += interval_ * ((now - next_turn_) / interval_ + 1); }

bool UsageTable::HandleDatagram(std::string_view bytes, TimePoint now) {
  if (bytes.substr(0, kMagic.size()) != kMagic) return false;
  bytes.remove_prefix(kMagic.size());
  // The datagram is ignored if it is truncated or broadcasts are off.
  if (bytes.size() % kEntryBytes != 0 || interval_.count() == 0) return true;
  for (; !bytes.empty(); bytes.remove_prefix(kEntryBytes)) {
    const CustomerDigest customer = GetDigest(bytes);
    Entry& entry = Update(customer, now);
    entry.level = static_cast<std::uint8_t>(bytes[kDigestBytes]);
    entry.broadcast_level = entry.level;
    entry.broadcast_at = now;
    if (!entry.queued) continue;
    entry.queued = false;  // another gateway has broadcast this customer first
    std::erase(queue_, customer);
  }
  return true;
}

double UsageTable::Demand(CustomerDigest customer, TimePoint now) const {
  const auto found = entries_.find(customer);
  if (found == entries_.end() || now - found->second.updated_at > kExpiry) return kUnknownDemand;
  return FromLevel(found->second.level);
}

std::optional<TimePoint> UsageTable::NextTick() const {
  if (queue_.empty()) return std::nullopt;
  return next_turn_;
}

std::optional<std::string> UsageTable::Next(TimePoint now) {
  if (queue_.empty() || now < next_turn_) return std::nullopt;
  std::string out(kMagic);
  std::size_t sent = 0;
  while (sent < queue_.size() && out.size() + kEntryBytes <= kMaxDatagram) {
    const CustomerDigest customer = queue_[sent++];
    const auto found = entries_.find(customer);
    if (found == entries_.end()) continue;  // evicted
    Entry& entry = found->second;
    entry.queued = false;
    entry.broadcast_at = now;
    entry.broadcast_level = entry.level;
    PutDigest(customer, out);
    out += static_cast<char>(entry.level);
  }
  queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(sent));
  SkipTurns(now);
  if (out.size() == kMagic.size()) return std::nullopt;
  return out;
}

}  // namespace postspread::usage
