// Closes client connections spread over the time of a drain, and reports how it goes.
#ifndef POSTSPREAD_NET_DOWNSTREAM_CONNECTION_DRAINER_H_
#define POSTSPREAD_NET_DOWNSTREAM_CONNECTION_DRAINER_H_

#include <list>
#include <memory>
#include <optional>

#include "net/downstream/client_connection.h"
#include "net/loop.h"
#include "ops/lifecycle.h"
#include "ops/metrics.h"

namespace postspread::net {

using ClientConnections = std::list<std::unique_ptr<ClientConnection>>;

class ConnectionDrainer {
 public:
  // `connections` belong to the listener; closing one may remove it from there.
  ConnectionDrainer(event_base* base, ClientConnections& connections, ops::Metrics& metrics);

  // Closes all connections by the schedule, and those that are accepted meanwhile soon after.
  void Start(const ops::ConnectionDrainSchedule& schedule, ops::CloseReason reason);
  // Keeps the connections whose time has not come.
  void Stop();
  // A connection was accepted; nothing outside a drain.
  void OnAccepted(ClientConnection& connection);
  // Closes all connections now: each once its responses are written and a command that has begun to arrive is
  // complete, or `commands_until` has passed.
  void CloseAll(Clock::time_point commands_until);

 private:
  void CloseDue();
  void Report();
  void CountViolations();

  ClientConnections& connections_;
  ops::Metrics& metrics_;
  std::optional<Clock::time_point> started_at_;  // while draining
  ops::ConnectionDrainSchedule schedule_;
  ops::CloseReason reason_ = ops::CloseReason::kDrained;
  bool violations_counted_ = false;
  Timer close_timer_;
  Timer report_timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CONNECTION_DRAINER_H_
