#include "flow/shares.h"

#include <algorithm>

#include "config/sockets.h"

namespace postspread::flow {
namespace {

constexpr std::size_t kLeastWindow = std::size_t{8} * 1024;
constexpr std::size_t kMostWindow = std::size_t{64} * 1024;

}  // namespace

std::size_t Shares::Window(std::size_t values) const {
  return std::clamp(passing / 2 / std::max<std::size_t>(1, values), kLeastWindow, kMostWindow);
}

Shares ToShares(const Limits& limits) {
  const std::size_t processes = limits.shared ? 2 : 1;
  const std::size_t memory = limits.memory / processes;
  const std::size_t sockets = limits.sockets / processes - config::kOtherSockets -
                              (limits.has_admin_server ? config::kAdminSockets : 0);
  // An upstream's connection is used again and again, a client's may be new with each request and slow.
  const std::size_t clients = sockets * 5 / 8;
  return {.requests = memory / 8,
          .bodies = std::max(limits.largest_command, memory / 4),
          .passing = memory / 8,
          .clients = clients,
          .upstreams = sockets - clients};
}

}  // namespace postspread::flow
