#include "net/loop.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <new>
#include <optional>
#include <stdexcept>
#include <utility>

namespace postspread::net {
namespace {

constexpr int kMaxNormalCallbacks = 64;  // between two polls for urgent events
constexpr int kMaxOpenAttempts = 40;
constexpr std::chrono::milliseconds kOpenRetryDelay{50};
constexpr int kMaxEintrRetries = 16;  // of one system call, before EINTR is treated as an error

template <typename Call>
auto RetryInterrupted(Call call) {
  auto result = call();
  for (int i = 0; i < kMaxEintrRetries && result < 0 && errno == EINTR; ++i) result = call();
  return result;
}

// Peeks at the next byte of the socket and returns the result of recv.
ssize_t PeekByte(bufferevent* connection) {
  char byte = 0;
  return RetryInterrupted(
      [&] { return recv(bufferevent_getfd(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT); });
}

// Returns the length of one of the socket's queues, or 0 if the system does not report it.
std::size_t QueuedBytes(bufferevent* connection, unsigned long queue) {
  int bytes = 0;
  if (ioctl(bufferevent_getfd(connection), queue, &bytes) != 0) return 0;
  return static_cast<std::size_t>(std::max(bytes, 0));
}

std::optional<tcp_info> GetTcpInfo(bufferevent* connection) {
  tcp_info info{};
  socklen_t size = sizeof info;
  constexpr std::size_t kNeededSize =
      offsetof(tcp_info, tcpi_data_segs_in) + sizeof(tcp_info::tcpi_data_segs_in);
  const int failed = getsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (failed != 0 || size < kNeededSize) return std::nullopt;
  return info;
}

}  // namespace

EventBase MakeEventBase() {
  const std::unique_ptr<event_config, HandleDeleter<event_config_free>> config(event_config_new());
  if (!config) throw std::runtime_error("can't create the event loop");
  event_config_set_max_dispatch_interval(config.get(), nullptr, kMaxNormalCallbacks, kNormalPriority);
  EventBase base(event_base_new_with_config(config.get()));
  if (!base || event_base_priority_init(base.get(), kNormalPriority + 1) != 0)
    throw std::runtime_error("can't create the event loop");
  return base;
}

bool IsResourceShortage(int error) {
  return error == ENOBUFS || error == ENOMEM || error == ENOSPC || error == ENFILE || error == EMFILE ||
         error == EINTR || error == EAGAIN;
}

bool OpenWithRetries(const std::function<bool()>& open) {
  for (int i = 0; i < kMaxOpenAttempts; ++i) {
    errno = 0;
    if (open()) return true;
    if (!IsResourceShortage(errno)) return false;
    usleep(static_cast<useconds_t>(std::chrono::microseconds(kOpenRetryDelay).count()));
  }
  return false;
}

Timer::Timer(event_base* base, std::function<void()> callback) : callback_(std::move(callback)) {
  event_.reset(evtimer_new(
      base, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->callback_(); }, this));
  if (!event_) throw std::runtime_error("can't create a timer");
}

void Timer::Arm(std::chrono::microseconds after) {
  after = std::max(after, std::chrono::microseconds(0));
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(after.count() / 1'000'000);
  tv.tv_usec = static_cast<suseconds_t>(after.count() % 1'000'000);
  event_add(event_.get(), &tv);
}

void Timer::Disarm() { event_del(event_.get()); }

BufferEvent Dial(event_base* base, const config::Address& address, bufferevent_data_cb on_read,
                 bufferevent_data_cb on_written, bufferevent_event_cb on_event, void* context) {
  const int fd = socket(address.get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  BufferEvent connection(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE));
  if (!connection) {
    close(fd);
    return nullptr;
  }
  bufferevent_setcb(connection.get(), on_read, on_written, on_event, context);
  if (bufferevent_socket_connect(connection.get(), address.get(), static_cast<int>(address.size())) != 0) {
    return nullptr;
  }
  return connection;
}

BufferEvent AdoptSocket(event_base* base, evutil_socket_t fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  BufferEvent connection(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE));
  if (!connection) {
    evutil_closesocket(fd);
    throw std::bad_alloc();
  }
  return connection;
}

