// Closes client connections spread over the duration of a drain, and logs its progress.
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
  // The listener owns `connections`. Closing a connection may remove it from the list.
  ConnectionDrainer(event_base* base, ClientConnections& connections, ops::Metrics& metrics);

  // Schedules the close of all connections. Connections accepted during the drain are closed soon after.
  void Start(const ops::ConnectionDrainSchedule& schedule, ops::CloseReason reason);
  // Cancels the drain. Connections whose close has not begun stay open.
  void Stop();
  // Schedules the close of a new connection. Does nothing outside a drain.
  void OnAccepted(ClientConnection& connection);
  // Closes all connections now. Each closes once its responses are written and a command that has begun to
  // arrive is complete or `command_deadline` has passed.
  void CloseAll(Clock::time_point command_deadline);

 private:
  void CloseDue();
  void Report();
  void CountViolations();

  ClientConnections& connections_;
  ops::Metrics& metrics_;
  std::optional<Clock::time_point> started_at_;  // set during a drain
  ops::ConnectionDrainSchedule schedule_;
  ops::CloseReason reason_ = ops::CloseReason::kDrained;
  bool violations_counted_ = false;
  Timer close_timer_;
  Timer report_timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CONNECTION_DRAINER_H_
