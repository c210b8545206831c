// Owning wrappers of libevent's handles, and what all connections need of libevent and their sockets.
#ifndef POSTSPREAD_NET_LOOP_H_
#define POSTSPREAD_NET_LOOP_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include "config/address.h"

namespace postspread::net {

using Clock = std::chrono::steady_clock;

template <auto kFree>
struct Free {
  template <typename T>
  void operator()(T* handle) const {
    kFree(handle);
  }
};
using EventBase = std::unique_ptr<event_base, Free<event_base_free>>;
using EventHandle = std::unique_ptr<event, Free<event_free>>;
using BufferEvent = std::unique_ptr<bufferevent, Free<bufferevent_free>>;
using Listener = std::unique_ptr<evconnlistener, Free<evconnlistener_free>>;

// Priorities of events: urgent ones run before all others that are due, and are polled for again after a
// bounded number of other callbacks.
inline constexpr int kUrgent = 0;
inline constexpr int kUsual = 1;

// With the priorities above. Throws std::runtime_error.
EventBase MakeEventBase();

// Calls `open` until it returns true, and gives up when the error is not a shortage of resources, or after
// two seconds. Blocks; only before the loop runs.
bool OpenWithRetries(const std::function<bool()>& open);

// A one-shot timer: calls back once after each Arm; another Arm before that replaces the time.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> callback);
  void Arm(std::chrono::microseconds after);
  void Disarm();

 private:
  std::function<void()> callback_;
  EventHandle event_;
};

// Whether the error of a system call is a temporary shortage of resources, and not a fault of its descriptor.
bool IsShortage(int error);

// Begins to connect, without delay of small messages. Null where there is no socket or no route to the
// address.
BufferEvent Dial(event_base* base, const config::Address& address, bufferevent_data_cb on_read,
                 bufferevent_data_cb on_written, bufferevent_event_cb on_event, void* context);

// Takes over a connected socket, without delay of small messages. Throws std::bad_alloc; it is closed then.
BufferEvent AdoptSocket(event_base* base, evutil_socket_t fd);

// The connection's events call these member functions of `owner`, the last one with the kind of event.
template <auto kOnRead, auto kOnWritten, auto kOnEvent, typename T>
void SetCallbacks(bufferevent* connection, T* owner) {
  bufferevent_setcb(
      connection, [](bufferevent*, void* self) { (static_cast<T*>(self)->*kOnRead)(); },
      [](bufferevent*, void* self) { (static_cast<T*>(self)->*kOnWritten)(); },
      [](bufferevent*, short what, void* self) { (static_cast<T*>(self)->*kOnEvent)(what); }, owner);
}

// Writes at once what the socket takes, and leaves the rest to the loop.
void Write(bufferevent* connection, std::string_view bytes);

// The same on a connection with nothing unwritten, and only where the first byte leaves now. False: the
// socket takes none for the moment, and nothing was written.
bool BeginWrite(bufferevent* connection, std::string_view bytes);

// Bytes written to `connection` that its socket has not taken yet.
std::size_t Unwritten(bufferevent* connection);

// The first `size` bytes of the read buffer, contiguous; and what follows them contiguously.
std::string_view Peek(bufferevent* connection, std::size_t size);
// The contiguous bytes at the front of the read buffer.
std::string_view PeekFirst(bufferevent* connection);
// Bytes in the read buffer.
std::size_t ReadSize(bufferevent* connection);
// Removes bytes from its front.
void Consume(bufferevent* connection, std::size_t size);
// Bounds a buffer of the kernel's: `which` is SO_SNDBUF or SO_RCVBUF.
void SetKernelBytes(bufferevent* connection, int which, int size);
// Reads now what waits at the socket, up to `most` bytes, as the loop would later.
void ReadNow(bufferevent* connection, std::size_t most);
// Whether the other end has closed its side, or the connection has failed, even behind bytes that are unread.
bool HungUp(bufferevent* connection);
// Whether bytes, an end or an error wait at the socket that the loop has not read yet.
bool HasNews(bufferevent* connection);
// Whether bytes wait there.
bool HasBytes(bufferevent* connection);
// Bytes that the socket has taken and the other end has not acknowledged, our end of the stream included; 0
// where the system does not report it.
std::size_t Unacknowledged(bufferevent* connection);
// Whether an event of kind `what` is a temporary shortage of resources and not the end of the connection.
// Nothing that was to be written is lost. The socket has to be watched again, which the system may refuse,
// too.
bool IsPassingError(short what);
// How long ago the last bytes arrived at the socket; 0 where the system does not report it.
std::chrono::milliseconds SinceArrival(bufferevent* connection);
// Of a connection that has just been accepted: how long its client's bytes may have waited for that at most;
// 0 where none have arrived, or the system does not report it.
std::chrono::milliseconds WaitedForAccept(bufferevent* connection);
// Reads from now on, and writes what is unwritten. False: the system refused to watch the socket, and has to
// be asked again.
bool Watch(bufferevent* connection);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOOP_H_
