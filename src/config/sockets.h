// How many of a process's file descriptors are reserved for other uses than clients and upstreams.
#ifndef POSTSPREAD_CONFIG_SOCKETS_H_
#define POSTSPREAD_CONFIG_SOCKETS_H_

#include <cstddef>

namespace postspread::config {

// For the log, the event loop, the listener, discovery, the counter and the event library.
inline constexpr std::size_t kOtherSockets = 16;
inline constexpr std::size_t kAdminConnections = 12;  // maximum of concurrent connections to the admin server
inline constexpr std::size_t kAdminSockets = kAdminConnections + 1;
inline constexpr std::size_t kMinRequestSockets = 16;  // minimum for clients and upstreams together

// Returns the minimum of descriptors for a process. It doubles if two processes share the limit.
constexpr std::size_t MinSockets(bool has_admin_server, bool shared) {
  return (kOtherSockets + kMinRequestSockets + (has_admin_server ? kAdminSockets : 0)) * (shared ? 2 : 1);
}

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_SOCKETS_H_
