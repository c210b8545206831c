#include "net/downstream/client_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaintenanceInterval{250};
constexpr milliseconds kDisconnectCheckInterval{40};
constexpr milliseconds kShedInterval{1};
// The minimum idle time of a connection that is closed to free its descriptor.
constexpr milliseconds kMinIdle{300};
// More than a fifth of the maximum number of connections counts as many.
constexpr std::size_t kManyOpenDivisor = 5;
constexpr milliseconds kAcceptErrorRetryDelay{50};
constexpr milliseconds kCapacityRetryDelay{20};
constexpr int kMaxAcceptFailures = 16;            // in one AcceptBacklog call, which then returns
constexpr unsigned kMaxAcceptsPerIteration = 32;  // before the event loop serves other sockets
constexpr int kBacklog = 1024;

Listener Inherit(event_base* base, int fd, evconnlistener_cb on_accept, void* context) {
  int is_listening = 0;
  socklen_t size = sizeof is_listening;
  if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 || is_listening == 0) {
    throw std::runtime_error("descriptor " + std::to_string(fd) + " does not listen");
  }
  evutil_make_socket_nonblocking(fd);
  evutil_make_socket_closeonexec(fd);
  return Listener(evconnlistener_new(base, on_accept, context, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_DISABLED,
                                     /*backlog=*/0, fd));
}

Listener Bind(event_base* base, const config::Address& address, evconnlistener_cb on_accept, void* context) {
  constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  Listener listener;
  OpenWithRetries([&] {
    listener.reset(evconnlistener_new_bind(base, on_accept, context, kOptions, kBacklog, address.get(),
                                           static_cast<int>(address.size())));
    return listener != nullptr;
  });
  return listener;
}

}  // namespace

ClientListener::ClientListener(event_base* base, const Options& options, resp::Vocabulary vocabulary,
                               flow::MemoryBudgets& memory, ops::Metrics& metrics, RequestHandler& handler,
                               const LoopMonitor& loop_monitor)
    : context_{.base = base,
               .vocabulary = std::move(vocabulary),
               .memory = memory,
               .metrics = metrics,
               .handler = handler,
               .loop_monitor = loop_monitor},
      max_connections_(memory.partition.client_connections),
      is_inherited_(options.inherited.has_value()),
      drainer_(base, connections_, metrics),
      retry_accept_(base, [this] { RetryAccepting(); }),
      maintenance_(base, [this] { RunMaintenance(); }),
      disconnect_check_(base, [this] { CheckDisconnects(); }) {
  const auto on_accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<ClientListener*>(self)->Accept(fd);
  };
  listener_ = options.inherited ? Inherit(base, *options.inherited, on_accept, this)
                                : Bind(base, options.listen, on_accept, this);
  if (!listener_) throw std::runtime_error("can't listen on " + options.listen.text());
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    static_cast<ClientListener*>(self)->OnAcceptError();
  });
  if (!is_inherited_) EnableAccepting();
  maintenance_.Arm(kMaintenanceInterval);
}

ClientListener::~ClientListener() = default;

// ---- Accepting

void ClientListener::Accept(evutil_socket_t fd) {
  if (IsFull() && !EvictOne()) {
    evutil_closesocket(fd);
    context_.metrics.CountClosed(ops::CloseReason::kRejected);
    rejected_log_("connection rejected", "too many are open");
    return;
  }
  connections_.push_back(
      std::make_unique<ClientConnection>(context_, static_cast<ClientConnection::Owner&>(*this), fd));
  ClientConnection& connection = *connections_.back();
  // Connections beyond the capacity wait in the kernel's backlog. The pause also lets the event loop serve
  // other sockets.
  const bool is_full = IsFull() && !EvictOne();
  if (listener_ && (is_full || ++accepted_ % kMaxAcceptsPerIteration == 0)) {
    PauseAccepting();
    retry_accept_.Arm(is_full ? kCapacityRetryDelay : milliseconds(0));
  }
  drainer_.OnAccepted(connection);
}

