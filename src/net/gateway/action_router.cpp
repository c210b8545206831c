#include "net/gateway/action_router.h"

#include <utility>
#include <variant>

#include "net/log.h"

namespace postspread::net {
namespace {

template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};
template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace

void ActionRouter::Execute(planner::Action& action) {
  std::visit(Overloaded{
                 [this](const planner::SendDatagram& datagram) { executors_.peers.Send(datagram); },
                 [this](const planner::SendMembershipDatagram& datagram) { executors_.peers.Send(datagram); },
                 [this](planner::CallCounter& call) { executors_.counters.Call(std::move(call)); },
                 [this](const planner::StartHealthCheck& health_check) {
                   executors_.pool.StartHealthCheck(health_check.upstream);
                 },
                 [](const planner::LogEvent& event) { Log("decisions", event.line); },
                 [this](const auto& request_action) { executors_.requests.Execute(request_action); },
             },
             action);
}

}  // namespace postspread::net
