// Gossip between gateways about customers that exceed their quotas. One gateway of a hundred meets most
// customers less than once in ten seconds; where the shared counter cannot answer for each request, it would
// have to guess for nearly all of them. So each total that a gateway learns is broadcast to the others.
//
// It is a hint only: an entry may be late, lost or some seconds old, and the counter's own totals take
// precedence wherever they are available. No I/O, no clock: time and the seed are handed in.
//
// Bounds: kMaxEntries customers (the least recently updated are evicted), kMaxDatagram bytes a datagram, and
// for all gateways together a part of the datagrams that one of them can receive.
#ifndef POSTSPREAD_USAGE_USAGE_TABLE_H_
#define POSTSPREAD_USAGE_USAGE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace postspread::usage {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::microseconds;  // since an origin of the caller's choice
using CustomerDigest = std::uint32_t;

inline constexpr std::size_t kMaxDatagram = 256;
inline constexpr std::size_t kMaxEntries = 4096;
inline constexpr double kUnknownDemand = -1;

struct UsageOptions {
  int group_size = 1;          // gateways that notify one another
  double datagrams_per_s = 0;  // that one of them can receive; 0: nothing is broadcast
  std::uint64_t seed = 0;      // of the phase of broadcasts, so that gateways are out of step
};

class UsageTable {
 public:
  UsageTable(const UsageOptions& options, TimePoint now);

  // The live gateways, this one included, by the membership view.
  void SetGroup(int size);

  // A total of the counter has shown a customer's demand, as a multiple of its rate.
  void Observe(CustomerDigest customer, double demand, TimePoint now);
  // A datagram has come. False: it is another subsystem's, and was ignored.
  bool Received(std::string_view bytes, TimePoint now);

  // The latest demand of a customer; kUnknownDemand: none, or one that has expired.
  [[nodiscard]] double Demand(CustomerDigest customer, TimePoint now) const;

  // When Next may return a datagram; nothing: not before something is observed.
  [[nodiscard]] std::optional<TimePoint> NextTick() const;
  // The datagram to be sent to all gateways now, if any.
  std::optional<std::string> Next(TimePoint now);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint8_t level = 0;            // of the demand, see ToLevel
    TimePoint updated_at{0};           // by an observation or a broadcast
    TimePoint broadcast_at{0};         // by any gateway; 0: never
    std::uint8_t broadcast_level = 0;  // the level that was sent then
    bool queued = false;
  };

  Entry& Update(CustomerDigest customer, TimePoint now);
  void EvictOldest();
  [[nodiscard]] static bool IsBroadcastDue(const Entry& entry, TimePoint now);
  // Moves the next turn past `now`, by whole intervals so that its phase stays.
  void SkipTurns(TimePoint now);

  double datagrams_per_s_ = 0;
  Duration interval_{0};  // between two turns of this gateway; 0: nothing is broadcast
  TimePoint next_turn_{0};
  std::unordered_map<CustomerDigest, Entry> entries_;
  std::vector<CustomerDigest> queue_;  // to be broadcast, in the order of observation
};

}  // namespace postspread::usage

#endif  // POSTSPREAD_USAGE_USAGE_TABLE_H_
