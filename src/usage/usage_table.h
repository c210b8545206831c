// What gateways tell one another of the customers that ask for more than their quota. One gateway of a
// hundred meets most customers less than once in ten seconds; where the shared counter can't answer for each
// request, it would have to guess for nearly all of them. The last total that anybody got is worth telling.
//
// It promises no more than hearsay: an entry may be late, lost or some seconds old, and the counter's own
// totals win wherever they are to be had. No I/O, no clock: time and the seed are handed in.
//
// Bounds: kMaxEntries customers (the longest unheard of go first), kMaxDatagram bytes a datagram, and for all
// gateways together kPaceShare of the datagrams that one of them takes in.
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

inline constexpr std::size_t kMaxDatagram = 256;
inline constexpr std::size_t kMaxEntries = 4096;

struct UsageOptions {
  int group_size = 1;          // gateways that hear one another
  double datagrams_per_s = 0;  // that one of them takes in; 0: nothing is told
  std::uint64_t seed = 0;      // spreads the telling, so that gateways do not speak in step
};

class UsageTable {
 public:
  UsageTable(const UsageOptions& options, TimePoint now);

  // So many gateways hear one another now, this one included, by the membership view.
  void SetGroup(int size);

  // A total of the counter has shown what a customer asks for, as a multiple of its rate.
  void Observe(std::uint32_t customer, double demand, TimePoint now);
  // A datagram has come. Returns whether it was one of the board's; any other is left alone.
  bool Received(std::string_view bytes, TimePoint now);

  // The latest word on a customer; below 0: none, or too old to say anything.
  double Demand(std::uint32_t customer, TimePoint now) const;

  // When Next may have something to tell; nothing: not before something is learnt.
  std::optional<TimePoint> NextTick() const;
  // What is to be told to all gateways now, if anything.
  std::optional<std::string> Next(TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint8_t level = 0;       // of the demand, see ToLevel
    TimePoint at{0};              // of the latest word
    TimePoint told{0};            // when anybody last told it to all ...
    std::uint8_t told_level = 0;  // ... and as what
    bool queued = false;
  };

  Entry& Find(std::uint32_t customer, TimePoint now);

  double datagrams_per_s_ = 0;
  Duration pace_{0};      // between two turns of this gateway
  TimePoint next_at_{0};  // its next turn: the phase is the seed's, and is kept
  std::unordered_map<std::uint32_t, Entry> entries_;
  std::vector<std::uint32_t> queue_;  // to be told, in the order of learning
};

}  // namespace postspread::usage

#endif  // POSTSPREAD_USAGE_USAGE_TABLE_H_
