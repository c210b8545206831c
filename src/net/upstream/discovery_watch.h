// Keeps up with discovery's list: asks for the whole once, then watches for changes. What becomes of a call
// is told by its answer, or its time; from a failed, refused or given-up one to the next that is answered it
// is never longer than discovery::DiscoverySchedule says, and so a change is in force within its bound. The
// half of an answer that was reset is no list; neither is what comes behind one. Where the list's number goes
// back, discovery began anew: the whole is asked for.
#ifndef POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_
#define POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

#include "config/endpoint_list.h"
#include "discovery/discovery_schedule.h"
#include "http/response.h"
#include "net/loop.h"

namespace postspread::net {

class DiscoveryWatch {
 public:
  using EndpointListCallback = std::function<void(config::EndpointList endpoint_list)>;

  DiscoveryWatch(event_base* base, config::Address address, std::chrono::microseconds dial_timeout,
                 int group_size, std::uint64_t seed, EndpointListCallback on_endpoint_list);
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Watches at another address from now on. The list there is asked for whole: its numbers may differ.
  void MoveTo(config::Address address);
  [[nodiscard]] const config::Address& address() const { return address_; }

  [[nodiscard]] bool heard() const { return heard_; }  // a list has come since the start

 private:
  void Dial();
  void Ask();
  void Event(short what);
  void Read();
  void Answered();
  void Lost(std::string_view why);

  event_base* base_;
  config::Address address_;
  EndpointListCallback on_endpoint_list_;
  discovery::DiscoverySchedule times_;
  BufferEvent connection_;
  http::ResponseParser parser_;
  bool heard_ = false;
  bool has_index_ = false;  // of this address
  std::uint64_t index_ = 0;
  bool failing_ = false;  // so that only changes are logged
  Timer timer_;           // the answer is overdue, or it is time to dial again
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_
