// The state that all client connections of a listener share.
#ifndef POSTSPREAD_NET_DOWNSTREAM_CONNECTION_CONTEXT_H_
#define POSTSPREAD_NET_DOWNSTREAM_CONNECTION_CONTEXT_H_

#include <cstddef>
#include <unordered_set>

#include "flow/memory_budgets.h"
#include "net/downstream/request_handler.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/loop_monitor.h"
#include "ops/metrics.h"
#include "resp/request.h"

namespace postspread::net {

struct ConnectionContext {
  event_base* base;
  resp::Vocabulary vocabulary;  // commands are checked against it
  flow::MemoryBudgets& memory;
  ops::Metrics& metrics;
  RequestHandler& handler;
  const LoopMonitor& loop_monitor;
  // Hashes of the ids of requests with a pending response. A second request with such an id is a client error
  // and is rejected, because it could be executed in place of the first.
  std::unordered_set<std::size_t> pending_ids{};
  // The number of connections with pending responses.
  std::size_t active_connections = 0;
  RateLimitedLog rejected_command_log{};
  RateLimitedLog memory_wait_log{};
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CONNECTION_CONTEXT_H_
