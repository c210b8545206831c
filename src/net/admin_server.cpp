#include "net/admin_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
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

constexpr std::chrono::milliseconds kTimeout{5'000};  // for a caller's head, and for it to take the answer
constexpr std::chrono::milliseconds kLinger{1'000};   // for a caller to close after the answer
constexpr std::chrono::milliseconds kWatchAgain{50};  // until the system is asked again to watch a socket
constexpr int kBacklog = 64;
constexpr int kAcceptsATurn = 8;
constexpr int kNotFound = 404;
constexpr int kWrongMethod = 405;

}  // namespace

class AdminServer::AdminConnection {
 public:
  AdminConnection(AdminServer& admin_server, evutil_socket_t fd)
      : admin_server_(admin_server), timer_(admin_server.base_, [this] { TimedOut(); }) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    connection_.reset(bufferevent_socket_new(admin_server.base_, fd, BEV_OPT_CLOSE_ON_FREE));
    if (!connection_) {
      evutil_closesocket(fd);
      throw std::bad_alloc();
    }
    bufferevent_priority_set(connection_.get(), kUrgent);
    bufferevent_setcb(
        connection_.get(), [](bufferevent*, void* self) { static_cast<AdminConnection*>(self)->Read(); },
        [](bufferevent*, void* self) { static_cast<AdminConnection*>(self)->Written(); },
        [](bufferevent*, short what, void* self) {
          auto* connection = static_cast<AdminConnection*>(self);
          if (IsPassingError(what)) return connection->admin_server_.WatchAll();
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            connection->Gone((what & BEV_EVENT_ERROR) != 0);
        },
        this);
    bufferevent_setwatermark(connection_.get(), EV_READ, 0, http::RequestParser::kMaxHead);
    timer_.Arm(kTimeout);
  }
  // False: the system refused to watch it, and it would be deaf.
  bool Watched() { return Watch(connection_.get()); }

 private:
  void Read() {
    if (answered_) return Consume(connection_.get(), ReadSize(connection_.get()));  // a body nobody asked for
    while (ReadSize(connection_.get()) > 0 && !parser_.done() && !parser_.broken()) {
      Consume(connection_.get(), parser_.Feed(PeekFirst(connection_.get())));
    }
    if (parser_.broken()) {
      admin_server_.malformed_("admin call malformed", parser_.error());
      return Answer({.status = 400, .body = std::string(parser_.error()) + "\n", .allow = {}});
    }
    if (!parser_.done()) return;
    const ops::Answer answer = ops::Call(parser_.method(), parser_.target(), admin_server_.handler_);
    admin_server_.LogCall(parser_.method() + " " + parser_.target(), answer);
    Answer(answer);
  }

  void Answer(const ops::Answer& answer) {
    answered_ = true;
    Write(connection_.get(), http::Response(answer.status, answer.body, answer.allow));
    if (Unwritten(connection_.get()) == 0) Written();
  }

  // Our side is shut, and what still comes is read until the caller closes: closed with bytes unread the
  // socket would be reset, and the answer with it.
  void Written() {
    if (!answered_ || std::exchange(shut_, true)) return;
    shutdown(bufferevent_getfd(connection_.get()), SHUT_WR);
    Consume(connection_.get(), ReadSize(connection_.get()));
    timer_.Arm(kLinger);
  }

  void TimedOut() {
    if (answered_) return admin_server_.Remove(this);
    admin_server_.unfinished_("admin call not finished", "no whole call in time");
    Answer({.status = 408, .body = "the call was not finished in time\n", .allow = {}});
    if (!shut_) timer_.Arm(kLinger);
  }

  // A caller that has shut its side may still read: what it is owed goes out first.
  void Gone(bool error) {
    if (!answered_)
      admin_server_.unfinished_("admin call not finished",
                                error ? "connection reset" : "closed by the caller");
    if (error || !answered_ || shut_) admin_server_.Remove(this);
  }

  AdminServer& admin_server_;
  BufferEvent connection_;
  Timer timer_;
  http::RequestParser parser_;
  bool answered_ = false;
  bool shut_ = false;
};

AdminServer::AdminServer(event_base* base, const config::Address& listen, ops::AdminHandler& handler)
    : base_(base), handler_(handler), watch_again_(base, [this] { WatchAll(); }) {
  // Not evconnlistener: it has no priority, and a call must be let in however busy the loop is.
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
  event_priority_set(accept_.get(), kUrgent);
  WatchAll();
}

AdminServer::~AdminServer() {
  accept_.reset();
  close(fd_);
}

// A socket that the system refuses to watch would be deaf for good, and a call on it lost: it is asked again.
void AdminServer::WatchAll() {
  bool watched = event_add(accept_.get(), nullptr) == 0;
  for (const auto& connection : connections_) watched = connection->Watched() && watched;
  if (watched) return;
  accept_failed_("can't watch a socket", "of the admin listener");
  watch_again_.Arm(kWatchAgain);
}

void AdminServer::Accept() {
  for (int i = 0; i < kAcceptsATurn; ++i) {
    const evutil_socket_t fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      const int error = errno;
      if (error != EAGAIN && error != EINTR) accept_failed_("admin accept failed", std::strerror(error));
      return;
    }
    // Silent callers must not keep out a true one, which says at once what it wants.
    if (connections_.size() >= config::kAdminConnections) {
      unfinished_("admin call not finished", "made room for another caller");
      connections_.pop_front();
    }
    connections_.push_back(std::make_unique<AdminConnection>(*this, fd));
    if (!connections_.back()->Watched()) watch_again_.Arm(kWatchAgain);
  }
}

// Each call that may change something, and what names no call; readiness checks and scrapes come all the
// time.
void AdminServer::LogCall(const std::string& call, const ops::Answer& answer) {
  const std::string line = call + ": " + std::to_string(answer.status);
  if (!call.starts_with("GET ")) return Log("admin call", line);
  if (answer.status == kNotFound || answer.status == kWrongMethod) malformed_("admin call", line);
}

void AdminServer::Remove(AdminConnection* connection) {
  connections_.remove_if([connection](const auto& c) { return c.get() == connection; });
}

}  // namespace postspread::net