void ClientListener::OnAcceptError() {
  // The usual cause is a shortage of descriptors, so an immediate retry would spin.
  PauseAccepting();
  retry_accept_.Arm(kAcceptErrorRetryDelay);
  accept_failed_log_("accept failed", evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

void ClientListener::EnableAccepting() {
  is_accepting_ = true;
  const bool is_watched = evconnlistener_enable(listener_.get()) == 0;
  if (!is_watched) retry_accept_.Arm(kAcceptErrorRetryDelay);
}

void ClientListener::PauseAccepting() {
  is_accepting_ = false;
  evconnlistener_disable(listener_.get());
}

void ClientListener::RetryAccepting() {
  if (!listener_) return;
  if (IsFull() && !EvictOne()) return retry_accept_.Arm(kCapacityRetryDelay);
  EnableAccepting();
}

// Closing this process's descriptor of an inherited socket resets no connections: the other processes accept
// those in the backlog.
void ClientListener::StopAccepting() {
  is_accepting_ = false;
  listener_.reset();
  retry_accept_.Disarm();
}

void ClientListener::StartAccepting() {
  if (is_inherited_ && listener_) EnableAccepting();
}

void ClientListener::CloseInheritedSocket() {
  if (is_inherited_) StopAccepting();
}

// Accepts the connections in the backlog. They are established, so closing the listener would reset them.
ClientListener::Backlog ClientListener::AcceptBacklog() {
  const evutil_socket_t fd = evconnlistener_get_fd(listener_.get());
  for (int failures = 0; failures < kMaxAcceptFailures;) {
    const evutil_socket_t accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      Accept(accepted);
      continue;
    }
    const int error = errno;
    if (error == EAGAIN || error == EWOULDBLOCK) return Backlog::kEmpty;
    ++failures;  // the error may concern a single connection
    accept_failed_log_("accept failed", std::strerror(error));
  }
  return Backlog::kSomeLeft;
}

// ---- Drain and shutdown

void ClientListener::Drain(Clock::time_point command_deadline) {
  if (listener_) {
    // Open connections are closed first, which frees capacity for the backlog.
    drainer_.CloseAll(command_deadline);
    if (is_inherited_ || AcceptBacklog() == Backlog::kEmpty || Clock::now() >= command_deadline) {
      StopAccepting();
    }
  }
  drainer_.CloseAll(command_deadline);
}

bool ClientListener::AllResponsesDelivered() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->IsDelivered(); });
}

// ---- Capacity

// Evicts the connection with the lowest eviction rank. Its client can reconnect. Returns false if no
// connection may be evicted.
bool ClientListener::EvictOne() {
  const auto now = Clock::now();
  auto victim = connections_.end();
  std::optional<flow::EvictionRank> lowest;
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    const std::optional<flow::EvictionRank> rank = flow::RankForEviction((*it)->EvictionState(now));
    if (!rank || (lowest && *rank >= *lowest) || (*it)->HasUnread()) continue;
    victim = it;
    lowest = rank;
  }
  if (victim == connections_.end()) return false;
  (*victim)->SetCloseReason(ops::CloseReason::kEvicted);
  (*victim)->CountViolationByClose();
  connections_.erase(victim);
  return true;
}

// Returns the cutoff of IdlePolicy: connections last used at this time or before are closed. Otherwise
// clients that send one request and stay connected would lock out others. Two fifths of the maximum number of
// connections stay open, as do connections in use.
Clock::time_point ClientListener::UnusedCutoff(Clock::time_point now) const {
  const std::size_t retained_count = max_connections_ * 2 / 5;
  std::vector<Clock::time_point> last_used;
  for (const auto& connection : connections_) {
    if (connection->has_requested()) last_used.push_back(connection->last_used_at());
  }
  if (last_used.size() <= retained_count) return {};
  const auto cutoff = last_used.begin() + static_cast<std::ptrdiff_t>(last_used.size() - retained_count - 1);
  std::nth_element(last_used.begin(), cutoff, last_used.end());
  return std::min(*cutoff, now - kMinIdle);
}

void ClientListener::RunMaintenance() {
  maintenance_.Arm(kMaintenanceInterval);
  // The system may have refused to watch the listener. Enabling a watched listener again has no effect.
  if (is_accepting_) evconnlistener_enable(listener_.get());
  const auto now = Clock::now();
  const IdlePolicy idle{.many_open = connections_.size() > max_connections_ / kManyOpenDivisor,
                        .unused_cutoff = UnusedCutoff(now)};
  for (auto it = connections_.begin(); it != connections_.end();) {
    ClientConnection& connection = **it++;  // the call may remove the connection
    connection.CheckTimeouts(now, idle);
  }
}

// ---- Removal and disconnects

void ClientListener::Remove(ClientConnection* connection) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [connection](const auto& each) { return each.get() == connection; });
  if (found == connections_.end()) return;
  const std::unique_ptr<ClientConnection> removed = std::move(*found);
  connections_.erase(found);
  removed->CountViolationByClose();
  removed->CancelPendingRequests();
}

void ClientListener::WatchForDisconnect() {
  if (watches_for_disconnect_) return;
  watches_for_disconnect_ = true;
  disconnect_check_.Arm(kDisconnectCheckInterval);
}

void ClientListener::CheckDisconnects() {
  watches_for_disconnect_ = false;
  std::vector<ClientConnection*> disconnected;
  bool has_shed = false;
  for (const auto& connection : connections_) {
    if (!connection->IsReadingPaused()) continue;
    if (!connection->HungUp() && connection->IsDisconnectHidden()) {
      connection->ShedCommands();
      has_shed = true;  // more bytes may be on their way
    }
    if (connection->HungUp()) {
      disconnected.push_back(connection.get());
    } else {
      WatchForDisconnect();
    }
  }
  if (has_shed) disconnect_check_.Arm(kShedInterval);
  for (ClientConnection* connection : disconnected) connection->OnDisconnect();  // removes only itself
}

}  // namespace postspread::net
