#include "net/downstream/client_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <vector>

#include "safety/connection_rules.h"

namespace postspread::net {
namespace {

constexpr std::chrono::milliseconds kDrainCheck{20};    // between two looks at who is to be closed now
constexpr std::chrono::milliseconds kMaintenance{250};  // between two looks at what stands still
constexpr std::chrono::milliseconds kDisconnectCheck{
    40};                                              // ... at who has gone behind bytes that nobody reads
constexpr std::chrono::milliseconds kLeastIdle{300};  // of one that is closed to make room for others
constexpr std::size_t kMany = 5;                      // part of the connections from which on they are many
// For a client that connects late in a drain to say what it has to say, and to finish a command then.
constexpr std::chrono::milliseconds kLateWord{100};
constexpr std::chrono::milliseconds kLateCommand{400};
constexpr std::chrono::milliseconds kFirstWord{
    500};  // in which a new client's first request may be on its way
constexpr std::chrono::milliseconds kAcceptAgain{50};     // until accepting is tried again
constexpr std::chrono::milliseconds kRoomAgain{20};       // until it is looked for room again
constexpr std::chrono::milliseconds kDrainReport{1'000};  // between two log lines about a drain that goes on
constexpr int kListedConnections = 5;                     // told one by one in such a report
constexpr int kAcceptFailures = 16;                       // on end, before the rest is left for another look
constexpr unsigned kAcceptsATurn = 32;                    // connections let in before others get their turn
constexpr int kBacklog = 1024;

}  // namespace

ClientListener::ClientListener(event_base* base, const config::Address& listen, std::optional<int> inherited,
                               resp::Vocabulary vocabulary, std::size_t max_connections,
                               flow::ByteBudget& bodies, ops::Metrics& metrics, RequestHandler& intake)
    : context_{.base = base,
               .vocabulary = std::move(vocabulary),
               .bodies = bodies,
               .metrics = metrics,
               .handler = intake},
      max_connections_(max_connections),
      inherited_(inherited.has_value()),
      accept_again_(base,
                    [this] {
                      if (!listener_) return;
                      if (connections_.size() >= max_connections_ && !MakeRoom()) {
                        return accept_again_.Arm(kRoomAgain);
                      }
                      Listen(true);
                    }),
      maintenance_(base, [this] { RunMaintenance(); }),
      disconnect_check_(base, [this] { CheckDisconnects(); }),
      drain_check_(base, [this] { CloseDrainedConnections(); }),
      drain_report_(base, [this] { CheckDrain(); }) {
  const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<ClientListener*>(self)->Accept(fd);
  };
  if (inherited) {
    int listens = 0;
    socklen_t size = sizeof listens;
    if (getsockopt(*inherited, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) {
      throw std::runtime_error("descriptor " + std::to_string(*inherited) + " does not listen");
    }
    evutil_make_socket_nonblocking(*inherited);
    evutil_make_socket_closeonexec(*inherited);
    listener_.reset(evconnlistener_new(base, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_DISABLED,
                                       /*backlog=*/0, *inherited));
  } else {
    constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    OpenWithRetries([&] {
      listener_.reset(evconnlistener_new_bind(base, accept, this, kOptions, kBacklog, listen.get(),
                                              static_cast<int>(listen.size())));
      return listener_ != nullptr;
    });
  }
  if (!listener_) throw std::runtime_error("can't listen on " + listen.text());
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    // Out of descriptors: trying again at once would spin.
    auto* owner = static_cast<ClientListener*>(self);
    owner->Listen(false);
    owner->accept_again_.Arm(kAcceptAgain);
    owner->accept_failed_("accept failed", evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  });
  if (!inherited) Listen(true);
  maintenance_.Arm(kMaintenance);
}

ClientListener::~ClientListener() = default;

void ClientListener::Listen(bool listens) {
  listens_ = listens;
  if (!listens) {
    evconnlistener_disable(listener_.get());
  } else if (evconnlistener_enable(listener_.get()) != 0) {
    // The system refused to watch it: it is deaf until the system is asked again.
    accept_again_.Arm(kAcceptAgain);
  }
}

void ClientListener::Accept(evutil_socket_t fd) {
  if (connections_.size() >= max_connections_ && !MakeRoom()) {
    evutil_closesocket(fd);
    context_.metrics.Closed(ops::CloseReason::kTurnedAway);
    turned_away_("connection turned away", "too many are open");
    return;
  }
  connections_.push_back(
      std::make_unique<ClientConnection>(context_, static_cast<ClientConnection::Owner&>(*this), fd));
  // Others get their turn after so many, and what can't be let in waits in the kernel's queue.
  const bool full = connections_.size() >= max_connections_ && !MakeRoom();
  if (listener_ && (full || ++accepted_ % kAcceptsATurn == 0)) {
    Listen(false);
    accept_again_.Arm(full ? kRoomAgain : std::chrono::milliseconds(0));
  }
  if (!draining_since_) return;
  // Early in a drain clients are still sent here; later a connection is held for as long as its client needs
  // to hear that nothing is taken any more.
  const auto now = Clock::now();
  const auto last_word = std::max(now + kLateWord, *draining_since_ + drain_schedule_.last);
  const auto at = std::min(std::max(now + kFirstWord, *draining_since_ + drain_schedule_.first), last_word);
  const auto until = std::max(at + kLateCommand, *draining_since_ + drain_schedule_.commands_until);
  connections_.back()->CloseAt({.at = at, .commands_until = until, .reason = drain_reason_});
}

void ClientListener::StartDraining(const ops::ConnectionDrainSchedule& schedule, ops::CloseReason reason) {
  const auto now = Clock::now();
  draining_since_ = now;
  drain_schedule_ = schedule;
  drain_reason_ = reason;
  drain_judged_ = false;
  std::vector<ClientConnection*> kept;
  for (const auto& connection : connections_) kept.push_back(connection.get());
  std::sort(kept.begin(), kept.end(), [](const auto* a, const auto* b) { return a->used() < b->used(); });
  for (std::size_t i = 0; i < kept.size(); ++i) {
    kept[i]->CloseAt({.at = now + schedule.After(i, kept.size()),
                      .commands_until = now + schedule.commands_until,
                      .reason = reason});
  }
  drain_check_.Arm(kDrainCheck);
  drain_report_.Arm(schedule.commands_until);
}

void ClientListener::StopDraining() {
  draining_since_.reset();
  drain_check_.Disarm();
  drain_report_.Disarm();
  for (const auto& connection : connections_) connection->Keep();
}

bool ClientListener::OnlyDelivered() const {
  return std::all_of(connections_.begin(), connections_.end(), [](const auto& c) { return c->delivered(); });
}

// How a drain goes: what still holds a connection once its time to be closed is over.
void ClientListener::CheckDrain() {
  CountHeldAgainstDrain();
  if (connections_.empty()) return Log("drain", "no client connection is left");
  Log("drain", std::to_string(connections_.size()) + " client connections are left");
  int listed = 0;
  for (const auto& connection : connections_) {
    if (++listed > kListedConnections) break;
    Log("drain", "left: " + connection->Describe());
  }
  drain_report_.Arm(kDrainReport);
}

// Once a drain, shortly before its time is over: what breaks the rule then is counted.
void ClientListener::CountHeldAgainstDrain() {
  constexpr std::chrono::milliseconds kJudge = safety::kDrainAllowed - std::chrono::milliseconds(100);
  const auto now = Clock::now();
  if (drain_reason_ != ops::CloseReason::kDrained || drain_judged_ || now < *draining_since_ + kJudge) return;
  drain_judged_ = true;
  for (const auto& connection : connections_) {
    if (connection->HeldAgainstDrain(now)) context_.metrics.rules.Violated(safety::Rule::kDrainInTime);
  }
}

void ClientListener::CloseDrainedConnections() {
  drain_check_.Arm(kDrainCheck);
  const auto now = Clock::now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    ClientConnection& connection = **it++;  // it may go away
    connection.CloseInTime(now);
  }
}

