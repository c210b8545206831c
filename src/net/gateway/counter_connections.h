// The connection to the shared counter, and those to its former addresses until their calls have ended.
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

class CounterConnections final : private CounterListener {
 public:
  // Without an address every call fails as unreachable. `settings` are read at each dial.
  CounterConnections(event_base* base, const Settings& settings,
                     const std::optional<config::Address>& address, PlannerDriver& driver);

  // The result is reported to the planner, for one name in the order of its calls.
  void Call(planner::CallCounter call);
  // Dials another address; the former connection is retired. Nothing where there is no counter.
  void MoveTo(const config::Address& address);
  // Whether the counter is connected, or none is configured.
  [[nodiscard]] bool IsConnected() const { return connections_.empty() || connections_.back().up(); }

 private:
  void OnCounterReply(planner::CounterReport report) override;
  void Dial(const config::Address& address);
  void CloseRetired();

  event_base* base_;
  const Settings& settings_;
  PlannerDriver& driver_;
  std::list<CounterClient> connections_;  // the last is the current one, those before it are retired
  Timer close_retired_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_COUNTER_CONNECTIONS_H_
