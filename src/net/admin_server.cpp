#include "net/admin_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "config/sockets.h"
#include "http/request.h"

namespace postspread::net {
namespace {

// Bounds the time until the head of a call has arrived and the caller has read the response.
constexpr std::chrono::milliseconds kCallTimeout{5'000};
// Bounds the wait for the caller to close the connection after the response.
constexpr std::chrono::milliseconds kLingerTimeout{1'000};
constexpr std::chrono::milliseconds kWatchRetryDelay{50};
constexpr int kBacklog = 64;
constexpr int kMaxAcceptsPerIteration = 8;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

}  // namespace

class AdminServer::AdminConnection {
 public:
  AdminConnection(AdminServer& admin_server, evutil_socket_t fd)
      : admin_server_(admin_server),
        connection_(AdoptSocket(admin_server.base_, fd)),
        timer_(admin_server.base_, [this] { OnTimeout(); }) {
    bufferevent_priority_set(connection_.get(), kUrgentPriority);
    SetCallbacks<&AdminConnection::OnRead, &AdminConnection::OnWritten, &AdminConnection::OnEvent>(
        connection_.get(), this);
    bufferevent_setwatermark(connection_.get(), EV_READ, 0, http::RequestParser::kMaxHead);
    timer_.Arm(kCallTimeout);
  }
  // Returns false if the socket can't be watched for now, as net::Watch does.
  bool EnsureWatched() { return Watch(connection_.get()); }

 private:
  void OnRead() {
    // Calls have no body, so bytes that arrive after the response are discarded.
    if (has_responded_) return Consume(connection_.get(), ReadSize(connection_.get()));
    while (ReadSize(connection_.get()) > 0 && !parser_.done() && !parser_.broken()) {
      Consume(connection_.get(), parser_.Feed(PeekFirst(connection_.get())));
    }
    if (parser_.broken()) {
      admin_server_.malformed_log_("admin call malformed", parser_.error());
      return Respond({.status = 400, .body = std::string(parser_.error()) + "\n", .allow = {}});
    }
    if (!parser_.done()) return;
    const ops::AdminResponse response =
        ops::HandleAdminCall(parser_.method(), parser_.target(), admin_server_.handler_);
    admin_server_.LogCall(parser_.method() + " " + parser_.target(), response);
    Respond(response);
  }

  void Respond(const ops::AdminResponse& response) {
    has_responded_ = true;
    Write(connection_.get(), http::FormatResponse(response.status, response.body, response.allow));
    if (Unwritten(connection_.get()) == 0) OnWritten();
  }

  // Starts a lingering close: closing the socket with unread bytes would reset it, and the caller could lose
  // the response.
  void OnWritten() {
    if (!has_responded_ || is_shut_down_) return;
    is_shut_down_ = true;
    shutdown(bufferevent_getfd(connection_.get()), SHUT_WR);
    Consume(connection_.get(), ReadSize(connection_.get()));
    timer_.Arm(kLingerTimeout);
  }

  void OnTimeout() {
    if (has_responded_) return admin_server_.Remove(this);
    admin_server_.incomplete_log_("admin call incomplete", "timed out");
    Respond({.status = 408, .body = "the call was not finished in time\n", .allow = {}});
    if (!is_shut_down_) timer_.Arm(kLingerTimeout);
  }

  void OnEvent(short what) {
    if (IsTransientError(what)) return admin_server_.WatchAll();
    const bool is_reset = (what & BEV_EVENT_ERROR) != 0;
    if (!is_reset && (what & BEV_EVENT_EOF) == 0) return;
    if (!has_responded_) {
      const char* reason = is_reset ? "connection reset" : "closed by the caller";
      admin_server_.incomplete_log_("admin call incomplete", reason);
    }
    // A caller that has only shut down its sending side may still read the response.
    if (is_reset || !has_responded_ || is_shut_down_) admin_server_.Remove(this);
  }

  AdminServer& admin_server_;
  BufferEvent connection_;
  Timer timer_;
  http::RequestParser parser_;
  bool has_responded_ = false;
  bool is_shut_down_ = false;
};

AdminServer::AdminServer(event_base* base, const config::Address& listen, ops::AdminHandler& handler)
    : base_(base), handler_(handler), watch_retry_(base, [this] { WatchAll(); }) {
  // The server does not use evconnlistener, which has no event priority: calls must be accepted even when the
  // loop is busy.
  OpenWithRetries([&] {
    fd_ = socket(listen.get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    return fd_ >= 0;
  });
  const int one = 1;
  if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd_ < 0 || bind(fd_, listen.get(), listen.size()) != 0 || ::listen(fd_, kBacklog) != 0) {
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("can't listen for operators on " + listen.text());
  }
  accept_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<AdminServer*>(self)->Accept(); }, this));
  event_priority_set(accept_.get(), kUrgentPriority);
  WatchAll();
}

AdminServer::~AdminServer() {
  accept_.reset();
  close(fd_);
}

// Watches all sockets of the server. The system may refuse temporarily; it is then retried, so that no call
// is lost.
void AdminServer::WatchAll() {
  bool watched = event_add(accept_.get(), nullptr) == 0;
  for (const auto& connection : connections_) watched = connection->EnsureWatched() && watched;
  if (watched) return;
  accept_failed_log_("can't watch a socket", "of the admin listener");
  watch_retry_.Arm(kWatchRetryDelay);
}

void AdminServer::Accept() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    const evutil_socket_t fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      const int error = errno;
      if (error != EAGAIN && error != EINTR) accept_failed_log_("admin accept failed", std::strerror(error));
      return;
    }
    // Idle connections must not lock out other callers.
    if (connections_.size() >= config::kAdminConnections) {
      incomplete_log_("admin call incomplete", "evicted for another caller");
      connections_.pop_front();
    }
    connections_.push_back(std::make_unique<AdminConnection>(*this, fd));
    if (!connections_.back()->EnsureWatched()) watch_retry_.Arm(kWatchRetryDelay);
  }
}

// Logs each call that may change something, and each call with an unknown path or a wrong method. Readiness
// checks and metric scrapes are frequent and are not logged.
void AdminServer::LogCall(const std::string& call, const ops::AdminResponse& response) {
  const std::string line = call + ": " + std::to_string(response.status);
  if (!call.starts_with("GET ")) return Log("admin call", line);
  if (response.status == kNotFound || response.status == kMethodNotAllowed)
    malformed_log_("admin call", line);
}

void AdminServer::Remove(AdminConnection* connection) {
  connections_.remove_if([connection](const auto& each) { return each.get() == connection; });
}

}  // namespace postspread::net