// Clients hold at most a third of the descriptors for requests. Near that those are closed that were last
// used at the time returned or before: the longest unused, or clients that ask once and stay would keep
// others out.
Clock::time_point ClientListener::EvictionCutoff(Clock::time_point now) const {
  const std::size_t room = max_connections_ * 2 / 5;  // a quarter of all: some three quarters of that third
  std::vector<Clock::time_point> used;
  for (const auto& connection : connections_) {
    if (connection->has_asked()) used.push_back(connection->used());
  }
  if (used.size() <= room) return {};
  const auto last = used.begin() + static_cast<std::ptrdiff_t>(used.size() - room - 1);
  std::nth_element(used.begin(), last, used.end());
  return std::min(*last, now - kLeastIdle);
}

void ClientListener::RunMaintenance() {
  maintenance_.Arm(kMaintenance);
  // Nothing where it is watched already: a listener that the system has refused to watch is deaf.
  if (listens_) evconnlistener_enable(listener_.get());
  const auto now = Clock::now();
  const bool many = connections_.size() > max_connections_ / kMany;
  const auto unused_since = EvictionCutoff(now);
  for (auto it = connections_.begin(); it != connections_.end();) {
    ClientConnection& connection = **it++;  // it may go away
    connection.CheckTimeouts(now, many, unused_since);
  }
}

