// Descriptors that serve neither clients nor upstreams.
#ifndef POSTSPREAD_CONFIG_SOCKETS_H_
#define POSTSPREAD_CONFIG_SOCKETS_H_

#include <cstddef>

namespace postspread::config {

inline constexpr std::size_t kOtherSockets = 16;  // log, loop, listener, discovery, counter, the library's
inline constexpr std::size_t kAdminConnections = 12;  // operators' calls held at once
inline constexpr std::size_t kAdminSockets = kAdminConnections + 1;
inline constexpr std::size_t kLeastForRequests = 16;  // clients and upstreams together

// What a process needs at least.
constexpr std::size_t LeastSockets(bool has_admin_server, bool shared) {
  return (kOtherSockets + kLeastForRequests + (has_admin_server ? kAdminSockets : 0)) * (shared ? 2 : 1);
}

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_SOCKETS_H_
