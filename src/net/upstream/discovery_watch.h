// Follows discovery's endpoint list: polls for a snapshot once, then long-polls for changes.
//
// Each poll ends with its response or its timeout. After a poll that failed, was refused or timed out,
// discovery::DiscoverySchedule bounds the time until the next successful one, so that a change takes effect
// within its time limit. A response that is reset before its end is discarded, and so are bytes after a
// response. If the list's index decreases, discovery has restarted, and the watch polls for a snapshot.
#ifndef POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_
#define POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_

#include <chrono>
#include <cstddef>
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

  // Connects at once. discovery::DiscoverySchedule documents `seed` and `group_size`. A response of more than
  // `max_response` bytes is discarded as malformed.
  DiscoveryWatch(event_base* base, config::Address address, std::chrono::microseconds dial_timeout,
                 int group_size, std::uint64_t seed, std::size_t max_response,
                 EndpointListCallback on_endpoint_list);
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Watches another address from now on, and polls for a snapshot there, since its index may differ.
  void ChangeAddress(config::Address address);
  [[nodiscard]] const config::Address& address() const { return address_; }

  // Returns whether a list has arrived since construction.
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
  std::optional<std::uint64_t> index_;  // index of the list at this address; unset if a snapshot is needed
  bool is_failing_ = false;             // ensures that only changes are logged
  Timer timer_;                         // the connect or response timeout, or the next connect
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_DISCOVERY_WATCH_H_
