#include "net/gateway/counter_connections.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace postspread::net {
namespace {

constexpr std::chrono::milliseconds kRetiredCheckInterval{50};

}  // namespace

CounterConnections::CounterConnections(event_base* base, const Settings& settings,
                                       const std::optional<config::Address>& address, PlannerDriver& driver)
    : base_(base),
      settings_(settings),
      driver_(driver),
      close_retired_timer_(base, [this] { CloseRetired(); }) {
  if (address) Dial(*address);
}

void CounterConnections::Call(planner::CallCounter call) {
  if (connections_.empty()) {
    return OnCounterReply({.name = std::move(call.name), .result = planner::CounterResult::kUnreachable});
  }
  // Results for one name must be reported in the order of its calls, so a name with a pending call on a
  // retired connection is called on that connection. Other names use a retired connection until the current
  // one is up.
  for (CounterClient& connection : connections_) {
    if (connection.Awaits(call.name)) return connection.Call(std::move(call));
  }
  const auto up = std::find_if(connections_.rbegin(), connections_.rend(),
                               [](const CounterClient& connection) { return connection.up(); });
  CounterClient& connection = up == connections_.rend() ? connections_.back() : *up;
  connection.Call(std::move(call));
}

void CounterConnections::ChangeAddress(const config::Address& address) {
  if (connections_.empty() || connections_.back().address() == address) return;
  for (CounterClient& connection : connections_) connection.Retire();
  Dial(address);
  close_retired_timer_.Arm(kRetiredCheckInterval);
}

void CounterConnections::OnCounterReply(planner::CounterReport report) { driver_.Report(std::move(report)); }

void CounterConnections::Dial(const config::Address& address) {
  connections_.emplace_back(base_, address, settings_.counter_timeout, settings_.dial_timeout,
                            static_cast<CounterListener&>(*this));
}

// Closes each retired connection that has no pending call, once the current connection is up or the retired
// one is lost.
void CounterConnections::CloseRetired() {
  const bool replaced = connections_.back().up();
  for (auto it = connections_.begin(); std::next(it) != connections_.end();) {
    const bool done = !it->AwaitsAny() && (replaced || !it->up());
    it = done ? connections_.erase(it) : std::next(it);
  }
  if (connections_.size() > 1) close_retired_timer_.Arm(kRetiredCheckInterval);
}

}  // namespace postspread::net
