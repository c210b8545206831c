// This module routes the planner's actions to the gateway's parts.
#ifndef POSTSPREAD_NET_GATEWAY_ACTION_ROUTER_H_
#define POSTSPREAD_NET_GATEWAY_ACTION_ROUTER_H_

#include "net/gateway/counter_connections.h"
#include "net/gateway/peer_datagrams.h"
#include "net/gateway/planner_driver.h"
#include "net/gateway/request_dispatcher.h"
#include "net/upstream/upstream_pool.h"

namespace postspread::net {

// Passes each of the planner's actions to the part of the gateway that executes it.
class ActionRouter final : public ActionExecutor {
 public:
  struct Executors {
    RequestDispatcher& requests;
    PeerDatagrams& peers;
    CounterConnections& counters;
    UpstreamPool& pool;
  };
  explicit ActionRouter(const Executors& executors) : executors_(executors) {}

  void Execute(planner::Action& action) override;

 private:
  Executors executors_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_ACTION_ROUTER_H_
