// This module manages the connections to the shared counter.
#ifndef POSTSPREAD_NET_GATEWAY_COUNTER_CONNECTIONS_H_
#define POSTSPREAD_NET_GATEWAY_COUNTER_CONNECTIONS_H_

#include <list>
#include <optional>

#include "config/address.h"
#include "config/settings.h"
#include "net/gateway/planner_driver.h"
#include "net/loop.h"
#include "net/upstream/counter_client.h"

namespace postspread::net {

// Owns the connection to the current address of the shared counter. It keeps connections to former addresses
// until their calls have ended.
class CounterConnections final : private CounterListener {
 public:
  // Without an address every call fails as unreachable. The timeouts are read from `settings` at each dial.
  CounterConnections(event_base* base, const Settings& settings,
                     const std::optional<config::Address>& address, PlannerDriver& driver);

  // Executes the call and reports its result to the planner. Results for one name are reported in the order
  // of the calls.
  void Call(planner::CallCounter call);
  // Dials `address` and retires the former connection. Does nothing if no counter is configured.
  void ChangeAddress(const config::Address& address);
  // Returns whether the counter is connected, or no counter is configured.
  [[nodiscard]] bool IsConnected() const { return connections_.empty() || connections_.back().up(); }

 private:
  void OnCounterReply(planner::CounterReport report) override;
  void Dial(const config::Address& address);
  void CloseRetired();

  event_base* base_;
  const Settings& settings_;
  PlannerDriver& driver_;
  // The last connection is the current one; those before it are retired.
  std::list<CounterClient> connections_;
  Timer close_retired_timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_COUNTER_CONNECTIONS_H_
