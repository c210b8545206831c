// The admin server: a second address, HTTP/1.1, one call to a connection. What a call means:
// src/ops/calls.h.
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
  // Holds config::kAdminConnections at once; where one more comes, the one that has been here longest goes.
  // Throws std::runtime_error where the address can't be listened on.
  AdminServer(event_base* base, const config::Address& listen, ops::AdminHandler& handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  class AdminConnection;

  void WatchAll();
  void Accept();
  void Remove(AdminConnection* connection);
  void LogCall(const std::string& call, const ops::Answer& answer);

  event_base* base_;
  ops::AdminHandler& handler_;
  int fd_ = -1;
  EventHandle accept_;
  Timer watch_again_;
  std::list<std::unique_ptr<AdminConnection>> connections_;  // the longest here first
  RareLog unfinished_, malformed_, accept_failed_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_ADMIN_SERVER_H_
