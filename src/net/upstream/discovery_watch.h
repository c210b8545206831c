// Follows discovery's endpoint list: requests a snapshot once, then long-polls for changes.
//
// A request ends with its response or its timeout. From one that failed, was refused or timed out to the next
// one that is answered no more time passes than discovery::DiscoverySchedule allows, so that a change is in
// force within its bound. A response that is reset halfway is no list, and neither are bytes behind one.
// Where the list's index goes back, discovery has started anew: a snapshot is requested.
#ifndef POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_
#define POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "config/endpoint_list.h"
#include "discovery/discovery_schedule.h"
#include "http/response.h"
#include "net/loop.h"

namespace postspread::net {

class DiscoveryWatch {
 public:
  using EndpointListCallback = std::function<void(config::EndpointList endpoint_list)>;

  // Connects at once. `seed` and `group_size`: see discovery::DiscoverySchedule.
  DiscoveryWatch(event_base* base, config::Address address, std::chrono::microseconds dial_timeout,
                 int group_size, std::uint64_t seed, EndpointListCallback on_endpoint_list);
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Watches at another address from now on. A snapshot is requested there, as its index may differ.
  void MoveTo(config::Address address);
  [[nodiscard]] const config::Address& address() const { return address_; }

  // Whether a list has arrived since the start.
  [[nodiscard]] bool has_list() const { return has_list_; }

 private:
  void Connect();
  void Poll();
  void OnEvent(short what);
  void OnReadable();
  void OnResponse();
  void OnEndpointList(config::EndpointList endpoint_list);
  void OnFailure(std::string_view reason);
  void OnTimer();
  void PollAgain();

  event_base* base_;
  config::Address address_;
  EndpointListCallback on_endpoint_list_;
  discovery::DiscoverySchedule schedule_;
  BufferEvent connection_;
  http::ResponseParser parser_;
  bool has_list_ = false;
  std::optional<std::uint64_t> index_;  // of the list at this address; nothing: a snapshot is needed
  bool is_failing_ = false;             // so that only changes are logged
  Timer timer_;                         // of the connect or response timeout, or of the next connect
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_
