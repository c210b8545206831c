// Accepts client connections and owns them. The listener bounds their number by eviction, checks their
// timeouts, and closes them in a drain or shutdown.
#ifndef POSTSPREAD_NET_DOWNSTREAM_CLIENT_LISTENER_H_
#define POSTSPREAD_NET_DOWNSTREAM_CLIENT_LISTENER_H_

#include <cstddef>
#include <optional>
#include <utility>

#include "config/address.h"
#include "flow/memory_budgets.h"
#include "net/downstream/client_connection.h"
#include "net/downstream/connection_drainer.h"
#include "net/downstream/request_handler.h"
#include "net/log.h"
#include "net/loop.h"
#include "ops/lifecycle.h"

namespace postspread::net {

class ClientListener final : private ClientConnection::Owner {
 public:
  struct Options {
    config::Address listen;
    // A descriptor that already listens on that address and is shared with other processes. The listener
    // accepts from it only after StartAccepting, and never shuts it down.
    std::optional<int> inherited;
  };
  // Throws std::runtime_error if it can't listen.
  ClientListener(event_base* base, const Options& options, resp::Vocabulary vocabulary,
                 flow::MemoryBudgets& memory, ops::Metrics& metrics, RequestHandler& handler,
                 const LoopMonitor& loop_monitor);
  ~ClientListener();
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  // Sets the vocabulary against which all further commands are checked.
  void SetVocabulary(resp::Vocabulary vocabulary) { context_.vocabulary = std::move(vocabulary); }
  // Starts to accept from an inherited socket. Does nothing once accepting has ended.
  void StartAccepting();
  // Closes an inherited socket, which other processes go on serving. A socket of the listener's own stays
  // open until Drain.
  void CloseInheritedSocket();
  // Stops accepting and closes each connection as soon as it has no pending response. A command that has
  // begun to arrive may be completed until `command_deadline`. The caller repeats the call until the listener
  // is empty.
  void Drain(Clock::time_point command_deadline);
  // Start and stop the ConnectionDrainer, which closes the connections spread over time.
  void StartDraining(const ops::ConnectionDrainSchedule& schedule, ops::CloseReason reason) {
    drainer_.Start(schedule, reason);
  }
  void StopDraining() { drainer_.Stop(); }

  // Returns whether all clients have acknowledged their responses and only have to close their connections.
  [[nodiscard]] bool AllResponsesDelivered() const;
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

 private:
  // Accepting
  void Accept(evutil_socket_t fd);
  void OnAcceptError();
  void EnableAccepting();
  void PauseAccepting();
  void RetryAccepting();
  void StopAccepting();
  enum class Backlog { kEmpty, kSomeLeft };
  Backlog AcceptBacklog();

  // Capacity
  [[nodiscard]] bool IsFull() const { return connections_.size() >= max_connections_; }
  bool EvictOne();
  [[nodiscard]] Clock::time_point UnusedCutoff(Clock::time_point now) const;
  void RunMaintenance();

  // ClientConnection::Owner
  void Remove(ClientConnection* connection) override;
  void WatchForDisconnect() override;
  void CheckDisconnects();

  ConnectionContext context_;
  std::size_t max_connections_;
  bool is_inherited_;
  ClientConnections connections_;
  ConnectionDrainer drainer_;
  Listener listener_;
  bool is_accepting_ = false;
  unsigned accepted_ = 0;
  Timer retry_accept_;
  Timer maintenance_;
  bool watches_for_disconnect_ = false;
  Timer disconnect_check_;
  RateLimitedLog rejected_log_;
  RateLimitedLog accept_failed_log_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CLIENT_LISTENER_H_