void ClientListener::WatchForDisconnect() {
  if (!std::exchange(watches_for_disconnect_, true)) disconnect_check_.Arm(kDisconnectCheck);
}

void ClientListener::CheckDisconnects() {
  watches_for_disconnect_ = false;
  std::vector<ClientConnection*> gone;
  for (const auto& connection : connections_) {
    if (!connection->reading_paused()) continue;
    if (connection->HungUp()) {
      gone.push_back(connection.get());
    } else {
      WatchForDisconnect();
    }
  }
  for (ClientConnection* connection : gone) connection->OnDisconnect();  // each removes itself alone
}

// Closes the connection that can best be spared; its client opens another when it needs one.
bool ClientListener::MakeRoom() {
  const auto now = Clock::now();
  auto best = connections_.end();
  std::optional<flow::EvictionRank> first;
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    const std::optional<flow::EvictionRank> standing = flow::RankForEviction((*it)->EvictionState(now));
    if (!standing || (first && *standing >= *first) || (*it)->HasUnread()) continue;
    best = it;
    first = standing;
  }
  if (best == connections_.end()) return false;
  (*best)->ClosesFor(ops::CloseReason::kEvicted);
  (*best)->JudgeClose();
  connections_.erase(best);
  return true;
}

void ClientListener::Remove(ClientConnection* connection) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [connection](const auto& c) { return c.get() == connection; });
  if (found == connections_.end()) return;
  const std::unique_ptr<ClientConnection> owned = std::move(*found);
  connections_.erase(found);
  owned->JudgeClose();
  owned->CancelPendingRequests();
}

void ClientListener::StartAccepting() {
  if (inherited_ && listener_) Listen(true);
}

void ClientListener::LeaveInherited() {
  if (!inherited_) return;
  // What waits there is the other processes' to take: closing our descriptor of it resets nothing.
  listens_ = false;
  listener_.reset();
  accept_again_.Disarm();
}

void ClientListener::Drain(Clock::time_point commands_until) {
  // Called again until nothing is owed: the listener is there the first time only. Without the check a
  // SIGTERM with an answer owed was a crash.
  if (listener_) {
    // First those that are there: what ends makes room for what the machine has accepted.
    DrainAll(commands_until);
    if (inherited_ || AcceptWaiting() || Clock::now() >= commands_until) {
      listens_ = false;
      listener_.reset();
      accept_again_.Disarm();
    }
  }
  DrainAll(commands_until);
}

void ClientListener::DrainAll(Clock::time_point commands_until) {
  const auto now = Clock::now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    ClientConnection& connection = **it++;  // it may go away
    connection.CloseAt({.at = now, .commands_until = commands_until, .reason = ops::CloseReason::kStopping});
    connection.CloseInTime(now);
  }
}

// What the machine has accepted already has been taken: closing the listener now would reset it.
// Returns whether none is left: a system that is short of something for a moment is asked again.
bool ClientListener::AcceptWaiting() {
  const evutil_socket_t fd = evconnlistener_get_fd(listener_.get());
  for (int failed = 0; failed < kAcceptFailures;) {
    const evutil_socket_t accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      Accept(accepted);
      continue;
    }
    const int error = errno;
    if (error == EAGAIN || error == EWOULDBLOCK) return true;
    ++failed;  // an error may be that of one connection, and the next one is sound
    accept_failed_("accept failed", std::strerror(error));
  }
  return false;
}

}  // namespace postspread::net
