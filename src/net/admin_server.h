// Serves the operators' admin calls over HTTP/1.1 on a listening address of its own. Each connection carries
// one call; src/ops/admin_calls.h defines the calls.
#ifndef POSTSPREAD_NET_ADMIN_SERVER_H_
#define POSTSPREAD_NET_ADMIN_SERVER_H_

#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "net/log.h"
#include "net/loop.h"
#include "ops/admin_calls.h"

namespace postspread::net {

class AdminServer {
 public:
  // At most config::kAdminConnections connections are open; a further one evicts the oldest. Throws
  // std::runtime_error if the server can't listen.
  AdminServer(event_base* base, const config::Address& listen, ops::AdminHandler& handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  class AdminConnection;

  void WatchAll();
  void Accept();
  void Remove(AdminConnection* connection);
  void LogCall(const std::string& call, const ops::AdminResponse& response);

  event_base* base_;
  ops::AdminHandler& handler_;
  int fd_ = -1;
  EventHandle accept_;
  Timer watch_retry_;
  std::list<std::unique_ptr<AdminConnection>> connections_;  // oldest first
  RateLimitedLog incomplete_log_;
  RateLimitedLog malformed_log_;
  RateLimitedLog accept_failed_log_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_ADMIN_SERVER_H_
