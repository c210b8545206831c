// Gossip between gateways about customers that exceed their quotas. Each of a hundred gateways receives
// requests of most customers less than once in ten seconds. If the shared counter cannot serve a call for
// each request, a gateway would have to guess for nearly all customers, so each total that a gateway learns
// is broadcast to the others.
//
// An entry is only a hint: it may be late, lost or several seconds old, and the counter's own totals take
// precedence if they are available. This module has no I/O and no clock: the caller provides time and seed.
//
// Bounds: a table holds kMaxEntries customers and evicts the least recently updated ones; a datagram has up
// to kMaxDatagram bytes; all gateways together send a fraction of the datagrams that one of them can receive.
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
  int group_size = 1;          // number of gateways that notify each other
  double datagrams_per_s = 0;  // datagrams that one gateway can receive; 0 disables broadcasts
  std::uint64_t seed = 0;      // determines the phase of broadcasts, so that gateways are out of step
};

// One gateway's view of customers' demand, and the queue of its broadcasts.
class UsageTable {
 public:
  UsageTable(const UsageOptions& options, TimePoint now);

  // Sets the number of live gateways in the membership view, including this one.
  void SetGroup(int size);

  // Records a customer's demand, as a multiple of its rate, from a total of the counter.
  void Observe(CustomerDigest customer, double demand, TimePoint now);
  // Handles a received datagram. Returns false if it belongs to another subsystem and was ignored.
  bool HandleDatagram(std::string_view bytes, TimePoint now);

  // Returns the latest demand of a customer; kUnknownDemand if there is none or it has expired.
  [[nodiscard]] double Demand(CustomerDigest customer, TimePoint now) const;

  // Returns when Next may return a datagram; nothing if no customer is queued for a broadcast.
  [[nodiscard]] std::optional<TimePoint> NextTick() const;
  // Returns the datagram to send to all gateways now, if any.
  std::optional<std::string> Next(TimePoint now);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint8_t level = 0;            // logarithm of the demand, see ToLevel
    TimePoint updated_at{0};           // last observation or received broadcast
    TimePoint broadcast_at{0};         // last broadcast by any gateway; 0 if there was none
    std::uint8_t broadcast_level = 0;  // the level in the last broadcast
    bool queued = false;
  };

  Entry& Update(CustomerDigest customer, TimePoint now);
  void EvictOldest();
  [[nodiscard]] static bool IsBroadcastDue(const Entry& entry, TimePoint now);
  // Moves the next turn past `now` by whole intervals, which preserves its phase.
  void SkipTurns(TimePoint now);

  double datagrams_per_s_ = 0;
  Duration interval_{0};  // time between two turns of this gateway; 0 if broadcasts are off
  TimePoint next_turn_{0};
  std::unordered_map<CustomerDigest, Entry> entries_;
  std::vector<CustomerDigest> queue_;  // customers to broadcast, in order of observation
};

}  // namespace postspread::usage

#endif  // POSTSPREAD_USAGE_USAGE_TABLE_H_