void Write(bufferevent* connection, std::string_view bytes) {
  if (Unwritten(connection) == 0) {
    // A direct send saves two changes of the poll set and a loop iteration per message. The loop reports an
    // error when it tries to write the remaining bytes.
    const ssize_t sent = send(bufferevent_getfd(connection), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  if (!bytes.empty()) bufferevent_write(connection, bytes.data(), bytes.size());
}

std::optional<std::size_t> WriteNow(evutil_socket_t fd, std::string_view bytes) {
  const ssize_t sent = RetryInterrupted([&] { return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); });
  if (sent >= 0) return static_cast<std::size_t>(sent);
  if (IsResourceShortage(errno)) return 0;
  return std::nullopt;
}

std::size_t Unwritten(bufferevent* connection) {
  return evbuffer_get_length(bufferevent_get_output(connection));
}

void DiscardUnwritten(bufferevent* connection) {
  evbuffer* output = bufferevent_get_output(connection);
  // A bufferevent freezes the front of its output buffer except during its own writes.
  evbuffer_unfreeze(output, /*at_front=*/1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, /*at_front=*/1);
}

std::string_view Peek(bufferevent* connection, std::size_t size) {
  evbuffer* input = bufferevent_get_input(connection);
  const unsigned char* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
  if (bytes == nullptr) return {};
  return {reinterpret_cast<const char*>(bytes), std::max(size, evbuffer_get_contiguous_space(input))};
}

std::string_view PeekFirst(bufferevent* connection) {
  evbuffer* input = bufferevent_get_input(connection);
  return Peek(connection, evbuffer_get_contiguous_space(input));
}

std::size_t ReadSize(bufferevent* connection) {
  return evbuffer_get_length(bufferevent_get_input(connection));
}

void SetKernelBufferSize(bufferevent* connection, int which, int size) {
  setsockopt(bufferevent_getfd(connection), SOL_SOCKET, which, &size, sizeof size);
}

void ReadNow(bufferevent* connection, std::size_t max_size) {
  evbuffer* input = bufferevent_get_input(connection);
  // A bufferevent freezes the end of its input buffer except during its own reads. An end of the
  // stream or an error is left to the bufferevent's next read, which reports it.
  evbuffer_unfreeze(input, /*at_front=*/0);
  evbuffer_read(input, bufferevent_getfd(connection), static_cast<int>(max_size));
  evbuffer_freeze(input, /*at_front=*/0);
}

bool HungUp(bufferevent* connection) {
  pollfd poll_entry{bufferevent_getfd(connection), POLLRDHUP, 0};
  const int count = RetryInterrupted([&poll_entry] { return poll(&poll_entry, 1, 0); });
  return count == 1 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HasUnreadInput(bufferevent* connection) {
  const ssize_t size = PeekByte(connection);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool HasUnreadBytes(bufferevent* connection) { return PeekByte(connection) > 0; }

std::size_t Unacknowledged(bufferevent* connection) { return QueuedBytes(connection, SIOCOUTQ); }

std::size_t UnsentBySystem(bufferevent* connection) { return QueuedBytes(connection, SIOCOUTQNSD); }

std::size_t UnreadBytes(bufferevent* connection) { return QueuedBytes(connection, SIOCINQ); }

void SetOnClose(bufferevent* connection, OnClose on_close) {
  const linger option{.l_onoff = on_close == OnClose::kReset ? 1 : 0, .l_linger = 0};
  setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

std::chrono::milliseconds TimeSinceArrival(bufferevent* connection) {
  const std::optional<tcp_info> info = GetTcpInfo(connection);
  return std::chrono::milliseconds(info ? info->tcpi_last_data_recv : 0);
}

std::chrono::milliseconds MaxAcceptDelay(bufferevent* connection) {
  const std::optional<tcp_info> info = GetTcpInfo(connection);
  if (!info || info->tcpi_data_segs_in == 0) return std::chrono::milliseconds(0);
  // The system reports only the arrival of the last segment. With several segments the connection's age is
  // the bound; it equals the time since the last send, as nothing has been sent yet.
  const bool is_exact = info->tcpi_data_segs_in == 1;
  return std::chrono::milliseconds(is_exact ? info->tcpi_last_data_recv : info->tcpi_last_data_sent);
}

bool IsTransientError(short what) {
  const int error = EVUTIL_SOCKET_ERROR();
  if ((what & BEV_EVENT_ERROR) == 0 || (what & BEV_EVENT_CONNECTED) != 0) return false;
  return IsResourceShortage(error);
}

bool Watch(bufferevent* connection) {
  // Enabling EV_WRITE again with nothing to write would wake up the loop once for no reason.
  const bool enable_write =
      Unwritten(connection) > 0 || (bufferevent_get_enabled(connection) & EV_WRITE) == 0;
  return bufferevent_enable(connection, static_cast<short>(EV_READ | (enable_write ? EV_WRITE : 0))) == 0;
}

void Consume(bufferevent* connection, std::size_t size) {
  evbuffer_drain(bufferevent_get_input(connection), size);
}

}  // namespace postspread::net
