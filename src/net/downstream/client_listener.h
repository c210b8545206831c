// Takes clients' connections in and holds them: room, silence, drains and stops.
#ifndef POSTSPREAD_NET_DOWNSTREAM_CLIENT_LISTENER_H_
#define POSTSPREAD_NET_DOWNSTREAM_CLIENT_LISTENER_H_

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <utility>

#include "flow/byte_budget.h"
#include "net/downstream/client_connection.h"
#include "net/downstream/request_handler.h"
#include "net/log.h"
#include "net/loop.h"
#include "ops/lifecycle.h"

namespace postspread::net {

class ClientListener final : private ClientConnection::Owner {
 public:
  // Listens on `listen`, or takes the socket `inherited` that listens there already and is shared with other
  // processes: that one is accepted from once Accept is called, and is never shut down. Throws
  // std::runtime_error where that can't be.
  ClientListener(event_base* base, const config::Address& listen, std::optional<int> inherited,
                 resp::Vocabulary vocabulary, std::size_t max_connections, flow::ByteBudget& bodies,
                 ops::Metrics& metrics, RequestHandler& intake);
  ~ClientListener();
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  // What commands are checked against from now on.
  void SetVocabulary(resp::Vocabulary vocabulary) { context_.vocabulary = std::move(vocabulary); }
  // Begins to accept from an inherited socket; nothing where that has begun, or accepting has ended.
  void StartAccepting();
  // Leaves an inherited socket to the other processes that hold it. Its own listener it keeps until Drain.
  void LeaveInherited();
  // Stops accepting, takes what has been read so far, and closes every connection that owes no answer; each
  // other one as soon as it owes none. A command that has begun to come may end until `commands_until`.
  void Drain(Clock::time_point commands_until);
  // Closes the kept connections, each at its time; those that come meanwhile soon, too.
  void StartDraining(const ops::ConnectionDrainSchedule& schedule, ops::CloseReason reason);
  // Takes that back: a connection whose time has not come yet is kept.
  void StopDraining();
  // Whether the clients of all that are left have their answers, and are waited for to close.
  bool OnlyDelivered() const;
  bool empty() const { return connections_.empty(); }
  std::size_t size() const { return connections_.size(); }

 private:
  using Connections = std::list<std::unique_ptr<ClientConnection>>;

  void Accept(evutil_socket_t fd);
  void Listen(bool listens);
  bool AcceptWaiting();
  void Remove(ClientConnection* connection) override;
  bool MakeRoom();
  void RunMaintenance();
  void CloseDrainedConnections();
  void WatchForDisconnect() override;
  void CheckDisconnects();
  void DrainAll(Clock::time_point commands_until);
  void CheckDrain();
  void CountHeldAgainstDrain();
  Clock::time_point EvictionCutoff(Clock::time_point now) const;

  ConnectionContext context_;
  std::size_t max_connections_;
  bool inherited_ = false;
  std::optional<Clock::time_point> draining_since_;  // kept connections are being closed
  ops::ConnectionDrainSchedule drain_schedule_;
  ops::CloseReason drain_reason_ = ops::CloseReason::kDrained;
  bool drain_judged_ = false;  // it was counted what is held against the rule
  Connections connections_;
  Listener listener_;
  bool listens_ = false;  // connections are to be accepted now
  unsigned accepted_ = 0;
  Timer accept_again_;
  Timer maintenance_;
  bool watches_for_disconnect_ = false;
  Timer disconnect_check_;
  Timer drain_check_;
  Timer drain_report_;  // while connections are being closed: when what is left is logged
  RareLog turned_away_, accept_failed_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CLIENT_LISTENER_H_
