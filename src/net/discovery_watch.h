// Keeps up with discovery's list: asks for the whole once, then watches for changes.
#ifndef POSTSPREAD_NET_DISCOVERY_WATCH_H_
#define POSTSPREAD_NET_DISCOVERY_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string_view>

#include "config/roster.h"
#include "http/response.h"
#include "net/loop.h"

namespace postspread::net {

class DiscoveryWatch {
 public:
  using OnRoster = std::function<void(config::Roster roster)>;

  DiscoveryWatch(event_base* base, config::Address address, std::chrono::microseconds dial_timeout,
                 int group_size, std::uint64_t seed, OnRoster on_roster);
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Watches at another address from now on. The list there is asked for whole: its numbers may differ.
  void MoveTo(config::Address address);
  const config::Address& address() const { return address_; }

  bool heard() const { return heard_; }  // a list has come since the start

 private:
  void Dial();
  void Ask();
  void Event(short what);
  void Read();
  void Answered();
  void Lost(std::string_view why);
  std::chrono::milliseconds Pause();

  event_base* base_;
  config::Address address_;
  std::chrono::microseconds dial_timeout_;
  OnRoster on_roster_;
  std::chrono::milliseconds refused_pause_;  // mean time until what was refused is asked again
  std::minstd_rand random_;                  // spreads the calls
  BufferEvent connection_;
  http::ResponseParser parser_;
  bool heard_ = false;
  bool has_index_ = false;  // of this address
  std::uint64_t index_ = 0;
  bool failing_ = false;  // so that only changes are logged
  Timer timer_;           // the answer is overdue, or it is time to dial again
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DISCOVERY_WATCH_H_
