// The operators' calls over HTTP/1.1 at an address of their own, one call a connection. What a call means:
// src/ops/admin_calls.h.
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
  // At most config::kAdminConnections are open: one more evicts the oldest. Throws std::runtime_error where
  // it can't listen.
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
  std::list<std::unique_ptr<AdminConnection>> connections_;  // the oldest first
  RareLog incomplete_log_;
  RareLog malformed_log_;
  RareLog accept_failed_log_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_ADMIN_SERVER_H_
